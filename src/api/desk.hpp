// Users' requests, answered by any controller from the state service's word.
#pragma once
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

#include "agent/job.hpp"
#include "config/settings.hpp"
#include "net/http_server.hpp"
#include "state/store.hpp"

namespace flintdale::api {

using net::awaitable;
using net::Reply;

struct DisplayCount {
    std::uint32_t done = 0, running = 0;
};

// What this controller remembers of a job, whether or not it is on record in its place.
struct Remembered {
    wire::JobState state = wire::JobState::open;
    wire::JobSize size;
};

class Desk {
  public:
    struct Links {
        std::function<std::int64_t()> time_of_day_ms;
        std::function<void(const std::string&)> tells_cancelled;       // a user, with the answer that follows
        std::function<const std::vector<wire::MachineType>*()> types;  // null while they are not known
        std::function<DisplayCount(const std::string&)> count;
        std::function<void(const state::Item&)> job_changed;  // a hint for a leader in this process
        std::function<std::optional<Remembered>(const std::string&)> remembered;
        std::function<bool()> certain;  // what is neither on record nor remembered never was
    };

    Desk(net::Executor ex, state::Store& store, const config::Settings& settings, const state::Form& form, Links links);

    awaitable<Reply> submit(std::string body);
    awaitable<Reply> poll(std::string uid);
    awaitable<Reply> cancel(std::string uid);
    // The records were rebuilt: what they say of jobs that are not over has to be read again.
    void forget_open();

  private:
    struct Known {
        wire::JobState state = wire::JobState::open;
        wire::JobSize size;
        std::vector<std::string> prerequisites;
    };
    struct Waiter {
        explicit Waiter(net::Executor ex) : done(ex) {}
        net::Timer done;
        std::string uid;
        bool answered = false, fresh = false;
    };

    std::optional<std::string> never_runs(const wire::JobSpec& spec) const;
    bool learn(const std::string& uid, const state::Item& item);
    // What to make of a job that is not on record: over, by an outcome that is owed; missed; or no job at all.
    enum class Absent : std::uint8_t { over, missed, none };
    Absent recall(const std::string& uid);
    awaitable<state::GetResult> find(const std::string& uid);
    static state::Txn absent(const std::string& uid);
    awaitable<std::optional<bool>> look_up(const std::string& uid);  // whether it exists; nothing: unknown
    // Why not, if the job cannot have these prerequisites; nothing if it can, or if `unknown`.
    struct Needs {
        bool unknown = false;
        std::optional<std::string> complaint;
    };
    awaitable<Needs> check_prerequisites(const wire::JobSpec& spec);
    awaitable<Reply> refuse(std::string uid, unsigned status, std::string complaint);
    awaitable<Reply> current(const std::string& uid, bool as_submission);
    awaitable<bool> check_fresh(const std::string& uid);
    awaitable<void> check_waiting();
    // The job and all open ones that it needs, directly or through others, as far as they are known.
    std::vector<std::string> line(const std::string& uid) const;
    bool needs_cancelled(const std::string& uid) const;
    awaitable<std::set<std::string>> check(std::vector<std::string> uids);
    Reply status_of(const std::string& uid, bool as_submission) const;

    net::Executor ex_;
    state::Store& store_;
    const config::Settings& settings_;
    const state::Form& form_;
    Links links_;
    std::unordered_map<std::string, Known> known_;
    std::deque<std::shared_ptr<Waiter>> waiting_;
    bool checking_ = false;
};

}  // namespace flintdale::api
