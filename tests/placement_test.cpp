// Algorithm 1 with the changes listed in docs/design.md. The expected placements were worked out by hand.
#include <gtest/gtest.h>

#include <random>

#include "model/job.hpp"
#include "placement/planner.hpp"

namespace flintdale::test {

using namespace placement;

namespace {

// Shared by all tests. Ids depend only on the order of first use, and no test depends on their values.
Directory& directory() {
    static Directory d;
    return d;
}

// `slot` identifies the machine within its test.
Host make_host(Id slot, double gpus, double memory, unsigned load, const std::string& zone = "a",
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

JobSpec make_spec(double gpus, double memory) {
    JobSpec spec;
    spec.uid = "run-1";
    spec.image = "image";
    spec.image_gb = 2;
    spec.need = {2, gpus, memory};
    return spec;
}

struct Request {
    explicit Request(JobSpec job_spec, const Rules& rules = {}) : spec(std::move(job_spec)) {
        requirements = make_requirements(spec, rules, directory());
    }
    JobSpec spec;
    Requirements requirements;
};

constexpr Id not_placed = Planner::no_slot;

std::vector<Id> place_all(Planner& planner, const JobSpec& spec, int count, JobHosts& job) {
    const Request request(spec);
    std::vector<Id> slots;
    for (int i = 0; i < count; ++i) {
        const auto at = planner.place(request.requirements, job);
        slots.push_back(at == Planner::none ? not_placed : planner.host(at).slot);
    }
    return slots;
}

}  // namespace

TEST(PlacementTest, UrgentTasksUseSpotMachinesLastAndOthersUseThemFirst) {
    const auto machines = [] {
        return Planner({make_host(1, 4, 90, 0, "a", "type", true), make_host(2, 4, 90, 3)}, 0.1);
    };
    auto spec = make_spec(1, 10);
    spec.spot = true;
    JobHosts job;
    auto planner = machines();
    EXPECT_EQ(place_all(planner, spec, 1, job), std::vector<Id>{1});
    spec.priority = model::Priority::high;
    JobHosts urgent;
    planner = machines();
    EXPECT_EQ(place_all(planner, spec, 5, urgent), (std::vector<Id>{2, 2, 2, 2, 1}));
}

TEST(PlacementTest, LeastLoadedMachineIsChosenAndTiesGoByRow) {
    Planner planner({make_host(1, 4, 90, 2), make_host(2, 4, 90, 1), make_host(3, 4, 90, 1)}, 0.1);
    JobHosts job;
    EXPECT_EQ(place_all(planner, make_spec(1, 10), 1, job), std::vector<Id>{2});
    JobHosts other;  // loads are now 2, 2, 1
    EXPECT_EQ(place_all(planner, make_spec(1, 10), 1, other), std::vector<Id>{3});
}

TEST(PlacementTest, PrefersTheJobsOwnMachines) {
    Planner planner({make_host(1, 4, 90, 3), make_host(2, 4, 90, 0)}, 0.1);
    JobHosts job;
    job.own.push_back(1);
    EXPECT_EQ(place_all(planner, make_spec(1, 10), 5, job), (std::vector<Id>{1, 1, 1, 1, 2}));
}

// Replicas of a service on the same machine are lost together, so they are spread; but a machine that has the image
// sooner is preferred.
TEST(PlacementTest, ServiceReplicasSpreadUnlessTheImageIsReadySoonerElsewhere) {
    auto service = make_spec(1, 10);
    service.kind = model::JobKind::service;
    service.tasks = 4;
    Planner spread({make_host(1, 4, 100, 0), make_host(2, 4, 100, 0)}, 0.1);
    JobHosts job;
    EXPECT_EQ(place_all(spread, service, 4, job), (std::vector<Id>{1, 2, 1, 2}));
    auto busy = make_host(2, 4, 100, 0);
    busy.fetching.push_back({directory().image("another"), 30});
    Planner packed({make_host(1, 4, 100, 0), busy}, 0.1);
    JobHosts other;
    EXPECT_EQ(place_all(packed, service, 2, other), (std::vector<Id>{1, 1}));
}

TEST(PlacementTest, PrefersACachedImageToALessLoadedMachine) {
    auto cached = make_host(2, 4, 90, 2);
    cached.images.push_back(directory().image("image"));
    Planner planner({make_host(1, 4, 90, 0), cached}, 0.1);
    JobHosts job;
    EXPECT_EQ(place_all(planner, make_spec(1, 10), 1, job), std::vector<Id>{2});
}

TEST(PlacementTest, MemoryMarginAppliesToMachinesInUseOnly) {
    Planner tight({make_host(1, 4, 10.5, 1)}, 0.1);
    JobHosts job;
    EXPECT_EQ(tight.place(Request(make_spec(1, 10)).requirements, job), Planner::none);
    Planner roomy({make_host(1, 4, 11, 1)}, 0.1);
    EXPECT_EQ(roomy.place(Request(make_spec(1, 10)).requirements, job), 0u);
    Planner empty({make_host(1, 4, 10, 0)}, 0.1);
    JobHosts fresh;
    EXPECT_EQ(empty.place(Request(make_spec(1, 10)).requirements, fresh), 0u);
}

TEST(PlacementTest, GpuTasksWaitForGpuMachines) {
    Planner planner({make_host(1, 0, 90, 0)}, 0.1);
    JobHosts job;
    EXPECT_EQ(planner.place(Request(make_spec(1, 10)).requirements, job), Planner::none);
    EXPECT_EQ(planner.place(Request(make_spec(0, 10)).requirements, job), 0u);
}

// Guards against a guest team's idle-priority tasks taking the CPUs of the least loaded machines, which left 2,600
// accelerators idle.
TEST(PlacementTest, CpuTaskPrefersTheMachineWithTheFewestFreeGpus) {
    Planner planner({make_host(1, 4, 90, 0), make_host(2, 0, 90, 6), make_host(3, 2, 90, 1)}, 0.1);
    JobHosts job, other;
    EXPECT_EQ(place_all(planner, make_spec(0, 10), 1, job), std::vector<Id>{2});
    EXPECT_EQ(place_all(planner, make_spec(1, 10), 1, other), std::vector<Id>{1});
}

TEST(PlacementTest, GroupsRestrictTheMachineTypesOfAClass) {
    Rules rules;
    rules.groups["training"] = {"other"};
    Planner planner({make_host(1, 4, 90, 0)}, 0.1);
    auto spec = make_spec(1, 10);
    JobHosts job;
    spec.job_class = "training";
    EXPECT_EQ(planner.place(Request(spec, rules).requirements, job), Planner::none);
    spec.job_class = "serving";
    EXPECT_EQ(planner.place(Request(spec, rules).requirements, job), 0u);
}

TEST(PlacementTest, GangIsPlacedWholeOrTakesNoResources) {
    Planner planner({make_host(1, 2, 90, 0), make_host(2, 2, 90, 0)}, 0.1);
    auto spec = make_spec(2, 50);
    JobHosts job;
    EXPECT_TRUE(planner.place_together(Request(spec).requirements, job, 3).empty());
    EXPECT_EQ(planner.place_together(Request(spec).requirements, job, 2), (std::vector<std::size_t>{0, 1}));
}

TEST(PlacementTest, OneZoneGangIsPlacedInAZoneWithRoomForAll) {
    Planner planner({make_host(1, 2, 90, 0, "a"), make_host(2, 2, 90, 0, "b"), make_host(3, 2, 90, 0, "b")}, 0.1);
    auto spec = make_spec(2, 50);
    spec.one_zone = true;
    JobHosts job;
    EXPECT_EQ(planner.place_together(Request(spec).requirements, job, 2), (std::vector<std::size_t>{1, 2}));
}

TEST(PlacementTest, OneZoneGangPrefersTheZoneThatHasTheImageSoonest) {
    std::vector<Host> hosts{make_host(1, 2, 90, 0, "a"), make_host(2, 2, 90, 0, "a"), make_host(3, 2, 90, 0, "b"),
                            make_host(4, 2, 90, 0, "b")};
    for (const auto i : {0, 2, 3}) hosts[static_cast<std::size_t>(i)].images.push_back(directory().image("image"));
    Planner planner(hosts, 0.1);
    auto spec = make_spec(2, 50);
    spec.one_zone = true;
    JobHosts job;
    EXPECT_EQ(planner.place_together(Request(spec).requirements, job, 2), (std::vector<std::size_t>{2, 3}));
    EXPECT_EQ(job.in_zone(directory().zone("b")), 2u);
}

TEST(PlacementTest, SpreadJobPutsAtMostHalfRoundedUpInAZone) {
    Planner planner({make_host(1, 8, 900, 0, "a"), make_host(2, 8, 900, 0, "b")}, 0.1);
    auto spec = make_spec(1, 10);
    spec.spread = true;
    spec.tasks = 5;
    JobHosts job;
    place_all(planner, spec, 5, job);
    EXPECT_EQ(job.in_zone(directory().zone("a")) + job.in_zone(directory().zone("b")), 5u);
    EXPECT_LE(job.in_zone(directory().zone("a")), 3u);
    EXPECT_LE(job.in_zone(directory().zone("b")), 3u);
}

// place_many orders the candidates once per job. The result must equal that of a scan for each task, for random
// machines and jobs of every kind.
TEST(PlacementTest, PlacingManyTasksEqualsPlacingThemOneByOne) {
    std::mt19937 random(7);
    const auto random_below = [&](unsigned n) { return static_cast<unsigned>(random() % n); };
    const std::vector<std::string> zones{"a", "b", "c"}, images{"image", "other", "third"}, kinds{"type", "large"};
    unsigned placed = 0, partly_placed = 0;
    for (int round = 0; round < 400; ++round) {
        std::vector<Host> hosts;
        const auto machines = 1 + random_below(25);
        for (Id i = 0; i < machines; ++i) {
            auto h = make_host(i, random_below(9), 20.0 + 10 * random_below(8), 0, zones[random_below(3)],
                               kinds[random_below(2)], random_below(2));
            h.load = random_below(4);
            h.free.gpus = std::min<double>(h.free.gpus, random_below(9));
            for (const auto& image : images) {
                if (random_below(3) == 0) h.images.push_back(directory().image(image));
                if (random_below(5) == 0) h.fetching.push_back({directory().image(image), 1.0 + random_below(9)});
            }
            if (random_below(6) == 0) h.fetching_for = model::Priority::critical;
            if (random_below(6) == 0) h.reserved_for = model::Priority::normal;
            hosts.push_back(h);
        }
        auto spec = make_spec(random_below(3), 5 + 5 * random_below(5));
        spec.image = images[random_below(3)];
        spec.tasks = 1 + random_below(12);
        spec.kind = random_below(2) ? model::JobKind::service : model::JobKind::array;
        spec.priority = random_below(2) ? model::Priority::normal : model::Priority::critical;
        spec.spot = random_below(2);
        spec.spread = random_below(3) == 0;
        spec.one_zone = !spec.spread && random_below(3) == 0;
        if (random_below(3) == 0) spec.types = {kinds[random_below(2)]};
        const Request request(spec);
        JobHosts one, all;
        if (random_below(2)) one.own.push_back(random_below(machines));
        if (random_below(2)) one.excluded.push_back(random_below(machines));
        all = one;
        Planner one_by_one(hosts, 0.1), together(hosts, 0.1);
        std::vector<std::size_t> expected;
        for (unsigned k = 0; k < spec.tasks; ++k) {
            const auto at = one_by_one.place(request.requirements, one);
            if (at == Planner::none) break;
            expected.push_back(at);
        }
        EXPECT_EQ(together.place_many(request.requirements, all, spec.tasks), expected) << "round " << round;
        placed += !expected.empty();
        partly_placed += !expected.empty() && expected.size() < spec.tasks;
    }
    EXPECT_GT(placed, 200u);
    EXPECT_GT(partly_placed, 20u);
}

TEST(PlacementTest, EndOfATrialRestoresTheTable) {
    Planner planner({make_host(1, 2, 90, 0), make_host(2, 2, 90, 0)}, 0.1);
    const Request request(make_spec(2, 50));
    {
        Planner::Trial trial(planner);
        JobHosts job;
        EXPECT_EQ(planner.place_many(request.requirements, job, 3).size(), 2u);
        EXPECT_EQ(planner.best_host(request.requirements, job), Planner::none);
    }
    JobHosts job;
    EXPECT_EQ(planner.place_many(request.requirements, job, 3), (std::vector<std::size_t>{0, 1}));
}

TEST(PlacementTest, TaskInAnUnknownZoneCountsInEveryZoneOfASpreadJob) {
    Planner planner({make_host(1, 8, 900, 0, "a"), make_host(2, 8, 900, 0, "b")}, 0.1);
    auto spec = make_spec(1, 10);
    spec.spread = true;
    spec.tasks = 4;
    JobHosts job;
    job.add_to_zone(unknown_zone);
    EXPECT_EQ(planner.place_many(Request(spec).requirements, job, 3).size(), 2u);
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
