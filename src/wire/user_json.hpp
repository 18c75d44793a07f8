// JSON to and from users: submissions and the bodies of responses. Pure: no I/O.
#pragma once
#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "model/job.hpp"

namespace flintdale::wire {

namespace json = boost::json;

// Whether this is a job's id as the platform makes them: "run-" and letters, digits and dashes, at most 64 bytes. Such
// an id can be part of a key of the store.
bool valid_uid(std::string_view uid);

// A submitted job, without the time of its acceptance. Throws DecodeError, which names the field and the reason.
// Unknown fields are ignored; dependencies are sorted, each once.
model::JobSpec parse_submission(const json::object& body);

// The body of the response to a submission or a cancellation.
std::string submission_response(std::string_view uid, std::string_view status);

// The body of the response to a question about a job; `done` and `running` count tasks.
std::string poll_response(std::string_view uid, std::string_view status, std::uint32_t done, std::uint32_t running);

// The body of any response that reports an error.
std::string error_body(std::string_view message);

}  // namespace flintdale::wire
