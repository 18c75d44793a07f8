// What users submit, drawn from a class of jobs.
#pragma once
#include "emulator/events.hpp"
#include "emulator/scenario.hpp"
#include "net/http_server.hpp"

namespace flintdale::emulator {

// The job of that number, with the luck of the run in its size and image.
wire::JobSpec new_job_spec(const JobClass& job_class, std::uint64_t number, Events& events);

// POST /submissions, as its user sends it.
net::Request submission_request(const wire::JobSpec& spec);

}  // namespace flintdale::emulator
