// What is remembered, merged and kept in snapshots, and what guards the records of jobs.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>

#include "api/submission_service.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"
#include "model/task.hpp"
#include "recovery/recovery_coordinator.hpp"
#include "support/fake_store.hpp"
#include "wire/archive.hpp"

namespace flintdale::test {

namespace {

using recovery::Merged;
using recovery::Record;
using recovery::RecordReplica;
using recovery::ReplicaContents;
using state::Outcome;
namespace fs = std::filesystem;

const std::string cancelled = R"({"state":"aborted","shape":"array","shards":2})";
const std::string done = R"({"state":"done","shape":"array","shards":2})";

// Work of which task 0 has that attempt on that machine.
std::string work(std::uint64_t attempt, const std::string& machine = "n-1") {
    boost::json::array tasks;
    if (attempt) tasks = wire::ranges_to_record({{0, 0, attempt, machine, false}});
    return boost::json::serialize(boost::json::object{{"spec", boost::json::object()}, {"tasks", tasks}});
}

ReplicaContents source(std::uint64_t generation, std::uint64_t revision, bool whole,
                       std::map<std::string, Record> records) {
    ReplicaContents s;
    s.from = "somebody";
    s.generation = generation;
    s.id = "history-" + std::to_string(generation);
    s.revision = revision;
    s.whole = whole;
    s.records = std::move(records);
    return s;
}

// Merges them in every order, which must not matter.
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

state::WatchResult told(std::uint64_t revision, std::vector<state::KeyValue> events, std::vector<bool> deleted) {
    state::WatchResult r;
    r.outcome = Outcome::ok;
    r.revision = revision;
    r.events = std::move(events);
    r.deleted = std::move(deleted);
    return r;
}

state::KeyValue item(const std::string& key, const std::string& text, std::uint64_t mod_revision) {
    return {key, boost::json::parse(text), mod_revision};
}

state::KeyValue removed(const std::string& key, std::uint64_t mod_revision) { return {key, {}, mod_revision}; }

struct TemporaryDirectory {
    fs::path path;
    TemporaryDirectory() {
        std::string name = (fs::temp_directory_path() / "flintdale-test-XXXXXX").string();
        path = ::mkdtemp(name.data());
    }
    ~TemporaryDirectory() { fs::remove_all(path); }
};

}  // namespace

// --- the merge ---

TEST(MergeTest, NewestValueOfAKeyWinsWhicheverSourceHoldsIt) {
    const auto r = merged({source(1, 10, true, {{"jobs/work/run-1", {7, work(1)}}}),
                           source(1, 8, true, {{"jobs/work/run-1", {5, work(0)}}}),
                           source(1, 12, false, {{"jobs/work/run-1", {11, work(2)}}})});
    EXPECT_EQ(r.records.at("jobs/work/run-1"), work(2));
    EXPECT_TRUE(r.unrecoverable.empty());
}

TEST(MergeTest, OutcomeBeatsOpenWorkAndWorkOfACancelledJobStaysUntilItsTasksAreFound) {
    const auto r =
        merged({source(1, 10, true, {{"jobs/work/run-1", {7, work(1)}}, {"jobs/work/run-2", {8, work(1)}}}),
                source(1, 9, false, {{"jobs/over/run-1", {12, done}}, {"jobs/over/run-2", {13, cancelled}}})});
    EXPECT_FALSE(r.records.contains("jobs/work/run-1"));
    EXPECT_EQ(r.records.at("jobs/over/run-1"), done);
    EXPECT_TRUE(r.records.contains("jobs/work/run-2"));
    EXPECT_EQ(r.records.at("jobs/over/run-2"), cancelled);
}

TEST(MergeTest, WorkRemovedWithItsJobDoesNotReturnFromAnOlderReplica) {
    const auto r = merged({source(1, 20, true, {{"jobs/over/run-2", {13, cancelled}}}),
                           source(1, 12, true, {{"jobs/work/run-2", {8, work(1)}}})});
    EXPECT_EQ(r.records.size(), 1u);
}

// A controller that began after a service was set back knows less, and its revisions grow past what it never saw.
TEST(MergeTest, WorkMissingFromAReplicaWithoutAnOutcomeWasNotRemoved) {
    const auto r = merged({source(1, 40, true, {}), source(1, 30, true, {{"jobs/work/run-1", {25, work(3)}}})});
    EXPECT_TRUE(r.records.contains("jobs/work/run-1"));
}

TEST(MergeTest, OlderGenerationCountsOnlyWithoutACompleteNewerOne) {
    const auto old = source(1, 90, true, {{"jobs/work/run-1", {80, work(5)}}});
    EXPECT_FALSE(merged({old, source(2, 9, true, {})}).records.contains("jobs/work/run-1"));
    const auto r = merged({old, source(2, 9, false, {{"jobs/work/run-2", {3, work(1)}}})});
    EXPECT_TRUE(r.records.contains("jobs/work/run-1"));
    EXPECT_TRUE(r.records.contains("jobs/work/run-2"));
}

TEST(MergeTest, StoreAddsUnknownRecordsAndEndsJobsBelievedOpen) {
    const auto store = source(0, 0, false,
                              {{"jobs/work/run-1", {300, work(9, "n-9")}},
                               {"jobs/over/run-2", {301, done}},
                               {"jobs/work/run-3", {302, work(0)}},
                               {"jobs/work/run-4", {303, work(1)}}});
    const auto r = merged({source(1, 50, true,
                                  {{"jobs/work/run-1", {20, work(4)}},
                                   {"jobs/work/run-2", {21, work(1)}},
                                   {"jobs/over/run-4", {22, cancelled}}})},
                          store);
    EXPECT_EQ(r.records.at("jobs/work/run-1"), work(4)) << "its stamps say nothing beside those of the lost history";
    EXPECT_EQ(r.records.at("jobs/over/run-2"), done);
    EXPECT_FALSE(r.records.contains("jobs/work/run-2"));
    EXPECT_TRUE(r.records.contains("jobs/work/run-3"));
    EXPECT_FALSE(r.records.contains("jobs/work/run-4")) << "set back, it shows what had long been removed";
}

TEST(MergeTest, ReportsWhatIsLost) {
    const auto r = merged({source(1, 50, true,
                                  {{"jobs/work/run-1/2", {20, work(4)}},
                                   {"jobs/work/run-2", {21, "7"}},
                                   {"jobs/work/run-3", {22, work(1)}}}),
                           source(1, 50, true, {{"jobs/work/run-3", {22, work(2)}}})});
    EXPECT_EQ(r.records, (std::map<std::string, std::string>{{"jobs/work/run-3", work(2)}}));
    EXPECT_EQ(r.unrecoverable, (std::vector<std::string>{"submission lost run-1", "two values of jobs/work/run-3",
                                                  "unreadable jobs/work/run-2"}));
}

// --- the memory ---

TEST(RecordReplicaTest, HoldsWatchedAndReadRecordsInEitherOrder) {
    RecordReplica m;
    m.begin(1, "a", 10);
    EXPECT_TRUE(m.apply_changes(told(14,
                                     {item("jobs/work/run-1", work(2), 12), removed("jobs/work/run-2", 13),
                                      item("jobs/over/run-2", done, 11)},
                                     {false, true, false}))
                    .empty());
    m.add_page({item("jobs/work/run-1", work(1), 9), item("jobs/work/run-2", work(1), 8),
                item("jobs/work/run-3", work(0), 7)});
    m.pages_complete();
    EXPECT_TRUE(m.knows_job("run-1"));
    EXPECT_TRUE(m.is_over("run-2"));
    EXPECT_EQ(m.open_jobs(), (std::vector<std::string>{"run-1", "run-3"}));
    const auto all = m.source("me");
    EXPECT_TRUE(all.whole);
    EXPECT_EQ(all.revision, 14u);
    EXPECT_EQ(all.records.at("jobs/work/run-1"), (Record{12, boost::json::serialize(boost::json::parse(work(2)))}));
    EXPECT_FALSE(all.records.contains("jobs/work/run-2"));
    EXPECT_EQ(m.source("me", 11).records.size(), 1u) << "what is newer than that";
    EXPECT_FALSE(m.source("me", 11).whole);
}

TEST(RecordReplicaTest, ImpossibleRemovalIsReportedAndNotApplied) {
    RecordReplica m;
    m.begin(1, "a", 0);
    m.add_page({item("jobs/work/run-1", work(2), 3), item("jobs/over/run-2", done, 4)});
    m.pages_complete();
    using Keys = std::vector<std::string>;
    EXPECT_EQ(m.apply_changes(told(9, {removed("jobs/work/run-1", 9)}, {true})), Keys{"jobs/work/run-1"});
    EXPECT_EQ(m.apply_changes(told(10, {removed("jobs/over/run-2", 10)}, {true})), Keys{"jobs/over/run-2"});
    EXPECT_TRUE(m.knows_job("run-1"));
    EXPECT_TRUE(m.is_over("run-2"));
    EXPECT_EQ(m.apply_changes(
                  told(12, {item("jobs/over/run-1", cancelled, 11), removed("jobs/work/run-1", 12)}, {false, true})),
              Keys());
    EXPECT_TRUE(m.open_jobs().empty());
}

TEST(RecordReplicaTest, OwnAcknowledgedWritesCountBeforeTheWatchReportsThem) {
    RecordReplica m;
    m.begin(1, "a", 5);
    m.pages_complete();
    m.apply_own_write({"jobs/work/run-1", boost::json::parse(work(0)), 0}, 7);
    EXPECT_TRUE(m.knows_job("run-1"));
    EXPECT_EQ(m.revision(), 5u);
    EXPECT_TRUE(m.apply_changes(told(7, {item("jobs/work/run-1", work(0), 7)}, {false})).empty());
    EXPECT_EQ(m.size(), 1u);
}

TEST(RecordReplicaTest, CompactOutcomeBecomesAnEquivalentRecord) {
    RecordReplica m;
    m.begin(1, "a", 0);
    auto kept = boost::json::parse(done).as_object();
    kept["at"] = 1234567;
    kept["spec"] = boost::json::object{{"shape", "array"}, {"shards", 2}, {"bundle", std::string(3000, 'x')}};
    m.add_page({{"jobs/over/run-1", kept, 4}});
    const auto record = m.record("jobs/over/run-1");
    ASSERT_TRUE(record);
    EXPECT_LT(record->text.size(), 100u);
    EXPECT_EQ(boost::json::parse(record->text),
              boost::json::parse(R"({"state":"done","at":1234567,"shape":"array","shards":2})"));
    // The oldest format says nothing but state and submission.
    m.add_page({item("jobs/over/run-2", R"({"state":"aborted","spec":{"shape":"array","shards":3}})", 5)});
    EXPECT_TRUE(m.record("jobs/over/run-2")->text.find("spec") != std::string::npos);
    EXPECT_TRUE(m.knows_job("run-2"));
}

TEST(RecordReplicaTest, PageShowsSilentlyLostRecords) {
    RecordReplica m;
    m.begin(1, "a", 6);
    m.add_page(
        {item("jobs/over/run-1", done, 4), item("jobs/work/run-2", work(1), 5), item("jobs/work/run-3", work(1), 6)});
    m.apply_own_write({"jobs/over/run-9", boost::json::parse(done), 0}, recovery::deferred_mod_revision);
    m.pages_complete();
    const auto mark = m.mark();
    EXPECT_TRUE(m.missing_from(mark, "", "",
                               {item("jobs/over/run-1", done, 4), item("jobs/work/run-2", work(1), 5),
                                item("jobs/work/run-3", work(2), 8)})
                    .empty());
    EXPECT_EQ(m.missing_from(mark, "", "jobs/work/run-2", {item("jobs/work/run-2", work(0), 3)}).size(), 2u)
        << "one is gone, the other is older than it was; the third is on another page";
    EXPECT_EQ(m.missing_from(mark, "jobs/work/run-2", "", {item("jobs/work/run-3", "7", 6)}).size(), 1u)
        << "unreadable";
}

// A page that was asked for before a job was accepted cannot show it, however late it comes. The first version took it
// for lost, and brought the service down for a minute (docs/incidents/loss-without-a-loss.md).
TEST(RecordReplicaTest, RecordsLearnedAfterTheRequestAreNotMissingFromThePage) {
    RecordReplica m;
    m.begin(1, "a", 10);
    m.add_page({item("jobs/work/run-1", work(0), 4), item("jobs/work/run-2", work(0), 5)});
    m.pages_complete();
    const auto asked = m.mark();
    const std::vector<state::KeyValue> page{item("jobs/work/run-1", work(0), 4), item("jobs/work/run-2", work(0), 5)};
    m.apply_own_write({"jobs/work/run-3", boost::json::parse(work(0)), 0}, 11);  // accepted
    m.apply_changes(
        told(13, {item("jobs/work/run-1", work(1), 12), item("jobs/work/run-4", work(0), 13)},  // placed, accepted
             {false, false}));
    EXPECT_TRUE(m.missing_from(asked, "", "", page).empty());
    EXPECT_EQ(m.missing_from(m.mark(), "", "", page).size(), 3u) << "if it had been asked for now";
    m.begin(2, "b", 20);
    m.pages_complete();
    EXPECT_TRUE(m.missing_from(asked, "", "", page).empty()) << "of another history";
}

TEST(RecordReplicaTest, DigestDistinguishesOutcomesAndIgnoresLaterOnes) {
    RecordReplica a, b;
    for (auto* m : {&a, &b}) m->begin(1, "a", 0);
    a.add_page({item("jobs/over/run-1", done, 4), item("jobs/over/run-2", done, 5), item("jobs/over/run-3", done, 9)});
    b.add_page({item("jobs/over/run-1", done, 4), item("jobs/over/run-4", done, 5)});
    EXPECT_EQ(a.digest(5).outcomes, 2u);
    EXPECT_NE(a.digest(5), b.digest(5)) << "as many, and others";
    const auto before = a.digest(8);
    a.add_page({item("jobs/over/run-5", done, 12)});
    EXPECT_EQ(a.digest(8), before);
}

// --- pages and snapshots ---

TEST(ArchiveTest, PageIsDecodedWholeOrNotAtAll) {
    std::vector<wire::ArchivedRecord> records;
    for (int i = 0; i < 300; ++i) records.push_back({"jobs/work/run-" + std::to_string(i), 7u + i, work(i)});
    const auto bytes = wire::encode_archive(records);
    EXPECT_EQ(wire::decode_archive(bytes), records);
    EXPECT_EQ(wire::decode_archive_text(wire::encode_archive_text(records)), records);
    for (std::size_t n = 0; n < bytes.size(); n += 7) {
        EXPECT_THROW(wire::decode_archive(bytes.substr(0, n)), wire::DecodeError) << n;
        auto damaged = bytes;
        damaged[n] = static_cast<char>(damaged[n] ^ 0x10);
        try {
            EXPECT_EQ(wire::decode_archive(damaged), records) << "bits that mean nothing";
        } catch (const wire::DecodeError&) {
        }
    }
    EXPECT_THROW(wire::decode_archive_text("no page"), wire::DecodeError);
}

TEST(SnapshotFileTest, TornSnapshotLeavesThePreviousOne) {
    TemporaryDirectory dir;
    recovery::SnapshotFile snapshot_file(dir.path);
    EXPECT_FALSE(snapshot_file.newest());
    auto one = source(1, 10, true, {{"jobs/work/run-1", {4, work(1)}}});
    auto two = source(1, 20, true, {{"jobs/work/run-1", {14, work(2)}}, {"jobs/over/run-2", {15, done}}});
    ASSERT_TRUE(snapshot_file.put(one));
    ASSERT_TRUE(snapshot_file.put(two));
    EXPECT_EQ(snapshot_file.newest()->records, two.records);
    EXPECT_EQ(snapshot_file.newest()->revision, 20u);
    EXPECT_EQ(snapshot_file.newest()->id, "history-1");
    std::vector<fs::path> files;
    for (const auto& entry : fs::directory_iterator(dir.path)) files.push_back(entry.path());
    std::sort(files.begin(), files.end());
    ASSERT_EQ(files.size(), 2u);
    std::ifstream in(files[1], std::ios::binary);
    const std::string bytes{std::istreambuf_iterator<char>(in), {}};
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        std::ofstream(files[1], std::ios::binary | std::ios::trunc) << bytes.substr(0, n);
        ASSERT_TRUE(snapshot_file.newest());
        EXPECT_EQ(snapshot_file.newest()->records, one.records) << n;
    }
    // A crash before the rename leaves a part, which is nobody's.
    std::ofstream(files[1], std::ios::binary | std::ios::trunc) << bytes;
    std::ofstream(dir.path / "00000000000000000009-00000000000000000001.records.part") << bytes;
    EXPECT_EQ(snapshot_file.newest()->records, two.records);
}

