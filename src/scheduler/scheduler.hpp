// The leader's mind for one term: the jobs, the machines, and what should happen next. It owns that state, does
// no I/O and reads no clock; the loops in app/ carry messages between it and the world.
#pragma once
#include <array>
#include <functional>
#include <unordered_map>

#include "config/settings.hpp"
#include "model/clock.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"
#include "model/task.hpp"
#include "quota/quota_accounting.hpp"
#include "scheduler/dependency_graph.hpp"
#include "scheduler/job.hpp"
#include "state/store.hpp"

namespace flintdale::scheduler {

struct Batch {
    struct Part {
        std::string uid;
        std::uint32_t chunk = 0, generation = 0;
        enum class Kind : std::uint8_t { write, finish, abort } kind = Kind::write;
        std::int64_t at = 0;  // of an outcome, by the time of day
    };
    state::Txn txn;
    std::vector<Part> parts;
    std::vector<std::string> keys;  // all whose stamps the batch depends on, the term's aside
    bool empty() const { return txn.changes.empty(); }
};

struct Release {
    std::string machine;
    const char* why;
};
// The reason that a rule gives, and not economy: such a machine is returned though nobody can tell whether the term is
// still this leader's.
inline constexpr const char* cancelled_work = "cancelled";

// How many of the machines that should report have lately done so.
struct HeartbeatCoverage {
    std::size_t expected = 0, heard = 0;
    // Machines do not die nearly all at once: if so few are heard, this controller is cut off from them.
    bool cut_off_from_workers() const { return expected > 2 && heard * 4 < expected; }
};

struct JobCount {
    std::uint32_t done = 0, running = 0;
};

inline TimePoint after(TimePoint t, Seconds s) { return t + model::to_clock(s); }

class Scheduler {
  public:
    Scheduler(const config::Settings& settings, const config::OperatorSettings& operator_settings,
              const state::RecordFormat& record_format, std::uint64_t term, std::uint64_t term_revision, TimePoint now);

    // --- What others tell it ---
    // All records of open work, read after the term was won. May come again; jobs already known are left alone. `at` is
    // the time of day, for how long jobs have waited under leaders before.
    void load(const std::vector<state::KeyValue>& work, TimePoint now, std::int64_t at = 0);
    // A job was accepted, or is over: one of its keys. False if that is no news. `at`, the time of day, tells for how
    // long what is read late has been so.
    bool job_changed(const state::KeyValue& item, TimePoint now, std::int64_t at = 0);
    // A peer says that users were told so; the record follows when the state service answers. False if that is no news.
    bool cancelled_by_peer(const std::string& uid, TimePoint now);
    // Whether a record of open work shows a task further than this leader knows it to be. Only leaders write where
    // tasks are, so it was put back after a loss, and this leader has read all without it. `over`: jobs that are.
    bool is_behind(const state::KeyValue& item, const std::function<bool(const std::string&)>& over) const;
    // The job, read as open work, has had an outcome for so long. Done or cancelled, it is the same now: what may be
    // left of it must go.
    void job_over(const std::string& uid, TimePoint now, Seconds ago = Seconds(0));
    // A report, and the orders that answer it; nothing if it is older than what is known or must not be answered.
    std::optional<std::vector<model::Command>> handle_heartbeat(const model::Heartbeat& r, TimePoint now);
    // What to expect for a worker whose report was just heard and is not answered yet.
    enum class Prospect : std::uint8_t { nothing, a_plan, a_write };
    // a_write: tasks placed there are not on record yet; a_plan: it has room, and work waits that was not planned since
    // that many passes.
    Prospect expected_work(const model::Heartbeat& r, std::uint64_t passes) const;
    std::uint64_t passes() const { return passes_; }
    // Runs of tasks placed since that report, for its answer; none if the worker has reported again meanwhile.
    std::vector<model::Command> pending_runs(const model::Heartbeat& r);
    void set_machine_types(std::vector<model::MachineType> types);
    void machines_listed(const std::vector<model::ListedMachine>& machines, TimePoint now);
    void machines_launched(const fleet::Pool& pool, const std::vector<std::string>& machines, TimePoint now);
    void launch_refused(const fleet::Pool& pool, TimePoint now) { inventory_.refused(pool, now); }
    void machines_released(const std::vector<std::string>& machines, TimePoint now);

