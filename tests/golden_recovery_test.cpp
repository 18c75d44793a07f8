// Golden tests of the recovery package's stored data: it is written with the same bytes as before, and data that an
// earlier version left during a rebuild can be read.
#include "recovery/recovery_coordinator.hpp"
#include "scheduler/job.hpp"
#include "support/golden_store.hpp"

namespace flintdale::test {

namespace {

constexpr std::uint64_t own_term = 1'700'000'000'500;  // term of the leader in all tests

// One controller's recovery coordinator on an in-memory store, under simulated time.
class CoordinatorOnFakeStore {
    SimulatedClock time_;  // declared first, because the other members read the clock during construction

  public:
    CoordinatorOnFakeStore(const std::string& own_name, const std::string& other_name)
        : settings_(golden_settings(own_name, other_name)), record_format_(settings_) {
        store.empty_watches = true;
    }

    ChangeLoggingStore store;
    bool began = false, began_with_reconciliation_pending = false;  // arguments of the begin_term callback
    std::uint64_t highest_seen_term = 0;
    std::vector<state::KeyValue> outcomes;  // that the coordinator reported

    void start() { net::asio::co_spawn(io_, recovery.run(), net::asio::detached); }
    void advance(double seconds) { time_.advance(io_, seconds); }
    std::uint64_t put(const std::vector<state::Change>& changes) {
        state::Txn txn;
        txn.changes = changes;
        return store.keys.commit(txn).revision;
    }
    void lead(std::uint64_t number) {
        state::Change change;
        change.key = election::term_key;
        change.value = boost::json::object();
        election::Term term;
        term.number = number;
        term.mod_revision = put({change});
        recovery.term_won(term);
    }
    // The store loses all keys and starts counting revisions from zero.
    void wipe() { store.keys = InMemoryStore(); }
    std::string keys(const std::string& prefix) const {
        std::vector<state::Change> out;
        for (const auto& item : store.keys.range(prefix)) {
            state::Change change;
            change.key = item.key;
            change.value = item.value;
            out.push_back(change);
        }
        return lines_of(out);
    }

  private:
    recovery::RecoveryCoordinator::Callbacks callbacks() {
        recovery::RecoveryCoordinator::Callbacks out;
        out.time_of_day_ms = [] { return std::int64_t(1'700'000'000'123); };
        out.begin_term = [this](election::Term, bool reconciliation_pending) {
            began = true;
            began_with_reconciliation_pending = reconciliation_pending;
        };
        out.restart_term = [](const char*) {};
        out.outcomes_read = [this](const std::vector<state::KeyValue>& reported, model::TimePoint,
                                   recovery::RecoveryCoordinator::Callbacks::OutcomeCoverage) {
            outcomes.insert(outcomes.end(), reported.begin(), reported.end());
        };
        out.records_rebuilt = [] {};
        out.highest_seen_term = [this] { return highest_seen_term; };
        out.incarnation = 7;
        return out;
    }

    config::Settings settings_;
    state::RecordFormat record_format_;
    net::asio::io_context io_;