TEST(SnapshotFileTest, KeepsTwoGenerationsAndSurvivesAnUnwritableDirectory) {
    TemporaryDirectory dir;
    recovery::SnapshotFile snapshot_file(dir.path);
    for (std::uint64_t n = 1; n <= 5; ++n) ASSERT_TRUE(snapshot_file.put(source(n / 3, n, true, {})));
    EXPECT_EQ(std::distance(fs::directory_iterator(dir.path), fs::directory_iterator()), 2);
    EXPECT_EQ(snapshot_file.newest()->revision, 5u);
    std::ofstream(dir.path / "file") << "not a directory";
    recovery::SnapshotFile nowhere(dir.path / "file");
    EXPECT_FALSE(nowhere.put(source(1, 1, true, {})));
    EXPECT_FALSE(nowhere.newest());
}

// --- the guard ---

namespace {

struct GuardedStoreTest : ::testing::Test {
    net::asio::io_context io;
    FakeStore inner;
    std::vector<std::string> doubts;
    std::map<std::string, std::uint64_t> written;
    state::GuardedStore store{inner,
                              "jobs/",
                              {[this](const char* why) { doubts.push_back(why); },
                               [this](const state::Change& c, std::uint64_t revision) { written[c.key] = revision; }}};

    template <class R>
    R run(net::awaitable<R> call) {
        R out;
        net::asio::co_spawn(io, std::move(call), [&](std::exception_ptr e, R r) {
            EXPECT_FALSE(e);
            out = std::move(r);
        });
        io.restart();
        io.run();
        return out;
    }
    state::TxnResult put(const std::string& key, std::uint64_t over = 0) {
        state::Txn txn;
        txn.conditions.push_back({key, over});
        txn.changes.push_back({key, boost::json::object{{"x", 1}}, 0});
        return run(store.commit(std::move(txn), state::RequestPriority::user));
    }
    state::TxnResult ask(const std::string& key) {
        state::Txn txn;
        txn.conditions.push_back({key, 0});
        return run(store.commit(std::move(txn), state::RequestPriority::user));
    }
    std::uint64_t make_marker() {
        state::Txn txn;
        state::GenerationMarker w;
        w.generation = 1;
        w.id = "one";
        txn.changes.push_back({state::marker_key, state::marker_record(w), 0});
        return inner.keys.commit(txn).revision;
    }
};

}  // namespace

