// The merge of the records of all replicas and the store after a loss.
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

#include "support/record_samples.hpp"

namespace flintdale::test {

namespace {

using recovery::Merged;
using recovery::ReplicaContents;

// Merges the sources in every order, and checks that the results are equal.
Merged merged(std::vector<ReplicaContents> sources, const ReplicaContents& store = {}) {
    std::vector<std::size_t> order(sources.size());
    for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
    std::optional<Merged> first;
    do {
        std::vector<ReplicaContents> in;
        for (const auto i : order) in.push_back(sources[i]);
        auto out = recovery::merge(in, store);
        if (!first) first = out;
        EXPECT_EQ(out.records, first->records);
        EXPECT_EQ(out.unrecoverable, first->unrecoverable);
    } while (std::next_permutation(order.begin(), order.end()));
    return *first;
}

}  // namespace

TEST(MergeTest, NewestValueOfAKeyWinsWhicheverSourceHoldsIt) {
    const auto r = merged({replica_contents(1, 10, true, {{"jobs/work/run-1", {7, work_record(1)}}}),
                           replica_contents(1, 8, true, {{"jobs/work/run-1", {5, work_record(0)}}}),
                           replica_contents(1, 12, false, {{"jobs/work/run-1", {11, work_record(2)}}})});
    EXPECT_EQ(r.records.at("jobs/work/run-1"), work_record(2));
    EXPECT_TRUE(r.unrecoverable.empty());
}

TEST(MergeTest, OutcomeBeatsOpenWorkAndWorkOfACancelledJobStaysUntilItsTasksAreFound) {
    const auto r = merged(
        {replica_contents(1, 10, true,
                          {{"jobs/work/run-1", {7, work_record(1)}}, {"jobs/work/run-2", {8, work_record(1)}}}),
         replica_contents(1, 9, false,
                          {{"jobs/over/run-1", {12, done_outcome}}, {"jobs/over/run-2", {13, cancelled_outcome}}})});
    EXPECT_FALSE(r.records.contains("jobs/work/run-1"));
    EXPECT_EQ(r.records.at("jobs/over/run-1"), done_outcome);
    EXPECT_TRUE(r.records.contains("jobs/work/run-2"));
    EXPECT_EQ(r.records.at("jobs/over/run-2"), cancelled_outcome);
}

TEST(MergeTest, WorkRemovedWithItsJobDoesNotReturnFromAnOlderReplica) {
    const auto r = merged({replica_contents(1, 20, true, {{"jobs/over/run-2", {13, cancelled_outcome}}}),
                           replica_contents(1, 12, true, {{"jobs/work/run-2", {8, work_record(1)}}})});
    EXPECT_EQ(r.records.size(), 1u);
}

// A controller that started after the store was reset to an earlier state lacks records that others hold, although its
// revision later exceeds their mod revisions.
TEST(MergeTest, WorkMissingFromAReplicaWithoutAnOutcomeWasNotRemoved) {
    const auto r = merged({replica_contents(1, 40, true, {}),
                           replica_contents(1, 30, true, {{"jobs/work/run-1", {25, work_record(3)}}})});
    EXPECT_TRUE(r.records.contains("jobs/work/run-1"));
}

TEST(MergeTest, OlderGenerationCountsOnlyWithoutACompleteNewerOne) {
    const auto old = replica_contents(1, 90, true, {{"jobs/work/run-1", {80, work_record(5)}}});
    EXPECT_FALSE(merged({old, replica_contents(2, 9, true, {})}).records.contains("jobs/work/run-1"));
    const auto r = merged({old, replica_contents(2, 9, false, {{"jobs/work/run-2", {3, work_record(1)}}})});
    EXPECT_TRUE(r.records.contains("jobs/work/run-1"));
    EXPECT_TRUE(r.records.contains("jobs/work/run-2"));
}

TEST(MergeTest, StoreAddsUnknownRecordsAndEndsJobsBelievedOpen) {
    const auto store = replica_contents(0, 0, false,
                                        {{"jobs/work/run-1", {300, work_record(9, "n-9")}},
                                         {"jobs/over/run-2", {301, done_outcome}},
                                         {"jobs/work/run-3", {302, work_record(0)}},
                                         {"jobs/work/run-4", {303, work_record(1)}}});
    const auto r = merged({replica_contents(1, 50, true,
                                            {{"jobs/work/run-1", {20, work_record(4)}},
                                             {"jobs/work/run-2", {21, work_record(1)}},
                                             {"jobs/over/run-4", {22, cancelled_outcome}}})},
                          store);
    EXPECT_EQ(r.records.at("jobs/work/run-1"), work_record(4))
        << "mod revisions of the store are not comparable with those of the lost history";
    EXPECT_EQ(r.records.at("jobs/over/run-2"), done_outcome);
    EXPECT_FALSE(r.records.contains("jobs/work/run-2"));
    EXPECT_TRUE(r.records.contains("jobs/work/run-3"));
    EXPECT_FALSE(r.records.contains("jobs/work/run-4")) << "a store that was reset shows work that had been removed";
}

TEST(MergeTest, ReportsLostRecords) {
    const auto r = merged({replica_contents(1, 50, true,
                                            {{"jobs/work/run-1/2", {20, work_record(4)}},
                                             {"jobs/work/run-2", {21, "7"}},
                                             {"jobs/work/run-3", {22, work_record(1)}}}),
                           replica_contents(1, 50, true, {{"jobs/work/run-3", {22, work_record(2)}}})});
    EXPECT_EQ(r.records, (std::map<std::string, std::string>{{"jobs/work/run-3", work_record(2)}}));
    EXPECT_EQ(r.unrecoverable,
              (std::vector<std::string>{"submission lost: run-1", "two different values of jobs/work/run-3",
                                        "unreadable value of jobs/work/run-2"}));
}

}  // namespace flintdale::test
