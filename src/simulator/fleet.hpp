// The cloud and the machines it rents, each with its worker, by the protocol. Tasks on the machines are the task
// runner's matter.
#pragma once
#include <boost/json.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cloud/client.hpp"
#include "net/http_server.hpp"
#include "simulator/free_room.hpp"
#include "simulator/machine.hpp"
#include "simulator/rentals.hpp"
#include "simulator/scenario.hpp"
#include "simulator/task_runner.hpp"

namespace flintdale::simulator {

// The sender of a request to a controller: a worker. Users have neither.
struct Origin {
    std::string machine, zone;
};

// Sends a request to a controller; `done` gets its answer, or status 0 after the sender's timeout.
using Answered = std::function<void(unsigned status, const std::string& body)>;
using Ask = std::function<void(std::size_t node, const Origin& from, net::Request, Seconds timeout, Answered done)>;

class Fleet {
  public:
    using Room = simulator::Room;

    Fleet(Events& events, TaskObserver& observer, const config::Settings& settings, const Scenario& scenario, Ask ask);

    // A job that users have uploaded: each of its tasks runs for that long.
    void upload(const model::JobSpec& spec, Seconds runtime) { tasks_.upload(spec, runtime); }
    // Machines that are up at the start of the run.
    void warm_up(std::size_t machines);
    // A machine of which another process keeps the records.
    void add(const Rented& rented, Seconds boots_in);

    // --- the cloud ---
    bool down = false;
    cloud::LaunchResult rent(const std::string& request, const std::string& type, const std::string& zone, bool spot,
                             int count);
    void release(const std::vector<std::string>& names);
    std::vector<model::ListedMachine> list() const { return rentals_.list(); }

    // --- direct requests to workers ---
    // The heartbeat of the worker at that address; nothing if the question does not reach it.
    std::optional<std::string> status(const std::string& address);
    // What the worker of that machine answers to POST /commands; nothing if the request does not reach it.
    std::optional<net::Reply> command(const std::string& machine, const std::string& body);
    // Empty if no machine has that address.
    std::string zone_of(const std::string& address) const;

    // --- callbacks, optional ---
    // An answer to a heartbeat counted: its fencing token, and whether it held a command to run a task.
    std::function<void(std::uint64_t fencing_token, bool runs)> answer_accepted;
    // The worker of a machine begins to send heartbeats.
    std::function<void(const std::string& machine)> came_up;

    // --- faults of machines; `share`: of those that are up ---
    void die(double share);
    void die(const std::string& machine);
    // The worker starts anew: its tasks are gone, and it is silent until its lease has expired.
    void restart(const std::string& machine);
    void hang(double share, Seconds duration);
    void cut(double share, Seconds duration);
    void lose_answers(double share, Seconds duration);     // heartbeats arrive; answers and direct questions do not
    void lose_heartbeats(double share, Seconds duration);  // heartbeats arrive nowhere; direct questions do
    // Hangs so many machines with tasks of the job.
    void hang_with(const std::string& uid, std::size_t machines, Seconds duration);
    double repeated_heartbeats = 0;  // share of the heartbeats of which a copy arrives again later

    // --- observation ---
    // Workers of which the last answer that counted came from that controller, within that time.
    std::size_t answered_by(std::size_t node, Seconds within) const;
    // When the last one came from that controller; TimePoint{} if none did.
    TimePoint last_answer_from(std::size_t node) const;
    // Tasks on machines that are up, and the machine of each.
    std::map<TaskName, std::string> running() const;
    bool alive(const std::string& machine) const;
    // Tasks of the job that are on machines in any state but exited.
    std::size_t tasks_on_machines(const std::string& uid) const;
    Room room_on(const model::JobSpec& spec) const { return simulator::room_on(machines_, spec, events_.now()); }
    std::size_t room_for(const model::JobSpec& spec, const Room& room) const {
        return simulator::room_for(machines_, spec, room);
    }
    std::size_t up() const;
    const TaskStats& task_stats() const { return tasks_.stats(); }

  private:
    void boot_completed(const MachinePtr& machine);
    void schedule_heartbeat(const MachinePtr& machine, Seconds delay);
    void send_heartbeat(const MachinePtr& machine);
    void repeat_later(const Machine& machine, const net::Request& request);
    void answered(const MachinePtr& machine, std::uint64_t incarnation, TimePoint sent, unsigned status,
                  const std::string& body);
    void redirected(const MachinePtr& machine, const std::string& body);
    void try_next_controller(const MachinePtr& machine);
    void accept_answer(const MachinePtr& machine, std::uint64_t incarnation, TimePoint sent, const std::string& body);
    void execute(const MachinePtr& machine, const boost::json::array& commands);
    void check_lease(const MachinePtr& machine);
    // Plans the next heartbeat as soon as one may be sent.
    void changed(const MachinePtr& machine);
    // The machine, if a question reaches its worker now.
    MachinePtr reachable(const std::string& name) const;
    void kill(const MachinePtr& machine);
    // That share of the machines that are up, picked by the run's random source.
    std::vector<MachinePtr> pick_share(double share);

    Events& events_;
    const config::Settings& settings_;
    const Scenario& scenario_;
    Ask ask_;
    Rentals rentals_;
    Machines machines_;
    TaskRunner tasks_;
    std::map<std::size_t, TimePoint> last_answers_;  // by controller
};

}  // namespace flintdale::simulator