    // --- What it wants done ---
    // Places what waits; true if anything was placed.
    bool place(TimePoint now);
    // Moves tasks to where they start sooner, and services off machines that are not worth their price.
    void relocate(TimePoint now);
    std::vector<fleet::InstanceRequest> scale_out(TimePoint now);
    std::vector<Release> scale_in(TimePoint now) const;
    // The release is about to be sent: whatever becomes of it, these machines are not used again.
    void release_requested(const std::vector<Release>& machines);
    HeartbeatCoverage heartbeat_coverage(TimePoint now) const;
    // This process stood still for so long: what it did not hear meanwhile says nothing about the machines.
    void process_paused(model::Clock::duration gap);

    // The records are rebuilt and may lack the last placements. A job is placed once every machine that its tasks may
    // be on has been heard under this term, or is gone by the cloud's word, or cannot have been up; and what workers
    // show beyond the records is taken for true.
    void expect_unrecorded_tasks() { unsettled_ = true; }
    bool awaiting_reconciliation() const { return unsettled_; }
    // Whether a worker has shown what cannot be, unless records were lost, since this was last asked.
    bool take_loss_evidence() { return std::exchange(loss_seen_, false); }

    // Keys to be read and told to job_changed: outcomes of jobs that others wait for, and pieces of submissions.
    std::vector<std::string> keys_to_read() const;

    // At most so many changes; no more than a transaction may hold. `at` is the time of day.
    Batch next_batch(std::size_t most, std::int64_t at = 0);
    // True if jobs may start now that waited for others.
    bool batch_committed(const Batch& batch, std::uint64_t revision, TimePoint now);
    // The service will never take the batch as it is.
    void batch_rejected(const Batch& batch, TimePoint now);
    // The batch failed or its fate is unknown, and its keys were read again.
    void record_reread(const state::KeyValue& item, TimePoint now);
    void batch_failed(const Batch& batch);
    // Records of jobs that are over, to be removed when there is nothing better to write.
    state::Txn take_garbage(std::size_t most);
    void garbage_kept(const state::Txn& txn);  // they were not removed
    bool dirty() const { return !dirty_.empty(); }

    std::vector<std::string> open_jobs() const;
    bool knows(const std::string& uid) const { return jobs_.contains(uid); }
    std::optional<JobCount> count(const std::string& uid) const;
    std::vector<std::pair<std::string, JobCount>> take_changed_counts();
    std::uint64_t term() const { return term_; }
    std::uint64_t term_revision() const { return term_revision_; }
    fleet::MachineInventory& inventory() { return inventory_; }
    // The teams' figures, where they are others than in the settings.
    void set_teams(quota::Table table) { teams_.set(std::move(table)); }
    const quota::QuotaAccounting& teams() const { return teams_; }
    const Job* job(const std::string& uid) const;
    std::size_t running_machines(TimePoint now) const;
    // What waits, by class, and what each machine holds, for the debug log.
    std::string summary(TimePoint now) const;

  private:
    static constexpr std::uint32_t max_planned_tasks = 400;  // of one job, in one go: bounds the work of a tick
    static constexpr double quiet_reports = 2.2;             // report intervals after which a machine gets no new work
    // When the next report is overdue: it may come a quarter late, and a packet may be lost on the way.
    Seconds overdue() const { return settings_.heartbeat_interval * 1.25 + Seconds(1); }

