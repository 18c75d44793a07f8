// Tasks on simulated machines: fetching images, the barrier at which a gang's members wait for one another, running,
// completing and stopping. Knows nothing of heartbeats and controllers.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "model/job.hpp"
#include "simulator/machine.hpp"

namespace flintdale::simulator {

// What tasks have done so far.
struct TaskStats {
    std::size_t started = 0, finished = 0, lease_kills = 0;
    std::map<std::string, std::size_t> started_by_class;
    TimePoint last_start{};
    // When a task was last stopped that would have gone on: by a lease that expired, or a command to a task of an
    // array or gang.
    std::map<TaskName, TimePoint> stopped;
};

class TaskRunner {
  public:
    // Called when a machine's next heartbeat would tell something new.
    using OnChange = std::function<void(const MachinePtr&)>;
    TaskRunner(Events& events, TaskObserver& observer, const config::Settings& settings, const Machines& machines,
               OnChange on_change);

    // A job that users have uploaded: each of its tasks runs for that long.
    void upload(const model::JobSpec& spec, Seconds runtime) { jobs_[spec.uid] = {spec, runtime, {}}; }
    // The worker has a command to run the task; nothing depends on the observer's hearing of it.
    void command_received(const TaskName& task) { observer_.ordered(task); }
    // Carries out a command to run a task; what is refused shows in the machine's heartbeat.
    void run(const MachinePtr& machine, const TaskName& name, std::uint64_t attempt);
    // Ends a task that is on the machine.
    void end(const MachinePtr& machine, const TaskName& name, model::ExitReason exit_reason);
    // Everything on the machine is gone without a trace.
    void drop_all(const MachinePtr& machine);
    // The same, since the machine's lease has expired.
    void lease_expired(const MachinePtr& machine);
    const TaskStats& stats() const { return stats_; }

  private:
    struct Job {
        model::JobSpec spec;
        Seconds runtime{0};
        std::set<std::uint32_t> done;
    };
    struct GangMember {
        MachinePtr machine;
        TaskName task;
    };
    model::ExitReason refusal(const Machine& machine, const TaskName& name) const;
    void image_fetched(const MachinePtr& machine, const TaskName& name, std::uint64_t run_id);
    void wait_at_barrier(const MachinePtr& machine, const TaskName& name);
    void start(const MachinePtr& machine, const TaskName& name);
    void complete(const MachinePtr& machine, const TaskName& name, std::uint64_t run_id);
    void complete_gang(const TaskName& name, std::uint64_t attempt);
    void gang_member_gone(const TaskName& name, std::uint64_t attempt);
    std::vector<GangMember> gang_members(const std::string& uid, std::uint64_t attempt) const;
    // The task, if it is still in the run that the event belongs to, and in that status.
    static MachineTask* find(Machine& machine, const TaskName& name, std::uint64_t run_id, model::TaskStatus status);

    Events& events_;
    TaskObserver& observer_;
    const config::Settings& settings_;
    const Machines& machines_;
    OnChange on_change_;
    std::map<std::string, Job> jobs_;
    std::map<std::pair<std::string, std::uint64_t>, std::set<std::string>> gangs_;  // uid, attempt -> machines
    std::uint64_t runs_ = 0;
    TaskStats stats_;
};

}  // namespace flintdale::simulator
