// One term of leadership: the loops that carry messages between the scheduler, the state service and the cloud.
#pragma once
#include <memory>

#include "cloud/client.hpp"
#include "election/elector.hpp"
#include "model/clock.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/machine.hpp"
#include "net/http_server.hpp"
#include "scheduler/handover_hints.hpp"
#include "scheduler/scheduler.hpp"
#include "state/store.hpp"

namespace flintdale::app {

using net::awaitable;

class LeaderTerm : public std::enable_shared_from_this<LeaderTerm> {
  public:
    using TimePoint = model::TimePoint;
    struct Callbacks {
        std::function<void()> doubt;  // the term's stamp may no longer hold
        std::function<std::int64_t()> time_of_day_ms;
        std::function<void(const char* why, bool beyond_memory)> loss;  // something shows that records were lost
        std::function<bool(const std::string&)> over;                   // a job is remembered to be
        // For how long a job that is over has been cancelled, by the time of day on record; 0 if it is done.
        std::function<model::Seconds(const std::string&)> cancelled_for;
        std::function<bool()> others_reach_state;  // so that one of them may lead
        // Until when all that users were told of cancellations is known, by the peers' word, if all that was on record
        // at that time is; the same time if they have not said.
        std::function<TimePoint(TimePoint)> cancellations_known_until;
        std::function<bool(const std::string&)> told_cancelled;  // whether a job is among that
        std::function<void(const std::string&)> over_already;    // a job that looked open had its outcome
        std::function<void(const char* why)> again;              // this term's mind is older than the records
        std::function<std::vector<std::string>()> open;          // jobs that are remembered to be
        std::function<void()> settled;                           // all that may be on machines is known again
        std::function<void(const state::KeyValue&)> seen;        // a record that was just written by anybody
    };

    LeaderTerm(net::Executor ex, state::Store& store, cloud::Cloud& cloud, const config::Settings& settings,
               const config::OperatorSettings& operator_settings, const state::RecordFormat& record_format,
               election::Term term, bool unsettled, Callbacks callbacks);

    void start(const std::vector<model::MachineType>& types);
    void stop();

    // Commands for a worker, or nothing if this controller must not speak for the controllers now.
    using Commands = std::optional<std::vector<model::Command>>;
    awaitable<Commands> report(model::Heartbeat r);
    // The same at once, for a term that has read the records. `wait`: orders to run something are likely in a moment,
    // and are worth waiting for with await_runs().
    struct Decision {
        Commands commands;
        std::uint64_t passes = 0;
        bool wait = false;
    };
    Decision decide(const model::Heartbeat& r);
    awaitable<Commands> await_runs(model::Heartbeat r, Decision decision);
    std::uint64_t term() const { return term_; }
    void job_changed(const state::KeyValue& item);
    void cancelled_elsewhere(const std::string& uid);
    bool loaded() const { return loaded_; }
    // Whether all that was read was so long ago that whatever has not reported since is overdue.
    bool heard_out() const;
    void catalog(const std::vector<model::MachineType>& types);
    scheduler::Scheduler& scheduler() { return scheduler_; }

  private:
    struct Rental {
        fleet::InstanceRequest order;
        std::string name;
        int tries = 0;
    };
    awaitable<void> learn_loop();
    awaitable<bool> load();
    // All keys with that prefix, asked for until the state service has answered, and the revision of the first answer;
    // nothing if the term has ended meanwhile.
    struct Everything {
        std::vector<state::KeyValue> items;
        std::uint64_t revision = 0;
    };
    awaitable<std::optional<Everything>> read_all(std::string prefix);
    awaitable<bool> check_open_jobs();
    void ended(const std::string& uid);
    awaitable<bool> check_remembered();
    awaitable<void> commit_loop();
    awaitable<void> tick_loop();
    awaitable<void> list_loop();
    awaitable<void> cloud_loop();
    awaitable<void> tidy_loop();
    awaitable<void> missing_loop();
    awaitable<void> hints_loop();
    awaitable<void> settle_loop();
    awaitable<void> return_machines();
    awaitable<bool> rent_machines();
    awaitable<void> reread(const std::vector<std::string>& keys);
    bool entitled(TimePoint now) const;
    TimePoint awake();
    void wake();
    enum class Leads : std::uint8_t { yes, no, unknown };
    awaitable<Leads> still_leading();

    net::Executor ex_;
    state::Store& store_;
    cloud::Cloud& cloud_;
    const config::Settings& settings_;
    const state::RecordFormat& record_format_;
    Callbacks callbacks_;
    std::uint64_t term_;
    scheduler::Scheduler scheduler_;
    scheduler::HandoverHints hints_;
    net::Wakeup commit_, plan_;
    TimePoint last_awake_;
    bool stopped_ = false, loaded_ = false, stir_ = false;
    TimePoint loaded_at_{};
    std::uint64_t followed_ = 0, rents_ = 0;
    std::deque<Rental> unclear_;  // requests without an answer yet
    TimePoint fresh_{};           // when the last read began that showed all cancellations up to then
};

}  // namespace flintdale::app
