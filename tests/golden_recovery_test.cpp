// What is kept of losses: the bytes stay what they were, and what an earlier version left in the midst of a rebuilding
// is understood.
#include "recovery/recovery_coordinator.hpp"
#include "scheduler/job.hpp"
#include "support/golden_store.hpp"

namespace flintdale::test {

namespace {

constexpr std::uint64_t own_term = 1'700'000'000'500;  // of the leader in all tests

// One controller's recovery coordinator on a service in memory, under a time of its own.
class CoordinatorOnFakeStore {
    SimulatedClock time_;  // first, for all others look at the clock when they are made

  public:
    CoordinatorOnFakeStore(const std::string& own_name, const std::string& other_name)
        : settings_(golden_settings(own_name, other_name)), record_format_(settings_) {
        store.empty_watches = true;
    }

    ChangeLoggingStore store;
    bool began = false, began_unsettled = false;
    std::uint64_t seen_term = 0;
    std::vector<state::KeyValue> outcomes;  // that the coordinator reported

    void start() { net::asio::co_spawn(io_, recovery.run(), net::asio::detached); }
    void pass(double seconds) { time_.advance(io_, seconds); }
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
    // The service forgets everything, and goes on counting from where that leaves it.
    void wipe() { store.keys = Keys(); }
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
        out.begin_term = [this](election::Term, bool unsettled) {
            began = true;
            began_unsettled = unsettled;
        };
        out.restart_term = [](const char*) {};
        out.outcomes_read = [this](const std::vector<state::KeyValue>& told, model::TimePoint,
                                   recovery::RecoveryCoordinator::Callbacks::OutcomeCoverage) {
            outcomes.insert(outcomes.end(), told.begin(), told.end());
        };
        out.records_rebuilt = [] {};
        out.highest_seen_term = [this] { return seen_term; };
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

// An open job that is placed, one that is done and one that is cancelled.
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

enum class Offering : std::uint8_t { all, has_led, has_led_unsettled, newer_only };

// What a recovery coordinator writes for another that rebuilds after everything was lost.
std::string offers_of(Offering what) {
    CoordinatorOnFakeStore service("hearth-1", "hearth-0");
    const auto records = records_of_jobs();
    for (const auto& record : records) service.put({record});
    auto former = markers().at(1);
    former.id = "hearth-1-1";
    former.loss_exceeds_replica = what == Offering::has_led_unsettled;
    service.put({marker_change(former)});
    state::Change unsettled;
    unsettled.key = recovery::reconciliation_pending_key;
    unsettled.value = boost::json::object();
    if (former.loss_exceeds_replica) service.put({unsettled});
    service.start();
    service.pass(3);
    if (what == Offering::has_led || what == Offering::has_led_unsettled) service.lead(own_term - 5);
    service.seen_term = what == Offering::all ? own_term - 1 : 0;
    service.pass(3);
    service.recovery.term_lost();
    service.wipe();
    auto marker = markers().at(3);
    marker.generation = 2;
    marker.rebuilder = "hearth-0";
    marker.term = own_term;
    if (what == Offering::newer_only) {
        marker.base_history = former.id;
        marker.base_revision = records.size() - 1;
    }
    service.store.change_log.clear();
    service.put({marker_change(marker)});
    service.pass(3);
    return service.store.change_log;
}

}  // namespace

// The marker in each phase, with every field and with as few as there can be.
TEST(GoldenTest, TheMarkerIsWrittenAndReadAsBefore) {
    std::string out, again;
    for (const auto& marker : markers()) out += line_of(marker_change(marker));
    expect_golden("markers.txt", out);
    for (const auto& change : changes_in("markers.txt")) {
        const auto marker = state::parse_marker({change.key, *change.value, 12});
        ASSERT_TRUE(marker) << change.key;
        EXPECT_EQ(marker->mod_revision, 12u);
        again += line_of(marker_change(*marker));
    }
    expect_golden("markers.txt", again);
}

// All that a recovery coordinator writes: the marker of a new service; the digest; after a loss the marker in its
// phases, the offers, the records, what is owed and that placements are not settled; and how that goes away.
TEST(GoldenTest, ALossAndItsRebuildingAreWrittenAsBefore) {
    CoordinatorOnFakeStore service("hearth-0", "hearth-1");
    service.put(records_of_jobs());
    service.start();
    service.pass(8);
    service.lead(own_term);
    service.pass(4);
    EXPECT_TRUE(service.began);
    EXPECT_FALSE(service.began_unsettled);
    service.seen_term = own_term + 1;  // some term was about that may have placed something
    service.pass(3);
    service.recovery.term_lost();
    service.wipe();
    service.pass(3);
    service.lead(own_term);
    service.began = false;
    service.pass(20);
    EXPECT_TRUE(service.began);
    EXPECT_TRUE(service.began_unsettled);
    expect_golden("loss_and_rebuilding.txt", service.store.change_log);
    expect_golden("after_the_rebuilding.txt", service.keys(scheduler::jobs_prefix));
}

// What one that does not lead offers to the rebuilder: all that it remembers; the same where it has led, and where
// placements were not settled then; and only what the rebuilder does not remember itself.
TEST(GoldenTest, OffersToAnotherAreWrittenAsBefore) {
    expect_golden("offers.txt", offers_of(Offering::all));
    expect_golden("offers_of_a_former_leader.txt", offers_of(Offering::has_led));
    expect_golden("offers_while_unsettled.txt", offers_of(Offering::has_led_unsettled));
    expect_golden("offers_of_what_is_newer.txt", offers_of(Offering::newer_only));
}

// Offers that an earlier version made: a recovery coordinator that remembers nothing rebuilds the same records from
// them, and knows from what they say of terms whether the last placements are known.
TEST(GoldenTest, OffersOfAnEarlierVersionAreRebuiltFrom) {
    for (const std::string name : {"offers", "offers_of_a_former_leader", "offers_while_unsettled"}) {
        CoordinatorOnFakeStore service("hearth-0", "hearth-1");
        service.put({marker_change(markers().at(3))});
        service.put(only(changes_in(name + ".txt"), recovery::offers_prefix));
        service.start();
        service.pass(1);
        service.lead(own_term);
        service.pass(40);
        EXPECT_TRUE(service.began);
        EXPECT_EQ(service.began_unsettled, name != "offers_of_a_former_leader");
        expect_golden("after_the_rebuilding.txt", service.keys(scheduler::jobs_prefix));
        expect_golden("rebuilt_from_" + name + ".txt", service.store.change_log);
    }
}

// What an earlier version left behind in the midst of a rebuilding is taken up: outcomes that are owed count as on
// record and go back to their places, and a term knows that placements are not settled.
TEST(GoldenTest, OwedOutcomesAndUnsettledPlacementsOfAnEarlierVersionAreUnderstood) {
    CoordinatorOnFakeStore service("hearth-0", "hearth-1");
    const auto written = changes_in("loss_and_rebuilding.txt");
    service.put({marker_change(markers().at(0))});
    service.put(only(written, recovery::deferred_prefix));
    service.put(only(written, recovery::reconciliation_pending_key));
    service.start();
    service.pass(1);
    const auto outcome = service.recovery.outcome_of("run-3");
    ASSERT_TRUE(outcome);
    EXPECT_EQ(outcome->state, model::JobState::done);
    EXPECT_EQ(outcome->size.tasks, 40u);
    service.lead(own_term);
    service.pass(10);
    EXPECT_TRUE(service.began);
    EXPECT_TRUE(service.began_unsettled);
    expect_golden("owed_is_paid_back.txt", service.store.change_log);
}

// An earlier version's digest, held against all records and against fewer: only then a loss is declared.
TEST(GoldenTest, ADigestOfAnEarlierVersionShowsALoss) {
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
        service.pass(3);
        EXPECT_EQ(service.recovery.recovering(), lost);
        EXPECT_EQ(service.guarded.is_open(), !lost);
        if (lost) expect_golden("declared_by_digest.txt", service.store.change_log);
    }
}

}  // namespace flintdale::test
