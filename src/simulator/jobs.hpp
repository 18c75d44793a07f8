// What users submit, drawn from a class of jobs.
#pragma once
#include "model/job.hpp"
#include "net/http_server.hpp"
#include "simulator/events.hpp"
#include "simulator/scenario.hpp"

namespace flintdale::simulator {

// The job of that number, with its size and image drawn by the run's random source.
model::JobSpec new_job_spec(const JobClass& job_class, std::uint64_t number, Events& events);

// POST /submissions, as its user sends it.
net::Request submission_request(const model::JobSpec& spec);

}  // namespace flintdale::simulator