TEST_F(GuardedStoreTest, ClosedGuardBlocksJobRecordsOnly) {
    EXPECT_EQ(put("jobs/work/run-1").outcome, Outcome::refused);
    EXPECT_EQ(ask("jobs/work/run-1").outcome, Outcome::refused);
    EXPECT_EQ(run(store.get("jobs/over/run-1", state::RequestPriority::user)).outcome, Outcome::refused);
    EXPECT_EQ(put("members/one").outcome, Outcome::ok);
    EXPECT_EQ(run(store.get("members/one", state::RequestPriority::user)).outcome, Outcome::ok);
    EXPECT_TRUE(inner.keys.range("jobs/").empty());
    EXPECT_TRUE(doubts.empty());
}

TEST_F(GuardedStoreTest, DifferentMarkerPreventsTheTransactionAndClosesTheGuard) {
    store.open(make_marker());
    EXPECT_EQ(put("jobs/work/run-1").outcome, Outcome::ok);
    EXPECT_EQ(written.at("jobs/work/run-1"), inner.keys.revision());
    make_marker();
    EXPECT_EQ(put("jobs/work/run-2").outcome, Outcome::refused);
    EXPECT_EQ(inner.keys.get("jobs/work/run-2").mod_revision, 0u);
    EXPECT_FALSE(store.is_open());
    EXPECT_EQ(doubts.size(), 1u);
}

