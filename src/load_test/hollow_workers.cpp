#include "load_test/hollow_workers.hpp"

#include <iostream>

namespace flintdale::load_test {

using namespace std::chrono_literals;
using model::Clock;
namespace asio = net::asio;

namespace {
constexpr auto clock_step = 2ms;
constexpr auto progress_gap = 20ms;
constexpr double connected_reports = 1.5;          // report intervals within which the last answer came
constexpr auto silence = std::chrono::seconds(5);  // for which a question to a silent worker stays open
constexpr std::size_t direct_connections = 8;      // to one worker, at once
}  // namespace

HollowWorkers::HollowWorkers(asio::io_context& io, const Plan& plan, std::size_t process, int read_from, int write_to)
    : io_(io),
      ex_(io.get_executor()),
      plan_(plan),
      settings_(config::parse_settings(plan.settings_text(0), "settings")),
      events_(plan.seed * 1000 + process, Clock::now()),
      fleet_(
          events_, *this, settings_, plan.scenario,
          [this](std::size_t controller, const simulator::Origin& from, net::Request request, Seconds patience,
                 simulator::Answered done) { ask(controller, from, std::move(request), patience, std::move(done)); }),
      coordinator_(ex_, read_from, write_to) {
    fleet_.came_up = [this](const std::string& machine) { progress_.came_up.push_back(machine); };
    fleet_.answer_accepted = [this](std::uint64_t fencing_token, bool runs) { answer_accepted(fencing_token, runs); };
}

void HollowWorkers::start() {
    asio::co_spawn(ex_, obey_loop(), asio::detached);
    asio::co_spawn(ex_, clock_loop(), asio::detached);
    asio::co_spawn(ex_, progress_loop(), asio::detached);
}

awaitable<void> HollowWorkers::clock_loop() {
    for (;;) {
        events_.advance_to(Clock::now());
        co_await net::sleep_for(clock_step);
    }
}

awaitable<void> HollowWorkers::progress_loop() {
    for (;;) {
        events_.advance_to(Clock::now());
        progress_.now = events_.now();
        progress_.counts = counts();
        const auto line = to_line(FromWorkers(std::exchange(progress_, Progress{})));
        coordinator_.send(line);
        co_await net::sleep_for(progress_gap);
    }
}

awaitable<void> HollowWorkers::obey_loop() {
    for (;;) {
        auto line = co_await coordinator_.read_line();
        if (!line) break;
        try {
            obey(parse_to_workers(*line));
        } catch (const std::exception& e) {
            std::cerr << "flintdale_load_test: " << e.what() << '\n';
            break;
        }
    }
    io_.stop();
}

void HollowWorkers::obey(const ToWorkers& message) {
    events_.advance_to(Clock::now());
    if (const auto* job = std::get_if<UploadJob>(&message)) fleet_.upload(job->spec, job->runs);
    if (const auto* machine = std::get_if<AddMachine>(&message)) add(*machine);
    if (const auto* machine = std::get_if<RemoveMachine>(&message)) remove(machine->name);
    if (const auto* worker = std::get_if<RestartWorker>(&message)) fleet_.restart(worker->name);
    if (const auto* machine = std::get_if<KillMachine>(&message)) {
        fleet_.die(machine->name);
        if (const auto it = links_.find(machine->name); it != links_.end()) it->second.client.reset();
    }
    if (std::holds_alternative<TakeSample>(message)) coordinator_.send(to_line(FromWorkers(sample())));
}

void HollowWorkers::add(const AddMachine& machine) {
    const auto address = config::parse_address(machine.address, "address");
    simulator::Rented rented;
    rented.name = machine.name;
    rented.address = machine.address;
    for (const auto& type : plan_.scenario.types)
        if (type.name == machine.type) rented.type = &type;
    if (!rented.type) throw std::runtime_error("unknown machine type: " + machine.type);
    rented.zone = machine.zone;
    rented.spot = machine.spot;
    auto& link = links_[machine.name];
    link.address = address.host;
    link.server = std::make_unique<net::HttpServer>(
        ex_, address.host, address.port, direct_connections,
        [this, name = machine.name](net::Request request) { return asked_directly(name, std::move(request)); });
    link.server->start();
    fleet_.add(rented, machine.boots_in);
}

void HollowWorkers::remove(const std::string& machine) {
    fleet_.release({machine});
    const auto it = links_.find(machine);
    if (it == links_.end()) return;
    it->second.server->stop();
    stopped_.push_back(std::move(it->second.server));
    links_.erase(it);
}

void HollowWorkers::ask(std::size_t controller, const simulator::Origin& from, net::Request request, Seconds patience,
                        simulator::Answered done) {
    const auto it = links_.find(from.machine);
    if (it == links_.end()) return;
    auto& link = it->second;
    if (!link.client || link.controller != controller) {
        const auto to = plan_.addresses.serving(controller);
        link.controller = controller;
        link.client = std::make_shared<net::HttpClient>(ex_, to.host, to.port, 1, link.address);
    }
    asio::co_spawn(ex_, deliver(link.client, std::move(request), patience, std::move(done)), asio::detached);
}

awaitable<void> HollowWorkers::deliver(std::shared_ptr<net::HttpClient> client, net::Request request, Seconds patience,
                                       simulator::Answered done) {
    const auto began = Clock::now();
    ++counts_.reports;
    const auto verb = request.verb;
    auto answer =
        co_await client->request(verb, std::move(request.target), std::move(request.body), model::to_clock(patience));
    const auto now = Clock::now();
    events_.advance_to(now);
    counts_.bytes_sent += answer.bytes_sent;
    counts_.bytes_received += answer.bytes_received;
    if (answer.status == 200) {
        ++counts_.answered;
        answers_.add(now - began);
    } else if (answer.status == 421) {
        ++counts_.redirected;
    } else if (answer.status == 0) {
        ++counts_.unanswered;
    } else {
        ++counts_.unavailable;
    }
    done(answer.status, answer.body);
}

awaitable<net::Reply> HollowWorkers::asked_directly(std::string machine, net::Request request) {
    events_.advance_to(Clock::now());
    net::Reply reply;
    std::optional<net::Reply> answer;
    if (request.target == "/commands" && request.verb == net::http::verb::post) {
        answer = fleet_.command(machine, request.body);
    } else if (request.target == "/status" && request.verb == net::http::verb::get) {
        if (auto body = fleet_.status(machine)) {
            reply.body = std::move(*body);
            answer = reply;
        }
    } else {
        reply.status = 404;
        answer = reply;
    }
    // A machine that hangs takes the question and says nothing.
    if (!answer) co_await net::sleep_for(silence);
    reply.status = 503;
    co_return answer ? std::move(*answer) : std::move(reply);
}

void HollowWorkers::answer_accepted(std::uint64_t fencing_token, bool runs) {
    if (fencing_token > token_) {
        token_ = fencing_token;
        progress_.tokens.push_back({fencing_token, events_.now(), false});
    }
    if (runs && fencing_token > token_that_ran_) {
        token_that_ran_ = fencing_token;
        progress_.tokens.push_back({fencing_token, events_.now(), true});
    }
}

void HollowWorkers::arrives(const simulator::TaskName& task, const simulator::Place& place) {
    progress_.events.push_back({TaskEvent::Kind::arrives, events_.now(), task, place});
}

void HollowWorkers::leaves(const simulator::TaskName& task, const std::string& machine) {
    progress_.events.push_back({TaskEvent::Kind::leaves, events_.now(), task, {machine, "", "", false}});
}

void HollowWorkers::completed(const simulator::TaskName& task) {
    progress_.events.push_back({TaskEvent::Kind::completed, events_.now(), task, {}});
}

void HollowWorkers::ordered(const simulator::TaskName& task) {
    if (!ordered_.insert(task.first).second) return;
    progress_.events.push_back({TaskEvent::Kind::ordered, events_.now(), task, {}});
}

WorkerCounts HollowWorkers::counts() const {
    auto out = counts_;
    out.started = fleet_.task_stats().started;
    out.finished = fleet_.task_stats().finished;
    out.lease_kills = fleet_.task_stats().lease_kills;
    return out;
}

Sample HollowWorkers::sample() const {
    Sample out;
    out.counts = counts();
    out.counts.up = fleet_.up();
    for (std::size_t n = 0; n < plan_.controllers; ++n) {
        out.by_controller.push_back(fleet_.answered_by(n, settings_.heartbeat_interval * connected_reports));
        out.counts.connected += out.by_controller.back();
    }
    out.answers = answers_;
    return out;
}

}  // namespace flintdale::load_test
