// Whether a job could ever run on this cluster.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"

namespace flintdale::api {

// Why the job can never run, naming the field of the submission; nothing if it can.
std::optional<std::string> why_never_runs(const model::JobSpec& spec, const config::Settings& settings,
                                          const std::vector<model::MachineType>& types);

}  // namespace flintdale::api