// The proof that a job was never accepted: the records of both keys are absent, and so is the marker.
TEST_F(GuardedStoreTest, WipedStoreDoesNotProveThatAJobNeverExisted) {
    store.open(make_marker());
    ASSERT_EQ(put("jobs/work/run-1").outcome, Outcome::ok);
    inner.keys = Keys();
    EXPECT_EQ(ask("jobs/work/run-1").outcome, Outcome::refused);
    EXPECT_EQ(doubts.size(), 1u);
}

TEST_F(GuardedStoreTest, ResponseUnderALowerRevisionIsDiscarded) {
    store.open(make_marker());
    const auto copy = inner.keys;
    ASSERT_EQ(put("jobs/work/run-1").outcome, Outcome::ok);
    ASSERT_EQ(put("jobs/work/run-2").outcome, Outcome::ok);
    inner.keys = copy;
    EXPECT_EQ(put("jobs/work/run-3").outcome, Outcome::unknown) << "it stands, in a service that is not what it was";
    EXPECT_EQ(doubts.size(), 1u);
    EXPECT_FALSE(store.is_open());
    EXPECT_EQ(run(store.get("jobs/work/run-3", state::RequestPriority::user)).outcome, Outcome::refused);
}

TEST_F(GuardedStoreTest, NoFalseAlarmByConflictsRefusalsLostResponsesOrEarlierRequests) {
    store.open(make_marker());
    ASSERT_EQ(put("jobs/work/run-1").outcome, Outcome::ok);
    EXPECT_EQ(put("jobs/work/run-1").outcome, Outcome::conflict);
    inner.refuse = true;
    EXPECT_EQ(put("jobs/work/run-2").outcome, Outcome::refused);
    inner.refuse = false;
    inner.lose_answers = 1;
    EXPECT_EQ(put("jobs/work/run-2").outcome, Outcome::unknown);
    EXPECT_EQ(put("jobs/work/run-3").outcome, Outcome::ok);
    EXPECT_TRUE(doubts.empty());
    EXPECT_TRUE(store.is_open());
}

