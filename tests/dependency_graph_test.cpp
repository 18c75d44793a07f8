// Tests of the dependency graph alone.
#include "scheduler/dependency_graph.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "model/job.hpp"

namespace flintdale::test {

using model::Priority;
using scheduler::DependencyGraph;
using Names = std::vector<std::string>;
using Status = DependencyGraph::Status;

TEST(DependencyGraphTest, DiamondIsReadyOnlyWhenBothItsSidesAreDone) {
    DependencyGraph graph;
    graph.opened("top", Priority::normal, {});
    graph.opened("left", Priority::normal, {"top"});
    graph.opened("right", Priority::normal, {"top"});
    graph.opened("end", Priority::normal, {"left", "right"});
    EXPECT_EQ(graph.closed("top", true, 5).ready, (Names{"left", "right"}));
    EXPECT_TRUE(graph.closed("left", true, 9).ready.empty());
    EXPECT_TRUE(graph.waits("end"));
    EXPECT_EQ(graph.closed("right", true, 7).ready, Names{"end"});
    EXPECT_FALSE(graph.waits("end"));
    EXPECT_EQ(graph.ready_at("end"), 9) << "the latest dependency counts";
    EXPECT_TRUE(graph.closed("right", true, 8).empty()) << "a repeated change must have no effect";
}

TEST(DependencyGraphTest, CancelledJobFailsAllDependentsOnceNearestFirst) {
    DependencyGraph graph;
    graph.opened("top", Priority::normal, {});
    graph.opened("left", Priority::normal, {"top"});
    graph.opened("right", Priority::normal, {"top"});
    graph.opened("end", Priority::normal, {"left", "right"});
    graph.opened("other", Priority::normal, {});
    EXPECT_EQ(graph.closed("top", false, 0).dependency_failed, (Names{"left", "right", "end"}));
    EXPECT_TRUE(graph.closed("left", false, 0).dependency_failed.empty());
    EXPECT_FALSE(graph.waits("other"));
    EXPECT_EQ(graph.opened("late", Priority::normal, {"end"}).dependency_failed, Names{"late"})
        << "its dependency is about to be cancelled";
    graph.closed("end", false, 0);
    EXPECT_EQ(graph.opened("later", Priority::normal, {"end", "other"}).dependency_failed, Names{"later"});
    EXPECT_TRUE(graph.closed("other", true, 0).ready.empty())
        << "a job with a failed dependency must never become ready";
}

TEST(DependencyGraphTest, JobInheritsTheHighestPriorityOfItsOpenDependents) {
    DependencyGraph graph;
    graph.opened("first", Priority::idle, {});
    graph.opened("second", Priority::normal, {"first"});
    EXPECT_EQ(graph.priority("first"), Priority::normal);
    const auto raised = graph.opened("last", Priority::high, {"second"}).priority_changed;
    EXPECT_EQ(std::count(raised.begin(), raised.end(), "first"), 1);
    EXPECT_EQ(graph.priority("first"), Priority::high);
    EXPECT_EQ(graph.priority("second"), Priority::high);
    graph.closed("last", false, 0);
    EXPECT_EQ(graph.priority("second"), Priority::normal);
    EXPECT_EQ(graph.priority("first"), Priority::normal);
    graph.closed("second", false, 0);
    EXPECT_EQ(graph.priority("first"), Priority::idle);
}

TEST(DependencyGraphTest, UnknownDependencyMayBeNamedAndItsOutcomeMustBeRead) {
    DependencyGraph graph;
    graph.opened("second", Priority::high, {"first", "gone"});
    EXPECT_TRUE(graph.waits("second"));
    EXPECT_EQ(graph.unknown(), (std::set<std::string>{"first", "gone"}));
    graph.opened("first", Priority::idle, {});
    EXPECT_EQ(graph.priority("first"), Priority::high);
    EXPECT_EQ(graph.unknown(), std::set<std::string>{"gone"});
    EXPECT_TRUE(graph.closed("gone", true, 0).ready.empty());
    graph.closed_unread("first");
    EXPECT_EQ(graph.unknown(), std::set<std::string>{"first"});
    EXPECT_TRUE(graph.waits("second"));
    EXPECT_EQ(graph.closed("first", true, 0).ready, Names{"second"});
    EXPECT_TRUE(graph.unknown().empty());
}

// After any sequence of changes the graph equals a recomputation over all jobs.
TEST(DependencyGraphTest, AgreesWithARecountAfterAnySequenceOfEvents) {
    std::mt19937 random(7);
    for (int round = 0; round < 200; ++round) {
        struct ExpectedJob {
            Names needs;
            Priority priority;
            Status status = Status::open;
        };
        std::map<std::string, ExpectedJob> jobs;
        Names names, ready;
        DependencyGraph graph;
        const auto dependency_failed = [&](const auto& self, const std::string& uid) -> bool {
            for (const auto& n : jobs[uid].needs)
                if (jobs[n].status == Status::cancelled || (jobs[n].status == Status::open && self(self, n)))
                    return true;
            return false;
        };
        const auto has_open_dependencies = [&](const std::string& uid) {
            return std::any_of(jobs[uid].needs.begin(), jobs[uid].needs.end(),
                               [&](const auto& n) { return jobs[n].status != Status::done; });
        };
        const auto priority = [&](const auto& self, const std::string& uid) -> Priority {
            auto r = jobs[uid].priority;
            for (const auto& [name, job] : jobs)
                if (job.status == Status::open && !dependency_failed(dependency_failed, name) &&
                    std::count(job.needs.begin(), job.needs.end(), uid))
                    r = std::max(r, self(self, name));
            return r;
        };
        for (int step = 0; step < 30; ++step) {
            if (names.empty() || random() % 2) {
                const auto uid = "run-" + std::to_string(names.size());
                ExpectedJob job{{}, static_cast<Priority>(random() % 4), Status::open};
                for (const auto& n : names)
                    if (random() % 4 == 0) job.needs.push_back(n);
                jobs[uid] = job;
                names.push_back(uid);
                graph.opened(uid, job.priority, job.needs);
            } else {
                const auto& uid = names[random() % names.size()];
                auto& job = jobs[uid];
                if (job.status != Status::open) continue;
                const bool done = random() % 3 && !has_open_dependencies(uid);
                job.status = done ? Status::done : Status::cancelled;
                graph.closed(uid, done, 0);
            }
            for (const auto& uid : names) {
                if (jobs[uid].status != Status::open) continue;
                ASSERT_EQ(graph.waits(uid), has_open_dependencies(uid)) << uid << " in round " << round;
                if (!dependency_failed(dependency_failed, uid)) {
                    ASSERT_EQ(graph.priority(uid), priority(priority, uid)) << uid << " in round " << round;
                }
            }
        }
    }
}

}  // namespace flintdale::test