  public:
    state::GuardedStore guarded{
        store,
        scheduler::jobs_prefix,
        {[this](const char* why) { recovery.suspect_loss(why); },
         [this](const state::Change& change, std::uint64_t revision) { recovery.record_written(change, revision); }}};
    recovery::RecoveryCoordinator recovery{io_.get_executor(),         store,      guarded, settings_, record_format_,
                                           recovery::SnapshotFile(""), callbacks()};
};

// The records of a placed open job, a done job and a cancelled job.
std::vector<state::Change> records_of_jobs() {
    std::vector<state::Change> out(3);
    model::TaskRange range;
    range.to = 15;
    range.attempt = 2;
    range.machine = "n-000001";
    out[0].key = scheduler::work_key(full_submission().uid, 0);
    auto work = scheduler::first_work_record(full_submission());
    work["tasks"] = wire::ranges_to_record({range});
    out[0].value = work;
    const auto settings = golden_settings("hearth-0", "hearth-1");
    state::RecordFormat record_format(settings);
    record_format.set_supported_format(state::newest_format);
    model::JobSize size;
    size.tasks = 40;
    out[1].key = scheduler::outcome_key("run-3");
    out[1].value = scheduler::outcome_record(record_format, model::JobState::done, 1'700'000'000'001, nullptr, size);
    out[2].key = scheduler::outcome_key("run-4");
    out[2].value = scheduler::outcome_record(record_format, model::JobState::cancelled, 0, nullptr, size);
    return out;
}

std::vector<state::Change> only(const std::vector<state::Change>& changes, const std::string& prefix) {
    std::vector<state::Change> out;
    for (const auto& change : changes)
        if (change.key.starts_with(prefix) && change.value) out.push_back(change);
    return out;
}

state::Change marker_change(const state::GenerationMarker& marker) {
    state::Change change;
    change.key = state::marker_key;
    change.value = state::marker_record(marker);
    return change;
}

std::vector<state::GenerationMarker> markers() {
    state::GenerationMarker full;
    full.generation = 4;
    full.id = "hearth-0-1700000000123";
    full.rebuilder = "hearth-1";
    full.term = 1'700'000'000'400;
    full.base_history = "hearth-2-1600000000000";
    full.base_revision = 8'000'000'123;
    full.loss_exceeds_replica = true;
    full.rebuilders = {1'700'000'000'300, 1'700'000'000'400};
    full.keys_only = true;
    full.missing = {"hearth-1", "hearth-2"};
    state::GenerationMarker bare;
    bare.generation = 1;
    std::vector<state::GenerationMarker> out;
    using Phase = state::GenerationMarker::Phase;
    for (const auto phase : {Phase::complete, Phase::merging, Phase::restoring})
        for (auto marker : {full, bare}) {
            marker.phase = phase;
            out.push_back(marker);
        }
    return out;
}

enum class Offering : std::uint8_t { all, has_led, has_led_reconciliation_pending, newer_only };

// The changes that a recovery coordinator writes to offer its replica to a rebuilder after the store was wiped.
std::string offers_of(Offering offering) {
    CoordinatorOnFakeStore service("hearth-1", "hearth-0");
    const auto records = records_of_jobs();
    for (const auto& record : records) service.put({record});
    auto previous = markers().at(1);
    previous.id = "hearth-1-1";
    previous.loss_exceeds_replica = offering == Offering::has_led_reconciliation_pending;
    service.put({marker_change(previous)});
    state::Change pending;
    pending.key = recovery::reconciliation_pending_key;
    pending.value = boost::json::object();
    if (previous.loss_exceeds_replica) service.put({pending});
    service.start();
    service.advance(3);
    if (offering == Offering::has_led || offering == Offering::has_led_reconciliation_pending)
        service.lead(own_term - 5);
    service.highest_seen_term = offering == Offering::all ? own_term - 1 : 0;
    service.advance(3);
    service.recovery.term_lost();
    service.wipe();
    auto marker = markers().at(3);
    marker.generation = 2;
    marker.rebuilder = "hearth-0";
    marker.term = own_term;
    if (offering == Offering::newer_only) {
        marker.base_history = previous.id;
        marker.base_revision = records.size() - 1;
    }
    service.store.change_log.clear();
    service.put({marker_change(marker)});
    service.advance(3);
    return service.store.change_log;
}

}  // namespace

// The marker in each phase, with all fields and with the fewest.
TEST(GoldenTest, GenerationMarkerIsWrittenAndReadAsBefore) {
    std::string out, rewritten;
    for (const auto& marker : markers()) out += line_of(marker_change(marker));
    expect_golden("markers.txt", out);
    for (const auto& change : changes_in("markers.txt")) {
        const auto marker = state::parse_marker({change.key, *change.value, 12});
        ASSERT_TRUE(marker) << change.key;
        EXPECT_EQ(marker->mod_revision, 12u);
        rewritten += line_of(marker_change(*marker));
    }
    expect_golden("markers.txt", rewritten);
}

// All changes that a recovery coordinator writes: the marker of a new store; the digest; after a loss the marker in
// each phase, the offers, the records, the deferred outcomes and the key that marks reconciliation as pending; and the
// removal of all these.
TEST(GoldenTest, WritesDuringLossAndRebuildAreAsBefore) {
    CoordinatorOnFakeStore service("hearth-0", "hearth-1");
    service.put(records_of_jobs());
    service.start();
    service.advance(8);
    service.lead(own_term);
    service.advance(4);
    EXPECT_TRUE(service.began);
    EXPECT_FALSE(service.began_with_reconciliation_pending);
    service.highest_seen_term = own_term + 1;  // a term that may have placed tasks
    service.advance(3);
    service.recovery.term_lost();
    service.wipe();
    service.advance(3);
    service.lead(own_term);
    service.began = false;
    service.advance(20);
    EXPECT_TRUE(service.began);
    EXPECT_TRUE(service.began_with_reconciliation_pending);
    expect_golden("loss_and_rebuilding.txt", service.store.change_log);
    expect_golden("after_the_rebuilding.txt", service.keys(scheduler::jobs_prefix));
}

// The offers of a controller that does not lead: its entire replica; the same after it has led, and after it has led
// while reconciliation was pending; and only the records that are newer than the rebuilder's replica.
TEST(GoldenTest, OffersToARebuilderAreWrittenAsBefore) {
    expect_golden("offers.txt", offers_of(Offering::all));
    expect_golden("offers_of_a_former_leader.txt", offers_of(Offering::has_led));
    expect_golden("offers_reconciliation_pending.txt", offers_of(Offering::has_led_reconciliation_pending));
    expect_golden("offers_newer_records_only.txt", offers_of(Offering::newer_only));
}

// A recovery coordinator with an empty replica rebuilds the same records from offers that an earlier version made, and
// derives from the terms in them whether the last placements are known.
TEST(GoldenTest, RecordsAreRebuiltFromOffersOfAnEarlierVersion) {
    for (const std::string name : {"offers", "offers_of_a_former_leader", "offers_reconciliation_pending"}) {
        CoordinatorOnFakeStore service("hearth-0", "hearth-1");
        service.put({marker_change(markers().at(3))});
        service.put(only(changes_in(name + ".txt"), recovery::offers_prefix));
        service.start();
        service.advance(1);
        service.lead(own_term);
        service.advance(40);
        EXPECT_TRUE(service.began);
        EXPECT_EQ(service.began_with_reconciliation_pending, name != "offers_of_a_former_leader");
        expect_golden("after_the_rebuilding.txt", service.keys(scheduler::jobs_prefix));
        expect_golden("rebuilt_from_" + name + ".txt", service.store.change_log);
    }
}

// Data that an earlier version left during a rebuild is used: deferred outcomes count as stored and are restored to
// their keys, and a term begins with reconciliation pending.
TEST(GoldenTest, DeferredOutcomesAndPendingReconciliationOfAnEarlierVersionAreRead) {
    CoordinatorOnFakeStore service("hearth-0", "hearth-1");
    const auto written = changes_in("loss_and_rebuilding.txt");
    service.put({marker_change(markers().at(0))});
    service.put(only(written, recovery::deferred_prefix));
    service.put(only(written, recovery::reconciliation_pending_key));
    service.start();
    service.advance(1);
    const auto outcome = service.recovery.outcome_of("run-3");
    ASSERT_TRUE(outcome);
    EXPECT_EQ(outcome->state, model::JobState::done);
    EXPECT_EQ(outcome->size.tasks, 40u);
    service.lead(own_term);
    service.advance(10);
    EXPECT_TRUE(service.began);
    EXPECT_TRUE(service.began_with_reconciliation_pending);
    expect_golden("deferred_outcomes_restored.txt", service.store.change_log);
}

// A digest of an earlier version is compared with all records and with fewer: a loss is declared only in the second
// case.
TEST(GoldenTest, DigestOfAnEarlierVersionDetectsALoss) {
    for (const bool lost : {false, true}) {
        CoordinatorOnFakeStore service("hearth-0", "hearth-1");
        auto records = records_of_jobs();
        if (lost) records.resize(2);
        service.put(records);
        state::GenerationMarker marker;
        marker.generation = 1;
        service.put({marker_change(marker)});
        for (int i = 0; i < 5; ++i) service.put({marker_change(marker)});
        service.put({only(changes_in("loss_and_rebuilding.txt"), recovery::digest_key).at(0)});
        service.start();
        service.advance(3);
        EXPECT_EQ(service.recovery.recovering(), lost);
        EXPECT_EQ(service.guarded.is_open(), !lost);
        if (lost) expect_golden("declared_by_digest.txt", service.store.change_log);
    }
}

}  // namespace flintdale::test