// What is remembered when something is asked holds for the answer; what becomes known meanwhile does not.
namespace {

struct MissingRecordTest : GuardedStoreTest {
    std::map<std::string, std::uint64_t> remembered;
    std::vector<std::string> missed;
    state::GuardedStore guard{
        inner,
        "jobs/",
        {[this](const char* why) { doubts.push_back(why); }, [](const state::Change&, std::uint64_t) {},
         [this](const std::string& key) { return remembered[key]; },
         [](const std::string& key) {
             const auto work = scheduler::parse_work_key(key);
             return work ? scheduler::outcome_key(work->uid) : std::string();
         },
         [this](const std::string& key) { missed.push_back(key); }}};
    state::TxnResult neither(const std::string& uid, bool at_once = true) {
        state::Txn txn;
        txn.conditions.push_back({scheduler::outcome_key(uid), 0});
        txn.conditions.push_back({scheduler::work_key(uid, 0), 0});
        if (at_once) return run(guard.commit(std::move(txn), state::RequestPriority::user));
        // The job is accepted elsewhere, and told here, after this was carried out and before its answer is here.
        state::TxnResult out;
        net::asio::co_spawn(io, guard.commit(std::move(txn), state::RequestPriority::user),
                            [&](std::exception_ptr, state::TxnResult r) { out = std::move(r); });
        io.restart();
        io.run_one();
        remembered[scheduler::work_key(uid, 0)] = inner.keys.revision() + 1;
        io.run();
        return out;
    }
    void SetUp() override { guard.open(make_marker()); }
};

}  // namespace

TEST_F(MissingRecordTest, MissingKnownJobIsCheckedAndNotReported) {
    EXPECT_EQ(neither("run-1").outcome, Outcome::ok);
    remembered["jobs/work/run-1"] = 1;
    EXPECT_EQ(neither("run-1").outcome, Outcome::refused);
    EXPECT_EQ(missed, std::vector<std::string>{"jobs/work/run-1"});
    EXPECT_TRUE(doubts.empty());
    EXPECT_TRUE(guard.is_open()) << "others are served";
}

TEST_F(MissingRecordTest, JobAcceptedMeanwhileIsNoSignOfLoss) {
    EXPECT_EQ(neither("run-1", false).outcome, Outcome::ok);
    EXPECT_TRUE(missed.empty());
}

TEST_F(MissingRecordTest, WorkMayBeRemovedBesideAnOutcomeAndAnOutcomeNever) {
    state::Txn txn;
    txn.changes.push_back({"jobs/over/run-1", boost::json::parse(done), 0});
    const auto mod_revision = inner.keys.commit(txn).revision;
    remembered["jobs/work/run-1"] = 1;
    EXPECT_EQ(neither("run-1").outcome, Outcome::conflict);
    EXPECT_EQ(run(guard.get("jobs/work/run-1", state::RequestPriority::user)).outcome, Outcome::ok);
    EXPECT_TRUE(missed.empty());
    remembered["jobs/over/run-1"] = mod_revision;
    EXPECT_EQ(run(guard.get("jobs/over/run-1", state::RequestPriority::user)).outcome, Outcome::ok);
    remembered["jobs/over/run-1"] = mod_revision + 4;
    EXPECT_EQ(run(guard.get("jobs/over/run-1", state::RequestPriority::user)).outcome, Outcome::refused)
        << "older than it was";
    remembered["jobs/over/run-2"] = mod_revision;
    EXPECT_EQ(run(guard.get("jobs/over/run-2", state::RequestPriority::user)).outcome, Outcome::refused) << "gone";
    EXPECT_EQ(missed.size(), 2u);
}

