// Whether a job could ever run on this cluster.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"

namespace flintdale::api {

// Why the job can never run, beginning with the field of the submission; nullopt if it can run.
std::optional<std::string> infeasibility_reason(const model::JobSpec& spec, const config::Settings& settings,
                                                const std::vector<model::MachineType>& types);

}  // namespace flintdale::api
