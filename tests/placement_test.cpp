// Algorithm 1 and what docs/design.md changes of it, worked by hand.
#include <gtest/gtest.h>

#include <random>

#include "model/job.hpp"
#include "placement/planner.hpp"

namespace flintdale::test {

using namespace placement;

namespace {

// One directory for all stories: its numbers depend on no order but that of first mention.
Directory& directory() {
    static Directory d;
    return d;
}

// Slots number the machines of one story; m1 is the first.
Host host(Id slot, double gpus, double memory, unsigned load, const std::string& zone = "a",
          const std::string& type = "type", bool spot = false) {
    Host h;
    h.slot = slot;
    h.pool = directory().pool(type, zone, spot);
    h.zone = directory().zone(zone);
    h.spot = spot;
    h.load = load;
    h.capacity = h.free = {16, gpus, memory};
    h.fetch_gb_per_s = 0.1;
    return h;
}

JobSpec spec(double gpus, double memory) {
    JobSpec s;
    s.uid = "run-1";
    s.image = "image";
    s.image_gb = 2;
    s.need = {2, gpus, memory};
    return s;
}

struct Asked {
    explicit Asked(JobSpec s, const Rules& rules = {}) : spec(std::move(s)) {
        requirements = make_requirements(spec, rules, directory());
    }
    JobSpec spec;
    Requirements requirements;
};

constexpr Id none = Planner::no_slot;

std::vector<Id> place_all(Planner& p, const JobSpec& s, int n, JobHosts& job) {
    const Asked a(s);
    std::vector<Id> out;
    for (int i = 0; i < n; ++i) {
        const auto at = p.place(a.requirements, job);
        out.push_back(at == Planner::none ? none : p.host(at).slot);
    }
    return out;
}

}  // namespace

TEST(PlacementTest, UrgentTasksUseSpotMachinesLastAndOthersUseThemFirst) {
    const auto machines = [] { return Planner({host(1, 4, 90, 0, "a", "type", true), host(2, 4, 90, 3)}, 0.1); };
    auto s = spec(1, 10);
    s.spot = true;
    JobHosts job;
    auto p = machines();
    EXPECT_EQ(place_all(p, s, 1, job), std::vector<Id>{1});
    s.priority = model::Priority::high;
    JobHosts urgent;
    p = machines();
    EXPECT_EQ(place_all(p, s, 5, urgent), (std::vector<Id>{2, 2, 2, 2, 1}));
}

TEST(PlacementTest, LeastLoadedMachineWinsAndTiesGoByName) {
    Planner p({host(1, 4, 90, 2), host(2, 4, 90, 1), host(3, 4, 90, 1)}, 0.1);
    JobHosts job;
    EXPECT_EQ(place_all(p, spec(1, 10), 1, job), std::vector<Id>{2});
    JobHosts other;  // loads are now 2, 2, 1
    EXPECT_EQ(place_all(p, spec(1, 10), 1, other), std::vector<Id>{3});
}

TEST(PlacementTest, PrefersTheJobsOwnMachines) {
    Planner p({host(1, 4, 90, 3), host(2, 4, 90, 0)}, 0.1);
    JobHosts job;
    job.own.push_back(1);
    EXPECT_EQ(place_all(p, spec(1, 10), 5, job), (std::vector<Id>{1, 1, 1, 1, 2}));
}

// Replicas of one service on one machine go with it, and so do most machines that hold its image.
TEST(PlacementTest, ServiceReplicasSpreadUnlessTheImageIsReadySoonerElsewhere) {
    auto service = spec(1, 10);
    service.kind = model::JobKind::service;
    service.tasks = 4;
    Planner spread({host(1, 4, 100, 0), host(2, 4, 100, 0)}, 0.1);
    JobHosts job;
    EXPECT_EQ(place_all(spread, service, 4, job), (std::vector<Id>{1, 2, 1, 2}));
    auto busy = host(2, 4, 100, 0);
    busy.fetching.push_back({directory().image("another"), 30});
    Planner packed({host(1, 4, 100, 0), busy}, 0.1);
    JobHosts other;
    EXPECT_EQ(place_all(packed, service, 2, other), (std::vector<Id>{1, 1}));
}

TEST(PlacementTest, PrefersACachedImageToALessLoadedMachine) {
    auto with = host(2, 4, 90, 2);
    with.images.push_back(directory().image("image"));
    Planner p({host(1, 4, 90, 0), with}, 0.1);
    JobHosts job;
    EXPECT_EQ(place_all(p, spec(1, 10), 1, job), std::vector<Id>{2});
}

TEST(PlacementTest, MemoryMarginProtectsTightMachinesButNotEmptyOnes) {
    Planner tight({host(1, 4, 10.5, 1)}, 0.1);
    JobHosts job;
    EXPECT_EQ(tight.place(Asked(spec(1, 10)).requirements, job), Planner::none);
    Planner roomy({host(1, 4, 11, 1)}, 0.1);
    EXPECT_EQ(roomy.place(Asked(spec(1, 10)).requirements, job), 0u);
    Planner empty({host(1, 4, 10, 0)}, 0.1);
    JobHosts fresh;
    EXPECT_EQ(empty.place(Asked(spec(1, 10)).requirements, fresh), 0u);
}

TEST(PlacementTest, GpuTasksWaitForGpuMachines) {
    Planner p({host(1, 0, 90, 0)}, 0.1);
    JobHosts job;
    EXPECT_EQ(p.place(Asked(spec(1, 10)).requirements, job), Planner::none);
    EXPECT_EQ(p.place(Asked(spec(0, 10)).requirements, job), 0u);
}

// Idle tasks of a guest that took the processors of the least loaded machines left 2,600 accelerators idle.
TEST(PlacementTest, CpuTaskGoesWhereTheFewestGpusWouldIdle) {
    Planner p({host(1, 4, 90, 0), host(2, 0, 90, 6), host(3, 2, 90, 1)}, 0.1);
    JobHosts job, other;
    EXPECT_EQ(place_all(p, spec(0, 10), 1, job), std::vector<Id>{2});
    EXPECT_EQ(place_all(p, spec(1, 10), 1, other), std::vector<Id>{1});
}

TEST(PlacementTest, GroupsRestrictTheMachineTypesOfAClass) {
    Rules rules;
    rules.groups["training"] = {"other"};
    Planner p({host(1, 4, 90, 0)}, 0.1);
    auto s = spec(1, 10);
    JobHosts job;
    s.job_class = "training";
    EXPECT_EQ(p.place(Asked(s, rules).requirements, job), Planner::none);
    s.job_class = "serving";
    EXPECT_EQ(p.place(Asked(s, rules).requirements, job), 0u);
}

TEST(PlacementTest, GangIsPlacedWholeOrNotAtAllAndThenTakesNoRoom) {
    Planner p({host(1, 2, 90, 0), host(2, 2, 90, 0)}, 0.1);
    auto s = spec(2, 50);
    JobHosts job;
    EXPECT_TRUE(p.place_together(Asked(s).requirements, job, 3).empty());
    EXPECT_EQ(p.place_together(Asked(s).requirements, job, 2), (std::vector<std::size_t>{0, 1}));
}

TEST(PlacementTest, OneZoneGangFindsTheZoneWithRoomForAll) {
    Planner p({host(1, 2, 90, 0, "a"), host(2, 2, 90, 0, "b"), host(3, 2, 90, 0, "b")}, 0.1);
    auto s = spec(2, 50);
    s.one_zone = true;
    JobHosts job;
    EXPECT_EQ(p.place_together(Asked(s).requirements, job, 2), (std::vector<std::size_t>{1, 2}));
}

TEST(PlacementTest, OneZoneGangPrefersTheZoneThatHasTheImageSoonest) {
    std::vector<Host> hosts{host(1, 2, 90, 0, "a"), host(2, 2, 90, 0, "a"), host(3, 2, 90, 0, "b"),
                            host(4, 2, 90, 0, "b")};
    for (const auto i : {0, 2, 3}) hosts[static_cast<std::size_t>(i)].images.push_back(directory().image("image"));
    Planner p(hosts, 0.1);
    auto s = spec(2, 50);
    s.one_zone = true;
    JobHosts job;
    EXPECT_EQ(p.place_together(Asked(s).requirements, job, 2), (std::vector<std::size_t>{2, 3}));
    EXPECT_EQ(job.in_zone(directory().zone("b")), 2u);
}

TEST(PlacementTest, SpreadJobPutsAtMostHalfRoundedUpInAZone) {
    Planner p({host(1, 8, 900, 0, "a"), host(2, 8, 900, 0, "b")}, 0.1);
    auto s = spec(1, 10);
    s.spread = true;
    s.tasks = 5;
    JobHosts job;
    place_all(p, s, 5, job);
    EXPECT_EQ(job.in_zone(directory().zone("a")) + job.in_zone(directory().zone("b")), 5u);
    EXPECT_LE(job.in_zone(directory().zone("a")), 3u);
    EXPECT_LE(job.in_zone(directory().zone("b")), 3u);
}

// The load table orders candidates once a job. That must give what a plain scan for each task gives, for machines and
// jobs of every kind.
TEST(PlacementTest, PlacingManyTasksEqualsPlacingThemOneByOne) {
    std::mt19937 dice(7);
    const auto roll = [&](unsigned n) { return static_cast<unsigned>(dice() % n); };
    const std::vector<std::string> zones{"a", "b", "c"}, images{"image", "other", "third"}, kinds{"type", "large"};
    unsigned placed = 0, partly = 0;
    for (int round = 0; round < 400; ++round) {
        std::vector<Host> hosts;
        const auto machines = 1 + roll(25);
        for (Id i = 0; i < machines; ++i) {
            auto h = host(i, roll(9), 20.0 + 10 * roll(8), 0, zones[roll(3)], kinds[roll(2)], roll(2));
            h.load = roll(4);
            h.free.gpus = std::min<double>(h.free.gpus, roll(9));
            for (const auto& image : images) {
                if (roll(3) == 0) h.images.push_back(directory().image(image));
                if (roll(5) == 0) h.fetching.push_back({directory().image(image), 1.0 + roll(9)});
            }
            if (roll(6) == 0) h.fetching_for = model::Priority::critical;
            if (roll(6) == 0) h.reserved_for = model::Priority::normal;
            hosts.push_back(h);
        }
        auto s = spec(roll(3), 5 + 5 * roll(5));
        s.image = images[roll(3)];
        s.tasks = 1 + roll(12);
        s.kind = roll(2) ? model::JobKind::service : model::JobKind::array;
        s.priority = roll(2) ? model::Priority::normal : model::Priority::critical;
        s.spot = roll(2);
        s.spread = roll(3) == 0;
        s.one_zone = !s.spread && roll(3) == 0;
        if (roll(3) == 0) s.types = {kinds[roll(2)]};
        const Asked a(s);
        JobHosts one, all;
        if (roll(2)) one.own.push_back(roll(machines));
        if (roll(2)) one.excluded.push_back(roll(machines));
        all = one;
        Planner scanned(hosts, 0.1), ordered(hosts, 0.1);
        std::vector<std::size_t> expected;
        for (unsigned k = 0; k < s.tasks; ++k) {
            const auto at = scanned.place(a.requirements, one);
            if (at == Planner::none) break;
            expected.push_back(at);
        }
        EXPECT_EQ(ordered.place_many(a.requirements, all, s.tasks), expected) << "round " << round;
        placed += !expected.empty();
        partly += !expected.empty() && expected.size() < s.tasks;
    }
    EXPECT_GT(placed, 200u);
    EXPECT_GT(partly, 20u);
}

TEST(PlacementTest, DiscardedTrialLeavesTheTableUnchanged) {
    Planner p({host(1, 2, 90, 0), host(2, 2, 90, 0)}, 0.1);
    const Asked a(spec(2, 50));
    {
        Planner::Trial trial(p);
        JobHosts job;
        EXPECT_EQ(p.place_many(a.requirements, job, 3).size(), 2u);
        EXPECT_EQ(p.best_host(a.requirements, job), Planner::none);
    }
    JobHosts job;
    EXPECT_EQ(p.place_many(a.requirements, job, 3), (std::vector<std::size_t>{0, 1}));
}

TEST(PlacementTest, TaskInAnUnknownZoneCountsInEveryZoneOfASpreadJob) {
    Planner p({host(1, 8, 900, 0, "a"), host(2, 8, 900, 0, "b")}, 0.1);
    auto s = spec(1, 10);
    s.spread = true;
    s.tasks = 4;
    JobHosts job;
    job.add_to_zone(unknown_zone);
    EXPECT_EQ(p.place_many(Asked(s).requirements, job, 3).size(), 2u);
    EXPECT_EQ(job.in_zone(directory().zone("a")), 1u);
}

TEST(QueueOrderTest, PriorityThenWindowThenShortestLessAging) {
    const auto w = [](model::Priority priority, std::int64_t window, double length, double waited, const char* uid) {
        return QueueEntry{priority, window, Seconds(length), Seconds(waited), uid};
    };
    using model::Priority;
    EXPECT_TRUE(precedes(w(Priority::critical, 9, 900, 0, "a"), w(Priority::normal, 1, 1, 0, "b"), 1));
    EXPECT_TRUE(precedes(w(Priority::normal, 1, 900, 0, "a"), w(Priority::normal, 2, 1, 0, "b"), 1));
    EXPECT_TRUE(precedes(w(Priority::normal, 1, 10, 0, "a"), w(Priority::normal, 1, 20, 0, "b"), 1));
    EXPECT_TRUE(precedes(w(Priority::normal, 1, 30, 25, "a"), w(Priority::normal, 1, 20, 0, "b"), 1));
    EXPECT_FALSE(precedes(w(Priority::normal, 1, 30, 25, "a"), w(Priority::normal, 1, 20, 0, "b"), 0));
}

}  // namespace flintdale::test
