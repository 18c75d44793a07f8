// Algorithm 1 and what docs/design.md changes of it, worked by hand.
#include <gtest/gtest.h>

#include "placement/planner.hpp"

namespace flintdale::test {

using namespace placement;

namespace {

Host host(const std::string& name, double gpus, double memory, unsigned load, const std::string& zone = "a") {
    Host h{name, "type",           zone, false, {16, gpus, memory}, {16, gpus, memory}, load, {}, {},
           0.1,  wire::Rank::idle, {},   {}};
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

std::vector<std::string> place_all(Planner& p, const JobSpec& s, int n, JobHosts& job) {
    std::vector<std::string> out;
    for (int i = 0; i < n; ++i) {
        const auto at = p.place(s, job);
        out.push_back(at == Planner::none ? "" : p.host(at).name);
    }
    return out;
}

}  // namespace

TEST(Placement, the_least_loaded_machine_wins_and_ties_go_by_name) {
    Planner p({host("m1", 4, 90, 2), host("m2", 4, 90, 1), host("m3", 4, 90, 1)}, {});
    JobHosts job;
    EXPECT_EQ(place_all(p, spec(1, 10), 1, job), std::vector<std::string>{"m2"});
    JobHosts other;  // loads are now 2, 2, 1
    EXPECT_EQ(place_all(p, spec(1, 10), 1, other), std::vector<std::string>{"m3"});
}

TEST(Placement, a_jobs_own_machines_come_first) {
    Planner p({host("m1", 4, 90, 3), host("m2", 4, 90, 0)}, {});
    JobHosts job;
    job.own.insert("m1");
    EXPECT_EQ(place_all(p, spec(1, 10), 5, job), (std::vector<std::string>{"m1", "m1", "m1", "m1", "m2"}));
}

TEST(Placement, a_machine_with_the_image_is_preferred_to_a_less_loaded_one) {
    auto with = host("m2", 4, 90, 2);
    with.images.insert("image");
    Planner p({host("m1", 4, 90, 0), with}, {});
    JobHosts job;
    EXPECT_EQ(place_all(p, spec(1, 10), 1, job), std::vector<std::string>{"m2"});
}

TEST(Placement, the_memory_margin_keeps_tasks_off_a_tight_machine_but_not_off_an_empty_one) {
    Planner tight({host("m1", 4, 10.5, 1)}, {0.1, {}});
    JobHosts job;
    EXPECT_EQ(tight.place(spec(1, 10), job), Planner::none);
    Planner roomy({host("m1", 4, 11, 1)}, {0.1, {}});
    EXPECT_EQ(roomy.place(spec(1, 10), job), 0u);
    Planner empty({host("m1", 4, 10, 0)}, {0.1, {}});
    JobHosts fresh;
    EXPECT_EQ(empty.place(spec(1, 10), fresh), 0u);
}

TEST(Placement, gpu_tasks_wait_for_gpu_machines) {
    Planner p({host("m1", 0, 90, 0)}, {});
    JobHosts job;
    EXPECT_EQ(p.place(spec(1, 10), job), Planner::none);
    EXPECT_EQ(p.place(spec(0, 10), job), 0u);
}

TEST(Placement, groups_say_which_types_a_class_may_use) {
    Rules rules;
    rules.groups["training"] = {"other"};
    Planner p({host("m1", 4, 90, 0)}, rules);
    auto s = spec(1, 10);
    JobHosts job;
    s.job_class = "training";
    EXPECT_EQ(p.place(s, job), Planner::none);
    s.job_class = "serving";
    EXPECT_EQ(p.place(s, job), 0u);
}

TEST(Placement, a_gang_is_placed_whole_or_not_at_all_and_takes_no_room_when_not) {
    Planner p({host("m1", 2, 90, 0), host("m2", 2, 90, 0)}, {});
    auto s = spec(2, 50);
    JobHosts job;
    EXPECT_TRUE(p.place_together(s, job, 3).empty());
    EXPECT_EQ(p.place_together(s, job, 2), (std::vector<std::size_t>{0, 1}));
}

TEST(Placement, a_one_zone_gang_finds_the_zone_with_room_for_all) {
    Planner p({host("m1", 2, 90, 0, "a"), host("m2", 2, 90, 0, "b"), host("m3", 2, 90, 0, "b")}, {});
    auto s = spec(2, 50);
    s.one_zone = true;
    JobHosts job;
    EXPECT_EQ(p.place_together(s, job, 2), (std::vector<std::size_t>{1, 2}));
}

TEST(Placement, a_spread_job_puts_at_most_half_rounded_up_in_a_zone) {
    Planner p({host("m1", 8, 900, 0, "a"), host("m2", 8, 900, 0, "b")}, {});
    auto s = spec(1, 10);
    s.spread = true;
    s.tasks = 5;
    JobHosts job;
    place_all(p, s, 5, job);
    EXPECT_EQ(job.per_zone["a"] + job.per_zone["b"], 5u);
    EXPECT_LE(job.per_zone["a"], 3u);
    EXPECT_LE(job.per_zone["b"], 3u);
}

TEST(Queue, rank_then_window_then_shortest_less_ageing) {
    const auto w = [](wire::Rank rank, std::int64_t window, double length, double waited, const char* uid) {
        return Waiting{rank, window, Seconds(length), Seconds(waited), uid};
    };
    using wire::Rank;
    EXPECT_TRUE(before(w(Rank::critical, 9, 900, 0, "a"), w(Rank::normal, 1, 1, 0, "b"), 1));
    EXPECT_TRUE(before(w(Rank::normal, 1, 900, 0, "a"), w(Rank::normal, 2, 1, 0, "b"), 1));
    EXPECT_TRUE(before(w(Rank::normal, 1, 10, 0, "a"), w(Rank::normal, 1, 20, 0, "b"), 1));
    EXPECT_TRUE(before(w(Rank::normal, 1, 30, 25, "a"), w(Rank::normal, 1, 20, 0, "b"), 1));
    EXPECT_FALSE(before(w(Rank::normal, 1, 30, 25, "a"), w(Rank::normal, 1, 20, 0, "b"), 0));
}

}  // namespace flintdale::test