// Else a placement would be written for a job whose cancellation was lost.
TEST_F(MissingRecordTest, NoWriteIsSentOnTheAbsenceOfAKnownRecord) {
    remembered["jobs/over/run-1"] = 1;
    state::Txn txn;
    txn.conditions.push_back({"jobs/over/run-1", 0});
    txn.changes.push_back({"jobs/work/run-1", boost::json::object{{"x", 1}}, 0});
    const auto r = run(guard.commit(std::move(txn), state::RequestPriority::user));
    EXPECT_EQ(r.outcome, Outcome::conflict);
    EXPECT_EQ(r.failed, std::vector<std::string>{"jobs/over/run-1"});
    EXPECT_EQ(inner.keys.get("jobs/work/run-1").mod_revision, 0u);
}

// --- the second look ---

namespace {

struct ConsistencyCheckTest : ::testing::Test {
    net::asio::io_context io;
    FakeStore store;
    RecordReplica replica;
    recovery::ConsistencyCheck consistency_check{store, replica, [this] { return replica.revision(); }};
    using Verdict = recovery::ConsistencyCheck::Finding::Verdict;

    void SetUp() override {
        put("jobs/work/run-1", work(1));
        put("jobs/over/run-2", done);
        replica.begin(1, "a", store.keys.revision());
        replica.add_page(store.keys.range("jobs/"));
        replica.pages_complete();
    }
    std::uint64_t put(const std::string& key, const std::string& text) {
        state::Txn txn;
        txn.changes.push_back({key, text.empty() ? std::optional<boost::json::value>() : boost::json::parse(text), 0});
        return store.keys.commit(txn).revision;
    }
    recovery::ConsistencyCheck::Finding look(const std::string& key) {
        recovery::ConsistencyCheck::Finding out;
        net::asio::co_spawn(io, consistency_check.recheck(key, state::RequestPriority::user),
                            [&](std::exception_ptr e, recovery::ConsistencyCheck::Finding f) {
                                EXPECT_FALSE(e);
                                out = std::move(f);
                            });
        io.restart();
        io.run();
        return out;
    }
};

}  // namespace

TEST_F(ConsistencyCheckTest, PresentNewerOrProperlyRemovedRecordsAreSound) {
    EXPECT_EQ(look("jobs/work/run-1").verdict, Verdict::sound);
    EXPECT_EQ(look("jobs/over/run-2").verdict, Verdict::sound);
    EXPECT_EQ(look("jobs/work/run-7").verdict, Verdict::sound) << "nobody remembers it";
    put("jobs/work/run-1", work(2));
    EXPECT_EQ(look("jobs/work/run-1").verdict, Verdict::sound);
    put("jobs/over/run-1", cancelled);
    put("jobs/work/run-1", "");
    EXPECT_EQ(look("jobs/work/run-1").verdict, Verdict::sound);
}

TEST_F(ConsistencyCheckTest, MissingOlderOrDamagedRecordsAreFoundWithTheirPresentRevision) {
    const auto copy = store.keys;
    put("jobs/work/run-1", work(5));
    replica.apply_changes(told(store.keys.revision(), store.keys.range("jobs/work/"), {false}));
    const auto revision = store.keys.revision();
    store.keys = copy;
    auto f = look("jobs/work/run-1");
    EXPECT_EQ(f.verdict, Verdict::lost);
    EXPECT_EQ(f.expected, revision);
    EXPECT_EQ(f.present, copy.get("jobs/work/run-1").mod_revision);
    put("jobs/over/run-2", "");
    f = look("jobs/over/run-2");
    EXPECT_EQ(f.verdict, Verdict::lost);
    EXPECT_EQ(f.present, 0u);
    put("jobs/over/run-2", "7");
    EXPECT_TRUE(look("jobs/over/run-2").damaged);
}

// --- the keeper ---

namespace {

// One that plays on a service in memory, under a virtual time.
struct RecoveryCoordinatorTest : ::testing::Test {
    model::TimePoint now{std::chrono::seconds(1000)};
    RecoveryCoordinatorTest() {
        model::Clock::simulated = &now;
        service.quiet_watches = true;
    }
    ~RecoveryCoordinatorTest() override { model::Clock::simulated = nullptr; }

    FakeStore service;
    config::Settings cluster = settings();
    state::RecordFormat record_format{cluster};
    net::asio::io_context io;
    state::GuardedStore guarded{
        service,
        "jobs/",
        {[this](const char* why) { recovery.suspect_loss(why); },
         [this](const state::Change& c, std::uint64_t revision) { recovery.record_written(c, revision); }}};
    recovery::RecoveryCoordinator recovery{io.get_executor(),          service,    guarded, cluster, record_format,
                                           recovery::SnapshotFile(""), callbacks()};

    static recovery::RecoveryCoordinator::Callbacks callbacks() {
        recovery::RecoveryCoordinator::Callbacks l;
        l.time_of_day_ms = [] { return std::int64_t{1000}; };
        l.begin = [](election::Term, bool) {};
        l.new_term = [](const char*) {};
        l.outcomes = [](const std::vector<state::KeyValue>&, model::TimePoint,
                        recovery::RecoveryCoordinator::Callbacks::Look) {};
        l.rebuilt = [] {};
        l.seen_term = [] { return std::uint64_t{0}; };
        l.incarnation = 1;
        return l;
    }
    void pass(double seconds) {
        for (double t = 0; t < seconds; t += 0.02) {
            now += std::chrono::milliseconds(20);
            io.restart();
            io.poll();
        }
    }
    void put(const std::string& key, boost::json::value value) {
        state::Txn txn;
        txn.changes.push_back({key, std::move(value), 0});
        service.keys.commit(txn);
    }
};

}  // namespace

