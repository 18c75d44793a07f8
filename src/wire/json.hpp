// JSON as the platform speaks it, to and from the types. Pure: no I/O.
#pragma once
#include <boost/json.hpp>
#include <stdexcept>
#include <string_view>

#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"
#include "model/task.hpp"

namespace flintdale::wire {

namespace json = boost::json;

// A body that breaks the protocol; what() names the field and the reason.
struct DecodeError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

json::object parse_object(std::string_view text);

bool valid_uid(std::string_view uid);

// Users.
model::JobSpec parse_submission(const json::object& body);
std::string submission_response(std::string_view uid, std::string_view status);
std::string poll_response(std::string_view uid, std::string_view status, std::uint32_t done, std::uint32_t running);
std::string error_body(std::string_view message);

// Records of the state service.
json::object spec_to_record(const model::JobSpec& spec);
model::JobSpec spec_from_record(const json::object& record);
// From any record that names them, the submission's or that of a job whose submission is kept elsewhere or no more.
model::JobSize size_from_record(const json::object& record);
void size_to_record(const model::JobSize& size, json::object& record);
json::array ranges_to_record(const std::vector<model::TaskRange>& ranges);
std::vector<model::TaskRange> ranges_from_record(const json::array& record);
std::string_view job_state_name(model::JobState state);
model::JobState job_state_from(std::string_view name);

// Workers.
model::Heartbeat parse_heartbeat(std::string_view text);
std::string heartbeat_response(std::uint64_t fencing_token, const std::vector<model::Command>& commands);
std::string direct_commands(std::uint64_t fencing_token, std::uint64_t incarnation,
                            const std::vector<model::Command>& commands);
std::string redirect_body(std::string_view leader);

// Cloud.
std::vector<model::MachineType> parse_catalog(std::string_view text);
json::object catalog_record(const std::vector<model::MachineType>& types);  // in the same form, to be kept
struct MachinePage {
    std::vector<model::ListedMachine> machines;
    bool more = false;
};
MachinePage parse_machines(std::string_view text);
std::vector<std::string> parse_launched(std::string_view text);
std::string launch_body(std::string_view request, std::string_view type, std::string_view zone, bool spot, int count);
std::string terminate_body(const std::vector<std::string>& names);

}  // namespace flintdale::wire
