// Preempts array tasks of lower priority, or beyond their team's guaranteed share, when a job finds no room. Preemption
// only marks tasks as draining; HeartbeatReconciler sends the kill commands.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "scheduler/fleet_view.hpp"
#include "scheduler/job_demand.hpp"

namespace flintdale::scheduler {

class Preemption {
  public:
    Preemption(SchedulerState& state, JobDemand& demand, FleetView& fleet)
        : state_(state), demand_(demand), fleet_(fleet) {}

    // Makes room for the job's waiting tasks, starting where the least work is lost, until all of them fit. A gang gets
    // room for all of its tasks or for none.
    void preempt(Job& job, const placement::Planner& plan, TimePoint now);
    // Preempts tasks on machines that hold the image of a critical service. Returns how many of the service's `tasks`
    // tasks should wait for that room.
    std::uint32_t make_room_with_image(Job& job, const placement::Planner& plan, const placement::JobHosts& hosts,
                                       std::uint32_t tasks, TimePoint now);

  private:
    // A machine that could have room for one task of the job, and the cost of making it.
    struct Room {
        Seconds loss{0};  // work lost, plus the time until the image is there
        placement::Id zone = placement::unknown_zone;
        std::vector<TaskKey> victims;  // tasks to stop
        bool operator<(const Room& o) const { return loss != o.loss ? loss < o.loss : victims < o.victims; }
    };

    // The tasks to stop on that machine so that one task of the job fits, least loss first; no victims if that is not
    // enough. `host` is a copy of the machine's row, from which the victims are removed.
    Room room_on(const Job& job, const Machine& machine, placement::Host& host, const placement::Planner& plan,
                 const placement::JobHosts& hosts, const std::vector<TaskKey>& already_stopped, TimePoint now) const;
    // The tasks on the machine that the job may preempt, with the work that each loses, least first.
    std::vector<std::pair<Seconds, TaskKey>> preemptible_on(const Job& job, const Machine& machine,
                                                            const std::vector<TaskKey>& already_stopped,
                                                            TimePoint now) const;
    std::vector<Room> rooms_for(const Job& job, std::uint32_t wanted, const placement::Planner& plan,
                                const placement::JobHosts& hosts, TimePoint now) const;
    // Keeps only the rooms that a gang needs beyond the free room; none if the whole gang would not fit.
    void keep_rooms_for_gang(const Job& job, std::uint32_t wanted, const placement::Planner& plan,
                             const placement::JobHosts& hosts, std::vector<Room>& rooms) const;
    bool any_lower_arrays(model::Priority priority) const;
    bool is_preemptible_by(const Job& other, const Job& job) const;
    // The resources of the tasks that are already being stopped, by team.
    std::map<std::string, quota::Amount> being_stopped() const;
    void stop(const Job& job, const std::vector<TaskKey>& victims);

    SchedulerState& state_;
    JobDemand& demand_;
    FleetView& fleet_;
};

}  // namespace flintdale::scheduler
