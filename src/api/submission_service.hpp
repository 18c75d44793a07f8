// Users' requests, answered by any controller from the state service's word.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "api/known_jobs.hpp"
#include "config/settings.hpp"
#include "model/clock.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"
#include "net/http_server.hpp"
#include "scheduler/job.hpp"
#include "state/store.hpp"

namespace flintdale::api {

using net::awaitable;
using net::Reply;

struct DisplayCount {
    std::uint32_t done = 0, running = 0;
};

// What this controller remembers of a job, whether or not it is on record in its place.
struct Remembered {
    model::JobState state = model::JobState::open;
    model::JobSize size;
};

class SubmissionService {
  public:
    struct Callbacks {
        std::function<std::int64_t()> time_of_day_ms;
        std::function<void(const std::string&)> tells_cancelled;        // a user, with the answer that follows
        std::function<const std::vector<model::MachineType>*()> types;  // null while they are not known
        std::function<DisplayCount(const std::string&)> count;
        std::function<void(const state::KeyValue&)> job_changed;  // a hint for a leader in this process
        std::function<std::optional<Remembered>(const std::string&)> remembered;
        std::function<bool()> certain;  // what is neither on record nor remembered never was
        // The first record of an open job, as it is remembered: that saves reading it.
        std::function<std::optional<state::KeyValue>(const std::string&)> open_record = {};
    };
    // `known`: jobs of which is kept what was read of them.
    SubmissionService(net::Executor ex, state::Store& store, const config::Settings& settings,
                      const state::RecordFormat& record_format, Callbacks callbacks, std::size_t known);

    awaitable<Reply> submit(std::string body);
    awaitable<Reply> poll(std::string uid);
    awaitable<Reply> cancel(std::string uid);
    // The records were rebuilt: what they say of jobs that are not over has to be read again.
    void forget_open() { known_.forget_open(); }

  private:
    using TimePoint = model::TimePoint;
    // One job that the state service is asked about. Everyone is answered by a comparison that began after he asked.
    struct Question {
        Question(net::Executor ex, std::string job, TimePoint end) : answered(ex), uid(std::move(job)), until(end) {
            answered.expires_at(until);
        }
        net::Timer answered;
        std::string uid;
        TimePoint until;   // when whoever asks has gone
        JobEvidence held;  // what was known when the service was asked: the job exists
        // open: as `held` says; over, work: a key of it was found that was not known; none: neither is there.
        enum class Answer : std::uint8_t { unknown, open, over, work, none } answer = Answer::unknown;
        bool closed = false;  // the service has answered, or not
    };
    using Questions = std::vector<std::shared_ptr<Question>>;
    // What is certain of a job. Sure and null: there is no such job.
    struct Look {
        bool sure = false;
        JobEvidence job;
    };
    struct Found {
        state::Outcome outcome = state::Outcome::unknown;
        JobEvidence job;
        state::KeyValue item;
    };
    struct Needs {
        bool unknown = false;
        std::optional<std::string> complaint;
    };

    std::optional<std::string> never_runs(const model::JobSpec& spec) const;
    JobEvidence learn(const std::string& uid, const state::KeyValue& item);
    JobEvidence over_by_memory(const std::string& uid);
    JobEvidence at_hand(const std::string& uid);
    JobEvidence newest(const std::string& uid, JobEvidence job);
    Look absent_now(const std::string& uid);
    awaitable<Found> find(std::string uid);
    static state::Txn absent(const std::string& uid);
    awaitable<std::optional<bool>> look_up(std::string uid);  // whether it exists; nothing: unknown
    // Why not, if the job cannot have these prerequisites; nothing if it can, or if `unknown`.
    awaitable<Needs> check_dependencies(model::JobSpec spec);
    awaitable<Reply> refuse(std::string uid, unsigned status, std::string complaint);
    awaitable<Reply> current(std::string uid, bool as_submission);

    std::shared_ptr<Question> put(std::string uid, TimePoint until);
    awaitable<Look> answer(std::shared_ptr<Question> question);
    awaitable<void> ask_loop();
    Questions next_questions();
    awaitable<void> ask(Questions questions);
    awaitable<Look> look_through(std::string uid, TimePoint until);
    awaitable<state::Outcome> put_cancelled(std::string uid, JobEvidence job, state::KeyValue from);
    Reply status_of(const std::string& uid, JobEvidence job, bool as_submission);

    net::Executor ex_;
    state::Store& store_;
    const config::Settings& settings_;
    const state::RecordFormat& record_format_;
    Callbacks callbacks_;
    KnownJobs known_;
    std::deque<std::shared_ptr<Question>> questions_;  // that nobody has put to the state service yet
    net::Wakeup asked_;
    std::size_t under_way_ = 0;  // comparisons
    TimePoint last_asked_{};
    bool asking_ = false;
};

}  // namespace flintdale::api