// A controller was out of reach while the others rebuilt, and alone remembers a job that it accepted. What the service
// refused of that was never tried again; and the others were certain that the job never was as soon as this one was
// heard, before it had added anything.
TEST_F(RecoveryCoordinatorTest, RecordKnownToOneReplicaOnlyIsAddedDespiteRefusals) {
    net::asio::co_spawn(io, recovery.run(), net::asio::detached);
    pass(10);
    ASSERT_TRUE(recovery.ready());
    ASSERT_TRUE(guarded.is_open());
    state::Txn txn;
    txn.conditions.push_back({"jobs/work/run-1", 0});
    txn.changes.push_back(
        {"jobs/work/run-1", boost::json::object{{"spec", boost::json::object()}, {"tasks", boost::json::array()}}, 0});
    Outcome accepted = Outcome::unknown;
    net::asio::co_spawn(io, guarded.commit(std::move(txn), state::RequestPriority::user),
                        [&](std::exception_ptr, state::TxnResult r) { accepted = r.outcome; });
    pass(0.1);
    ASSERT_EQ(accepted, Outcome::ok);
    // The others have rebuilt what there was before.
    const auto revision = service.keys.revision();
    service.keys = Keys();
    while (service.keys.revision() < revision + 10) put("other", 1);
    state::GenerationMarker w;
    w.generation = 2;
    w.id = "rebuilt";
    w.missing = {cluster.member};
    put(state::marker_key, state::marker_record(w));
    service.refuse_changes = "jobs/";
    pass(8);
    ASSERT_EQ(recovery.own_status().generation, 2u);
    EXPECT_EQ(service.keys.get("jobs/work/run-1").mod_revision, 0u);
    EXPECT_FALSE(recovery.knows_all_jobs()) << "that a job never was";
    EXPECT_EQ(recovery.own_status().remembers, 0u) << "nor may others be";
    service.refuse_changes.clear();
    pass(3);
    EXPECT_GT(service.keys.get("jobs/work/run-1").mod_revision, 0u);
    EXPECT_TRUE(recovery.knows_all_jobs());
    EXPECT_GT(recovery.own_status().remembers, 0u);
}

// --- what the leader makes of rebuilt records ---

TEST(ReconciliationTest, NothingIsPlacedBeforeEveryMachineOnAFreshListReported) {
    SchedulerHarness w;
    w.elect();
    w.leader->expect_unrecorded_tasks();
    w.accept(job("run-1", model::JobKind::array, 2));
    Worker heard, silent;
    silent.name = "n-000002";
    std::vector<model::ListedMachine> list;
    for (const auto* m : {&heard, &silent})
        list.push_back({m->name, "", m->type, m->zone, false, model::MachineStatus::running, Seconds(60)});
    w.heartbeat(heard);
    w.heartbeat(heard);
    w.pass(Seconds(20));
    EXPECT_FALSE(w.place()) << "no list has come yet";
    w.leader->machines_listed(list, w.now);
    EXPECT_FALSE(w.place()) << "the other machine may hold anything";
    EXPECT_TRUE(w.leader->scale_out(w.now).empty());
    w.heartbeat(silent);
    EXPECT_FALSE(w.place()) << "its report is older than the answer that showed it this term";
    w.heartbeat(silent);
    w.heartbeat(heard);
    EXPECT_TRUE(w.place());
    EXPECT_FALSE(w.leader->awaiting_reconciliation());
}

TEST(ReconciliationTest, MachineStillBootingAfterTheTermBeganHoldsNothing) {
    SchedulerHarness w;
    w.elect();
    w.leader->expect_unrecorded_tasks();
    w.accept(job("run-1", model::JobKind::array, 2));
    Worker heard;
    using model::MachineStatus;
    const auto list = [&](MachineStatus other) {
        return std::vector<model::ListedMachine>{
            {heard.name, "", heard.type, heard.zone, false, MachineStatus::running, Seconds(60)},
            {"n-000002", "", heard.type, heard.zone, false, other, Seconds(60)}};
    };
    w.heartbeat(heard);
    w.heartbeat(heard);
    w.leader->machines_listed(list(MachineStatus::booting), w.now);
    w.pass(Seconds(3));
    w.heartbeat(heard);
    EXPECT_FALSE(w.place()) << "that list may be older than this term, and the machine be up since";
    w.pass(Seconds(20));
    w.heartbeat(heard);
    w.leader->machines_listed(list(MachineStatus::running), w.now);
    EXPECT_FALSE(w.place()) << "it came up, nobody knows when";
    w.leader->machines_listed(list(MachineStatus::booting), w.now);
    EXPECT_TRUE(w.place());
    EXPECT_FALSE(w.leader->awaiting_reconciliation());
}