    Job* find(const std::string& uid);
    Job& create(JobSpec spec, TimePoint now, bool known_before);
    std::int64_t window_at(std::int64_t ms) const;
    struct Found;
    void recover(const std::string& uid, Found& found, TimePoint now, std::int64_t at);
    Job* assembled(const WorkKey& key, const state::KeyValue& item, TimePoint now, bool recovering);
    // Zones of which hardly a machine has reported in the last moments, though many should have.
    std::vector<bool> quiet_zones(TimePoint now) const;
    // What the graph of prerequisites says of open jobs.
    void need(Job& job, const std::vector<std::string>& dependencies, TimePoint now);
    bool take_in(const DependencyGraph::News& news, TimePoint now);
    boost::json::object outcome(const Job& job, model::JobState state, std::int64_t at) const;
    // The records of the job that have to be written, each within the limit on values.
    std::vector<std::pair<std::uint32_t, boost::json::object>> changed_records(Job& job);
    void cancel(Job& job, TimePoint at);
    bool must_go(const Machine& m, Seconds unheard, TimePoint now) const;
    void forget(const std::string& uid);
    // The record must follow: at once, or some time, where only a later leader would do without it.
    enum class Write : std::uint8_t { at_once, some_time };
    void touch(Job& job, std::uint32_t task, Write when, TimePoint now);
    void mark_dirty(const std::string& uid);
    void mark_urgent(const std::string& uid);  // before all others
    void mark_due(TimePoint now);
    void set_placed(Job& job, std::uint32_t task, Machine& m, std::uint64_t attempt, TimePoint now);
    void leave(Job& job, std::uint32_t task, Task::State next, TimePoint now);
    // The task is gone from its machine, by evidence, without having completed.
    void lost(Job& job, std::uint32_t task, TimePoint now);
    void all_lost(Machine& m, bool only_sent, TimePoint now);
    void task_done(Job& job, std::uint32_t task, TimePoint now);
    void exited(Job& job, std::uint32_t task, Machine& m, const model::TaskReport& r, TimePoint now);
    void blame(Job& job, Machine& m, TimePoint now);
    // Starts a gang anew where it is, once all its members are ready of which some gave up waiting.
    void regroup(Job& job, TimePoint now);
    // Gives up the places of members that wait for others which have found none.
    void unpark(TimePoint now);
    void held(Job& job, std::uint32_t task, Machine& m, const model::TaskReport& r,
              std::vector<model::Command>& commands, TimePoint now);
    void absent(Job& job, std::uint32_t task, Machine& m, std::vector<model::Command>& commands, TimePoint now);
    std::vector<TaskKey> not_shown(const Machine& m);
    void order_run(Job& job, std::uint32_t task, const Machine& m, std::vector<model::Command>& commands);
    bool usable(const Machine& m, TimePoint now) const;
    const placement::Ask& ask_of(const Job& job) const;
    placement::JobHosts hosts_of(const Job& job) const;
    std::vector<Job*> queue(TimePoint now, bool eligible_only);
    placement::Planner planner(TimePoint now) const;
    std::uint32_t within_limit(const Job& job, std::uint32_t tasks) const;
    bool round_heard(TimePoint now) const;
    model::Clock::duration list_age() const;
    bool heard(const Machine& m) const;
    bool all_listed() const;
    bool all_heard() const;
    std::vector<Job*> certain(std::vector<Job*> jobs) const;
    bool adopt(Job& job, Machine& m, const model::TaskReport& r, TimePoint now);
    void place_gang(Job& job, placement::Planner& plan, TimePoint now, bool& any);
    struct Move {
        std::string uid;
        placement::Id to = 0;  // slot of a machine
        std::uint32_t task = 0;
        TimePoint until{};
    };
    void start_move(const Job& job, std::uint32_t task, placement::Id to, TimePoint now);
    void finish_moves(placement::Planner& plan, TimePoint now, bool& any);
    void move_fetching(placement::Planner& plan, TimePoint now);
    void shrink(TimePoint now);
    void uncordon();
    void consolidate(placement::Planner& plan, TimePoint now);
    Machine* sparsest(placement::Planner& plan, TimePoint now);
    std::vector<placement::Id> rehouse(const Machine& m, placement::Planner& plan) const;
    placement::JobHosts hosts_without(const Job& job, std::uint32_t task) const;
    void place_each(Job& job, placement::Planner& plan, TimePoint now, bool& any);
    // The job's wishes, but for machines that hold fewer such tasks.
    placement::Ask at_least(const Job& job, unsigned slots) const;
    // Array tasks of lower rank on that machine to stop so that one task of the job fits, least loss first; empty if
    // that is not enough. The loss includes the wait for the image there. `host` is the machine's row, and becomes what
    // it would be without them.
    std::vector<TaskKey> victims(const Job& job, const Machine& m, placement::Host& host,
                                 const placement::Planner& plan, const placement::JobHosts& hosts,
                                 const std::vector<TaskKey>& spared, TimePoint now, Seconds& loss) const;
    bool lower_arrays(model::Priority priority) const;
    bool guaranteed(const Job& job) const { return teams_.guaranteed(job.spec.team, job.spec.uid); }
    bool gives_way(const Job& other, const Job& job) const;
    std::map<std::string, quota::Amount> stopping() const;
    void stop_for(const Job& job, const std::vector<TaskKey>& tasks);
    std::uint32_t room_with_image(Job& job, const placement::Planner& plan, const placement::JobHosts& hosts,
                                  std::uint32_t tasks, TimePoint now);
    void preempt(Job& job, const placement::Planner& plan, TimePoint now);
    bool leaves_ordinary(const Job& job, TimePoint now) const;
    std::uint32_t take_waiting(Job& job);
    std::uint32_t wanted_now(const Job& job) const;
    Seconds target_of(const JobSpec& spec) const;
    struct Basket;
    std::optional<fleet::Pool> cheapest(const Job& job, const placement::JobHosts& hosts, std::uint32_t count,
                                        const Basket& basket, TimePoint now) const;
    std::size_t put_in(Basket& basket, const fleet::Pool& pool, placement::Planner& plan) const;
    void rent_for_gang(const Job& job, Basket& basket, placement::Planner& plan, TimePoint now) const;

