// Stops tasks of arrays of lower priority, or beyond their team's guaranteed share, where a job finds no room. Only
// marks tasks as draining; reconciliation sends the commands.
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

    // Makes room for the job's waiting tasks: where that loses the least work, until all of them would fit; for a gang
    // all or nothing.
    void preempt(Job& job, const placement::Planner& plan, TimePoint now);
    // How many of so many tasks of a critical service wait for room that is made on machines with their image.
    std::uint32_t make_room_with_image(Job& job, const placement::Planner& plan, const placement::JobHosts& hosts,
                                       std::uint32_t tasks, TimePoint now);

  private:
    // Room for one task of the job, and what it costs.
    struct Room {
        Seconds loss{0};  // work lost, and the wait for the image
        placement::Id zone = placement::unknown_zone;
        std::vector<TaskKey> victims;  // tasks to stop
        bool operator<(const Room& o) const { return loss != o.loss ? loss < o.loss : victims < o.victims; }
    };

    // Tasks on that machine to stop so that one task of the job fits, least loss first; no victims if that is not
    // enough. `host` is the machine's row, and becomes what it would be without them.
    Room room_on(const Job& job, const Machine& machine, placement::Host& host, const placement::Planner& plan,
                 const placement::JobHosts& hosts, const std::vector<TaskKey>& already_stopped, TimePoint now) const;
    // The tasks on the machine that may be stopped for the job, with the work that each loses, least first.
    std::vector<std::pair<Seconds, TaskKey>> preemptible_on(const Job& job, const Machine& machine,
                                                            const std::vector<TaskKey>& already_stopped,
                                                            TimePoint now) const;
    std::vector<Room> rooms_for(const Job& job, std::uint32_t wanted, const placement::Planner& plan,
                                const placement::JobHosts& hosts, TimePoint now) const;
    // Leaves the rooms that a whole gang needs beside what is free; none if it would not fit.
    void keep_rooms_for_gang(const Job& job, std::uint32_t wanted, const placement::Planner& plan,
                             const placement::JobHosts& hosts, std::vector<Room>& rooms) const;
    bool any_lower_arrays(model::Priority priority) const;
    bool is_preemptible_by(const Job& other, const Job& job) const;
    // What is being stopped already, by team.
    std::map<std::string, quota::Amount> being_stopped() const;
    void stop(const Job& job, const std::vector<TaskKey>& victims);

    SchedulerState& state_;
    JobDemand& demand_;
    FleetView& fleet_;
};

}  // namespace flintdale::scheduler