TEST(ReconciliationTest, JobWaitsOnlyForMachinesThatMayHoldItsTasks) {
    SchedulerHarness w;
    w.elect();
    w.leader->expect_unrecorded_tasks();
    Worker heard, silent;
    silent.name = "n-000002";
    silent.type = "large";
    auto anywhere = job("run-1", model::JobKind::array, 1);
    auto there = job("run-2", model::JobKind::array, 1);
    there.types = std::vector<std::string>{heard.type};
    w.accept(anywhere);
    w.accept(there);
    std::vector<model::ListedMachine> list;
    for (const auto* m : {&heard, &silent})
        list.push_back({m->name, "", m->type, m->zone, false, model::MachineStatus::running, Seconds(60)});
    w.heartbeat(heard);
    w.heartbeat(heard);
    w.pass(Seconds(20));
    w.heartbeat(heard);
    w.leader->machines_listed(list, w.now);
    EXPECT_TRUE(w.place());
    EXPECT_EQ(w.machine_of("run-2", 0), heard.name);
    EXPECT_EQ(w.machine_of("run-1", 0), "") << "it may be on the other";
    EXPECT_TRUE(w.leader->awaiting_reconciliation());
    EXPECT_TRUE(w.leader->scale_out(w.now).empty());
}

TEST(ReconciliationTest, LaterAttemptShownByAWorkerIsWhereTheTaskRuns) {
    SchedulerHarness w;
    w.elect();
    w.accept(job("run-1", model::JobKind::array, 3));
    // Of the placements that an earlier leader made, the records know nothing.
    Worker m;
    m.type = "large";
    w.elect();
    w.leader->expect_unrecorded_tasks();
    for (const std::uint32_t i : {0u, 2u}) {
        model::TaskReport t;
        t.id = {"run-1", i};
        t.attempt = 4;
        t.status = TaskStatus::running;
        m.tasks.push_back(t);
    }
    w.heartbeat(m, false);
    EXPECT_EQ(w.machine_of("run-1", 0), "") << "a report that may be old proves nothing";
    m.fencing_token = w.term;
    const auto commands = w.heartbeat(m);
    EXPECT_FALSE(w.ordered(commands, CommandType::kill, "run-1", 0));
    EXPECT_EQ(w.machine_of("run-1", 0), m.name);
    EXPECT_EQ(w.machine_of("run-1", 2), m.name);
    w.commit();
    w.pass(Seconds(20));
    w.leader->machines_listed({}, w.now);
    w.heartbeat(m);
    ASSERT_TRUE(w.place());
    EXPECT_NE(w.machine_of("run-1", 1), "");
    EXPECT_EQ(m.find("run-1", 0)->attempt, 4u);
    // The next leader finds them where they are.
    w.elect();
    EXPECT_EQ(w.machine_of("run-1", 2), m.name);
}

TEST(ReconciliationTest, OrphanedTasksAreStoppedAndWaitedFor) {
    SchedulerHarness w;
    w.elect();
    w.leader->expect_unrecorded_tasks();
    Worker m;
    model::TaskReport t;
    t.id = {"run-9", 0};
    t.attempt = 2;
    t.status = TaskStatus::running;
    m.tasks.push_back(t);
    w.heartbeat(m);
    w.accept(job("run-9", model::JobKind::array, 1));  // submitted again, as a new job
    w.pass(Seconds(20));
    w.leader->machines_listed({}, w.now);
    EXPECT_FALSE(w.place());
    m.fencing_token = w.term;
    w.heartbeat(m);
    w.heartbeat(m);
    EXPECT_TRUE(w.place());
    EXPECT_TRUE(w.leader->take_loss_evidence() == false);
}

TEST(ReconciliationTest, OnlyAnAttemptAboveTheRecordedOneIndicatesLoss) {
    SchedulerHarness w;
    w.elect();
    w.accept(job("run-1", model::JobKind::array, 1));
    w.settle();
    Worker m;
    w.heartbeat(m);
    w.heartbeat(m);
    ASSERT_TRUE(w.place());
    w.heartbeat(m);
    m.run_all();
    w.heartbeat(m);
    Worker old = m;
    m.lose_lease();
    w.heartbeat(m);
    EXPECT_FALSE(w.leader->take_loss_evidence());
    old.name = "n-000007";
    old.tasks[0].attempt = 9;
    w.heartbeat(old);
    EXPECT_TRUE(w.leader->take_loss_evidence());
    EXPECT_FALSE(w.leader->take_loss_evidence()) << "it is told once";
}

TEST(TermNumberTest, TermExceedsTheTimeOfDaySoThatNoLostTermReturns) {
    net::asio::io_context io;
    FakeStore store;
    std::vector<election::Term> won;
    std::int64_t clock = 5000;
    election::Elector elector(io.get_executor(), store, "one", Seconds(5),
                              {[&](election::Term t) { won.push_back(t); }, [] {}}, [&] { return clock; });
    net::asio::co_spawn(io, elector.run(), net::asio::detached);
    const auto settle = [&] {
        io.restart();
        while (io.poll() > 0) {
        }
    };
    settle();
    ASSERT_EQ(won.size(), 1u);
    EXPECT_EQ(won[0].number, 5000u);
    EXPECT_FALSE(won[0].gap);
    store.keys = Keys();
    clock = 9000;
    elector.restart_term("the state service lost data");
    settle();
    ASSERT_EQ(won.size(), 2u);
    EXPECT_EQ(won[1].number, 9000u);
    EXPECT_EQ(won[1].previous, 0u);
    EXPECT_TRUE(won[1].gap) << "term 5000 was seen, and is not on record";
}

}  // namespace flintdale::test