    const config::Settings& settings_;
    const state::RecordFormat& record_format_;
    const config::OperatorSettings& operator_settings_;
    placement::Rules rules_;
    std::uint64_t term_, term_revision_;
    TimePoint since_;
    bool inherited_ = false;  // work was placed when this term began
    bool unsettled_ = false, loss_seen_ = false;
    TimePoint listed_at_{};              // when the cloud's list last came
    std::set<std::string> with_strays_;  // machines that last showed tasks of jobs that nobody knows
    fleet::MachineInventory inventory_;
    std::map<std::string, std::unique_ptr<Job>> jobs_;
    DependencyGraph dependency_graph_;
    // Submissions that were cut, until all of one is there.
    struct Cut {
        state::KeyValue first;
        std::map<std::uint32_t, std::string> pieces;
        std::vector<OldRecord> records;
    };
    std::map<std::string, Cut> cut_;
    std::size_t singles_ = 0;  // so many batches hold one change, to find the one that the service rejects
    std::deque<std::string> dirty_;
    std::set<std::string> dirty_set_;
    std::deque<std::pair<TimePoint, std::string>> due_later_;  // when they become dirty
    std::set<std::string> later_set_;
    std::vector<std::pair<std::string, std::uint64_t>> leftovers_;  // keys of jobs that are over, with their stamps
    quota::QuotaAccounting teams_;
    std::array<std::size_t, 4> array_tasks_{};  // placed ones, by rank
    std::set<std::string> counts_changed_;
    std::set<std::string> parked_;  // gangs with parked members
    std::vector<Move> moves_;
    std::uint64_t passes_ = 0;   // of placing, so far
    unsigned holds_ = 0;         // gangs that room was held for in this one
    bool gangs_wait_ = false;    // that may not use spot machines and found no room in the last one
    std::uint64_t reports_ = 0;  // heard so far
    bool waiting_ = false;       // something found no room in the last one
    TimePoint short_at_{};       // when something last waited
    TimePoint no_room_at_{};     // when something last found no room in its turn
    TimePoint spare_since_{};    // since when more room has been spare than is wanted
};

}  // namespace flintdale::scheduler
