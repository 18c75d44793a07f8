// JSON codec for the records of jobs in the store. Pure: no I/O.
#pragma once
#include <boost/json.hpp>
#include <string_view>
#include <vector>

#include "model/job.hpp"
#include "model/task.hpp"

namespace flintdale::wire {

namespace json = boost::json;

// The record of a submission: the user's fields and the time of acceptance. spec_from_record() throws DecodeError.
json::object spec_to_record(const model::JobSpec& spec);
model::JobSpec spec_from_record(const json::object& record);

// Kind and number of tasks, as fields of a record. The record is that of the submission, or one of a job whose
// submission is recorded elsewhere or has been deleted. size_from_record() throws DecodeError.
model::JobSize size_from_record(const json::object& record);
void size_to_record(const model::JobSize& size, json::object& record);

// The ranges of tasks with their attempts and machines. ranges_from_record() throws if the record is malformed.
json::array ranges_to_record(const std::vector<model::TaskRange>& ranges);
std::vector<model::TaskRange> ranges_from_record(const json::array& record);

// The name of a job's state in the record of its outcome. job_state_from() throws DecodeError for an unknown name.
std::string_view job_state_name(model::JobState state);
model::JobState job_state_from(std::string_view name);

}  // namespace flintdale::wire
