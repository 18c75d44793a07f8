#include "load_test/worker_processes.hpp"

#include <iostream>

namespace flintdale::load_test {

using namespace std::chrono_literals;
using model::Clock;
namespace asio = net::asio;

namespace {
constexpr auto sample_limit = 10s;
constexpr auto sample_step = 5ms;
}  // namespace

WorkerProcesses::WorkerProcesses(net::Executor ex, const Plan& plan, std::vector<std::string> command,
                                 std::filesystem::path directory, OnProgress on_progress)
    : ex_(ex),
      plan_(plan),
      command_(std::move(command)),
      directory_(std::move(directory)),
      on_progress_(std::move(on_progress)),
      workers_(plan.hollow_processes) {}

void WorkerProcesses::start() {
    for (std::size_t n = 0; n < workers_.size(); ++n) {
        ChildProcess::Command command;
        command.arguments = command_;
        command.arguments.push_back("--process");
        command.arguments.push_back(std::to_string(n));
        command.log_path = (directory_ / ("workers-" + std::to_string(n) + ".log")).string();
        command.talks = true;
        auto& worker = workers_[n];
        worker.process = std::make_unique<ChildProcess>(command);
        worker.channel = std::make_shared<LineChannel>(ex_, worker.process->from_child(), worker.process->to_child());
        asio::co_spawn(ex_, read_loop(n), asio::detached);
    }
}

awaitable<void> WorkerProcesses::read_loop(std::size_t n) {
    const auto channel = workers_[n].channel;
    for (;;) {
        auto line = co_await channel->read_line();
        if (!line) break;
        try {
            const auto message = parse_from_workers(*line);
            if (const auto* sample = std::get_if<Sample>(&message)) workers_[n].sample = *sample;
            if (const auto* progress = std::get_if<Progress>(&message)) {
                on_progress_(*progress);
                workers_[n].told_until = progress->now;
            }
        } catch (const std::exception& e) {
            std::cerr << "flintdale_load_test: a worker process said: " << line->substr(0, 200) << ": " << e.what()
                      << '\n';
            break;
        }
    }
    workers_[n].lost = true;
}

void WorkerProcesses::send(const std::string& zone, const ToWorkers& message) {
    workers_[plan_.process_of(zone)].channel->send(to_line(message));
}

void WorkerProcesses::send_all(const ToWorkers& message) {
    const auto line = to_line(message);
    for (auto& worker : workers_) worker.channel->send(line);
}

TimePoint WorkerProcesses::told_until() const {
    auto out = TimePoint::max();
    for (const auto& worker : workers_) out = std::min(out, worker.told_until);
    return out;
}

awaitable<std::optional<Sample>> WorkerProcesses::sample() {
    for (auto& worker : workers_) worker.sample.reset();
    send_all(TakeSample{});
    Sample out;
    const auto until = Clock::now() + sample_limit;
    for (auto& worker : workers_) {
        while (!worker.sample && Clock::now() < until && !worker.lost) co_await net::sleep_for(sample_step);
        if (!worker.sample) co_return std::nullopt;
        out.counts += worker.sample->counts;
        out.answers.add(worker.sample->answers);
        out.by_controller.resize(worker.sample->by_controller.size());
        for (std::size_t i = 0; i < out.by_controller.size(); ++i)
            out.by_controller[i] += worker.sample->by_controller[i];
    }
    co_return std::optional<Sample>(std::move(out));
}

std::vector<ProcessUsage> WorkerProcesses::usage() const {
    std::vector<ProcessUsage> out;
    for (const auto& worker : workers_)
        if (worker.process && worker.process->id() > 0)
            if (const auto usage = usage_of(worker.process->id())) out.push_back(*usage);
    return out;
}

bool WorkerProcesses::all_running() {
    bool out = true;
    for (auto& worker : workers_) out = worker.process->running() && !worker.lost && out;
    return out;
}

}  // namespace flintdale::load_test
