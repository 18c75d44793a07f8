// How much room a job would find on the machines that run now.
#pragma once
#include <map>
#include <string>

#include "model/job.hpp"
#include "simulator/machine.hpp"

namespace flintdale::simulator {

// Machine -> how many tasks of a job it has room for.
using Room = std::map<std::string, std::size_t>;

// Machines that can be reached and that the job may use.
Room room_on(const Machines& machines, const model::JobSpec& spec, TimePoint now);
// For how many tasks of the job that room is enough together, by the job's constraints on zones.
std::size_t room_for(const Machines& machines, const model::JobSpec& spec, const Room& room);

}  // namespace flintdale::simulator
