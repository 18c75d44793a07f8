// JSON of the records of jobs in the store. Pure: no I/O.
#pragma once
#include <boost/json.hpp>
#include <string_view>
#include <vector>

#include "model/job.hpp"
#include "model/task.hpp"

namespace flintdale::wire {

namespace json = boost::json;

// A submission as it is recorded: the user's fields and the time of acceptance. Reading throws DecodeError.
json::object spec_to_record(const model::JobSpec& spec);
model::JobSpec spec_from_record(const json::object& record);

// Kind and number of tasks, from any record that names them: that of the submission, or that of a job whose submission
// is kept elsewhere or no more. Reading throws DecodeError.
model::JobSize size_from_record(const json::object& record);
void size_to_record(const model::JobSize& size, json::object& record);

// Tasks with their attempts and machines. Reading throws if the record is malformed.
json::array ranges_to_record(const std::vector<model::TaskRange>& ranges);
std::vector<model::TaskRange> ranges_from_record(const json::array& record);

// The state of a job in its outcome's record. Reading throws DecodeError if there is no such state.
std::string_view job_state_name(model::JobState state);
model::JobState job_state_from(std::string_view name);

}  // namespace flintdale::wire
