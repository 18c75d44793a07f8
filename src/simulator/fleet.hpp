// The cloud and the machines it rents, each with its worker, by the protocol.
#pragma once
#include <boost/json.hpp>
#include <functional>
#include <map>
#include <memory>

#include "cloud/client.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"
#include "model/task.hpp"
#include "net/http_server.hpp"
#include "simulator/checker.hpp"
#include "simulator/rentals.hpp"
#include "simulator/scenario.hpp"

namespace flintdale::simulator {

// Who sends a request to a controller: a worker. Users have neither.
struct Origin {
    std::string machine, zone;
};

// Sends a request to a controller; `done` gets its answer, or status 0 after the sender's patience.
using Answered = std::function<void(unsigned status, const std::string& body)>;
using Ask = std::function<void(std::size_t node, const Origin& from, net::Request, Seconds patience, Answered done)>;

class Fleet {
  public:
    Fleet(Events& events, TaskObserver& observer, const config::Settings& settings, const Scenario& scenario, Ask ask);

    // What the users uploaded: how long a task runs.
    void upload(const model::JobSpec& spec, Seconds runs) { jobs_[spec.uid] = {spec, runs, {}}; }
    void warm_up(std::size_t machines);
    // A machine that another process keeps the books of.
    void add(const Rented& rented, Seconds boots_in);

    // --- the cloud ---
    bool down = false;
    cloud::RentResult rent(const std::string& request, const std::string& type, const std::string& zone, bool spot,
                           int count);
    void release(const std::vector<std::string>& names);
    std::vector<model::ListedMachine> list() const;
    // The report of the worker at that address, asked for directly; nothing if the question does not reach it.
    std::optional<std::string> status(const std::string& address);
    // What the worker of that machine answers to POST /commands; nothing if that does not reach it.
    std::optional<net::Reply> command(const std::string& machine, const std::string& body);
    // Tells of each answer that counted: its token, and whether it ordered a task to run.
    std::function<void(std::uint64_t fencing_token, bool runs)> answer_accepted;
    // Tells of each machine whose worker starts to report.
    std::function<void(const std::string& machine)> came_up;
    std::string zone_of(const std::string& address) const;

    // --- troubles, of a share of the machines that are up ---
    void die(double share);
    void die(const std::string& machine);
    // The worker starts anew: what it held is gone, and it is silent until its lease has run out.
    void restart(const std::string& machine);
    void hang(double share, Seconds lasts);
    void cut(double share, Seconds lasts);
    void lose_answers(double share, Seconds lasts);     // reports arrive, answers and direct questions do not
    void lose_heartbeats(double share, Seconds lasts);  // reports reach no controller, direct questions arrive
    void hang_with(const std::string& uid, std::size_t machines, Seconds lasts);  // so many that hold tasks of the job
    double repeated_heartbeats = 0;  // share of the reports of which a copy arrives again

    // Workers of which the last answer that counted came from that controller.
    std::size_t answered_by(std::size_t node, Seconds within) const;
    // When the last one came.
    std::map<std::size_t, TimePoint> last_answer;

    // Tasks on machines that live, and where.
    std::map<TaskName, std::string> running() const;
    bool alive(const std::string& machine) const;
    // Tasks of the job that are on machines in any state.
    std::size_t tasks_on_machines(const std::string& uid) const;
    // Machines that can be reached and that the job may use, with the number of its tasks that they have room for now.
    using Room = std::map<std::string, std::size_t>;
    Room room_on(const model::JobSpec& spec) const;
    // For how many tasks of the job that is enough together, by its wishes on zones.
    std::size_t room_for(const model::JobSpec& spec, const Room& room) const;
    std::size_t up() const;
    // When work was last stopped that would have gone on: by a lease that ran out, or an order to a task of an array or
    // gang.
    std::map<TaskName, TimePoint> stopped;
    std::size_t started = 0, finished = 0, lease_kills = 0;
    std::map<std::string, std::size_t> started_by_class;
    TimePoint last_start{};

  private:
    struct Task {
        std::uint64_t attempt = 0;
        model::TaskStatus status = model::TaskStatus::fetching;
        model::ExitReason exit_reason = model::ExitReason::none;
        std::uint64_t serial = 0;  // tells events of another run of it apart
    };
    struct Host {
        std::string name, address;
        const model::MachineType* type = nullptr;
        std::string zone;
        bool spot = false, up = false, dead = false, in_flight = false, changed = false;
        TimePoint lease_from{}, last_sent{}, hangs_until{}, cut_until{}, answers_lost_until{}, heartbeats_lost_until{};
        std::uint64_t incarnation = 1, sequence = 0, fencing_token = 0, timer = 0;
        std::size_t node = 0;
        std::map<TaskName, Task> tasks;
        std::set<std::string> images;
        placement::Resources used;
    };
    struct Job {
        model::JobSpec spec;
        Seconds runs{0};
        std::set<std::uint32_t> done;
    };
    using HostPtr = std::shared_ptr<Host>;

    void comes_up(const HostPtr& host);
    void schedule_report(const HostPtr& host, Seconds in);
    void report(const HostPtr& host);
    void answered(const HostPtr& host, std::uint64_t incarnation, TimePoint sent, unsigned status,
                  const std::string& body);
    void execute(const HostPtr& host, const boost::json::array& commands);
    void run(const HostPtr& host, const TaskName& name, std::uint64_t attempt);
    void has_image(const HostPtr& host, const TaskName& name, std::uint64_t serial);
    void starts(const HostPtr& host, const TaskName& name);
    void completes(const HostPtr& host, const TaskName& name, std::uint64_t serial);
    void ends(const HostPtr& host, const TaskName& name, model::ExitReason exit_reason);
    void gang_member_gone(const TaskName& name, std::uint64_t attempt);
    void check_lease(const HostPtr& host);
    void drop_all(const HostPtr& host);
    void changed(const HostPtr& host);
    std::string body_of(Host& host);
    HostPtr reached(const std::string& machine) const;
    void kill(const HostPtr& host);
    std::vector<std::pair<HostPtr, TaskName>> members(const std::string& uid, std::uint64_t attempt) const;
    std::vector<HostPtr> some(double share);

    Events& events_;
    TaskObserver& observer_;
    const config::Settings& settings_;
    const Scenario& scenario_;
    Ask ask_;
    Rentals rentals_;
    std::map<std::string, HostPtr> hosts_;
    std::map<std::string, Job> jobs_;
    std::map<std::pair<std::string, std::uint64_t>, std::set<std::string>> gangs_;  // uid, attempt -> hosts
    std::uint64_t serials_ = 0;
};

}  // namespace flintdale::simulator
