// Who waits for whom, and what follows.
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
using Fate = DependencyGraph::Fate;

TEST(DependencyGraphTest, DiamondIsReadyOnlyWhenBothItsSidesAreDone) {
    DependencyGraph p;
    p.opened("top", Priority::normal, {});
    p.opened("left", Priority::normal, {"top"});
    p.opened("right", Priority::normal, {"top"});
    p.opened("end", Priority::normal, {"left", "right"});
    EXPECT_EQ(p.over("top", true, 5).ready, (Names{"left", "right"}));
    EXPECT_TRUE(p.over("left", true, 9).ready.empty());
    EXPECT_TRUE(p.waits("end"));
    EXPECT_EQ(p.over("right", true, 7).ready, Names{"end"});
    EXPECT_FALSE(p.waits("end"));
    EXPECT_EQ(p.ready_at("end"), 9) << "the last of them counts";
    EXPECT_TRUE(p.over("right", true, 8).empty()) << "the same news again is none";
}

TEST(DependencyGraphTest, CancelledJobFailsAllDependentsOnceNearestFirst) {
    DependencyGraph p;
    p.opened("top", Priority::normal, {});
    p.opened("left", Priority::normal, {"top"});
    p.opened("right", Priority::normal, {"top"});
    p.opened("end", Priority::normal, {"left", "right"});
    p.opened("other", Priority::normal, {});
    EXPECT_EQ(p.over("top", false, 0).doomed, (Names{"left", "right", "end"}));
    EXPECT_TRUE(p.over("left", false, 0).doomed.empty());
    EXPECT_FALSE(p.waits("other"));
    EXPECT_EQ(p.opened("late", Priority::normal, {"end"}).doomed, Names{"late"})
        << "it names what is about to be cancelled";
    p.over("end", false, 0);
    EXPECT_EQ(p.opened("later", Priority::normal, {"end", "other"}).doomed, Names{"later"});
    EXPECT_TRUE(p.over("other", true, 0).ready.empty()) << "what is doomed is never ready";
}

TEST(DependencyGraphTest, JobInheritsTheHighestPriorityOfItsOpenDependents) {
    DependencyGraph p;
    p.opened("first", Priority::idle, {});
    p.opened("second", Priority::normal, {"first"});
    EXPECT_EQ(p.priority("first"), Priority::normal);
    const auto raised = p.opened("last", Priority::high, {"second"}).priority_changed;
    EXPECT_EQ(std::count(raised.begin(), raised.end(), "first"), 1);
    EXPECT_EQ(p.priority("first"), Priority::high);
    EXPECT_EQ(p.priority("second"), Priority::high);
    p.over("last", false, 0);
    EXPECT_EQ(p.priority("second"), Priority::normal);
    EXPECT_EQ(p.priority("first"), Priority::normal);
    p.over("second", false, 0);
    EXPECT_EQ(p.priority("first"), Priority::idle);
}

TEST(DependencyGraphTest, UnknownDependencyMayBeNamedAndItsOutcomeMustBeRead) {
    DependencyGraph p;
    p.opened("second", Priority::high, {"first", "gone"});
    EXPECT_TRUE(p.waits("second"));
    EXPECT_EQ(p.unknown(), (std::set<std::string>{"first", "gone"}));
    p.opened("first", Priority::idle, {});
    EXPECT_EQ(p.priority("first"), Priority::high);
    EXPECT_EQ(p.unknown(), std::set<std::string>{"gone"});
    EXPECT_TRUE(p.over("gone", true, 0).ready.empty());
    p.over_somehow("first");
    EXPECT_EQ(p.unknown(), std::set<std::string>{"first"});
    EXPECT_TRUE(p.waits("second"));
    EXPECT_EQ(p.over("first", true, 0).ready, Names{"second"});
    EXPECT_TRUE(p.unknown().empty());
}

// Any order of any news leads to what a look at all jobs at once would find.
TEST(DependencyGraphTest, AgreesWithARecountAfterAnySequenceOfEvents) {
    std::mt19937 random(7);
    for (int day = 0; day < 200; ++day) {
        struct Plain {
            Names needs;
            Priority priority;
            Fate fate = Fate::open;
        };
        std::map<std::string, Plain> jobs;
        Names names, ready;
        DependencyGraph p;
        const auto doomed = [&](const auto& self, const std::string& uid) -> bool {
            for (const auto& n : jobs[uid].needs)
                if (jobs[n].fate == Fate::cancelled || (jobs[n].fate == Fate::open && self(self, n))) return true;
            return false;
        };
        const auto lacks = [&](const std::string& uid) {
            return std::any_of(jobs[uid].needs.begin(), jobs[uid].needs.end(),
                               [&](const auto& n) { return jobs[n].fate != Fate::done; });
        };
        const auto priority = [&](const auto& self, const std::string& uid) -> Priority {
            auto r = jobs[uid].priority;
            for (const auto& [name, job] : jobs)
                if (job.fate == Fate::open && !doomed(doomed, name) &&
                    std::count(job.needs.begin(), job.needs.end(), uid))
                    r = std::max(r, self(self, name));
            return r;
        };
        for (int step = 0; step < 30; ++step) {
            if (names.empty() || random() % 2) {
                const auto uid = "run-" + std::to_string(names.size());
                Plain job{{}, static_cast<Priority>(random() % 4), Fate::open};
                for (const auto& n : names)
                    if (random() % 4 == 0) job.needs.push_back(n);
                jobs[uid] = job;
                names.push_back(uid);
                p.opened(uid, job.priority, job.needs);
            } else {
                const auto& uid = names[random() % names.size()];
                auto& job = jobs[uid];
                if (job.fate != Fate::open) continue;
                const bool done = random() % 3 && !lacks(uid);
                job.fate = done ? Fate::done : Fate::cancelled;
                p.over(uid, done, 0);
            }
            for (const auto& uid : names) {
                if (jobs[uid].fate != Fate::open) continue;
                ASSERT_EQ(p.waits(uid), lacks(uid)) << uid << " on day " << day;
                if (!doomed(doomed, uid)) {
                    ASSERT_EQ(p.priority(uid), priority(priority, uid)) << uid << " on day " << day;
                }
            }
        }
    }
}

}  // namespace flintdale::test
