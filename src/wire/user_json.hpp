// JSON codec for the users' API: submissions and the bodies of responses. Pure: no I/O.
#pragma once
#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "model/job.hpp"

namespace flintdale::wire {

namespace json = boost::json;

// Whether this is a valid job id in the platform's format: "run-" followed by letters, digits and dashes, at most 64
// bytes. A valid id can be part of a key in the store.
bool valid_uid(std::string_view uid);

// Parses a submission. The time of acceptance is not set. Throws DecodeError, which names the field and the reason.
// Ignores unknown fields. Sorts the dependencies and removes duplicates.
model::JobSpec parse_submission(const json::object& body);

// The body of the response to a submission or a cancellation.
std::string submission_response(std::string_view uid, std::string_view status);

// The body of the response to a status query about a job. `done` and `running` are numbers of tasks.
std::string poll_response(std::string_view uid, std::string_view status, std::uint32_t done, std::uint32_t running);

// The body of every response that reports an error.
std::string error_body(std::string_view message);

}  // namespace flintdale::wire
