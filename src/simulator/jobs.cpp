#include "simulator/jobs.hpp"

#include <fmt/format.h>

#include "model/job.hpp"
#include "wire/json.hpp"

namespace flintdale::simulator {

namespace {
constexpr std::size_t images_of_a_class = 3;
// Names come in no order, and none comes twice.
constexpr std::uint64_t name_step = 7919, names = 1'000'000;
}  // namespace

model::JobSpec new_job_spec(const JobClass& job_class, std::uint64_t number, Events& events) {
    auto spec = job_class.like;
    spec.uid = fmt::format("run-{:06}", number * name_step % names);
    spec.tasks =
        job_class.tasks_from + static_cast<std::uint32_t>(events.pick(job_class.tasks_to - job_class.tasks_from + 1));
    spec.image = job_class.like.image + std::to_string(events.pick(images_of_a_class));
    return spec;
}

net::Request submission_request(const model::JobSpec& spec) {
    net::Request request;
    request.verb = net::http::verb::post;
    request.target = "/submissions";
    auto body = wire::spec_to_record(spec);
    body.erase("at");
    request.body = boost::json::serialize(body);
    return request;
}

}  // namespace flintdale::simulator
