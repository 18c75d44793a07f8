// What the scheduler costs as fleets and queues grow, without network or store: a heartbeat, a placement pass, a
// scale-out round, and the load after a failover. Arguments: machines, waiting tasks.
#include <benchmark/benchmark.h>
#include <spdlog/spdlog.h>

#include "model/heartbeat.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"
#include "model/task.hpp"
#include "scheduler/scheduler.hpp"

namespace {

using namespace flintdale;
using namespace std::chrono_literals;
using model::JobKind;

config::Settings settings() {
    return config::parse_settings(R"(
member = "one"
location = "a"
serve_on = "127.0.0.1:1"
peer_listen = "127.0.0.1:2"
[endpoints]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[cluster]
nodes = 1
zones = ["a", "b", "c"]
[[cluster.teams]]
name = "team"
[cluster.workers]
report_s = 8.0
lease_s = 36.0
gang_wait_s = 45.0
gang_peer_s = 4.0
cancel_s = 61.0
[cluster.state]
rps = 250.0
write_rps = 25.0
value_kb = 16.0
txn_ops = 24
[cluster.cloud]
rps = 6.0
list_lag_s = 3.0
)",
                                  "bench");
}

// A leader whose fleet has reported, of which each machine runs four tasks of arrays, and a queue of arrays and gangs
// that fit nowhere now.
struct Fleet {
    static constexpr std::uint32_t per_machine = 4, per_job = 40;
    config::Settings settings = ::settings();
    config::OperatorSettings operator_settings;
    state::RecordFormat record_format{settings};
    model::TimePoint now{1000s};
    std::unique_ptr<scheduler::Scheduler> leader;
    std::vector<state::KeyValue> records;
    std::vector<model::Heartbeat> reports;
    std::vector<std::string> names;

    Fleet(std::size_t machines, std::size_t waiting) {
        spdlog::set_level(spdlog::level::off);
        for (std::size_t i = 0; i < machines; ++i) names.push_back("n-" + std::to_string(1'000'000 + i));
        std::size_t at = 0;
        for (std::size_t j = 0; at < machines * per_machine; ++j) add_placed(j, at);
        for (std::size_t n = 0, j = 0; n < waiting; n += per_job, ++j) add_waiting(j);
        elect();
        report_all();
        for (int i = 0; i < 3; ++i) leader->place(now += 500ms);  // what found no room merges into one queue
    }

    model::JobSpec job(std::string uid, JobKind kind) const {
        model::JobSpec s;
        s.uid = std::move(uid);
        s.job_class = "class";
        s.team = "team";
        s.kind = kind;
        s.tasks = per_job;
        s.need = {4, 1, 12};
        s.estimated_runtime = model::Seconds(60);
        s.image = "image-" + std::to_string(std::hash<std::string>{}(s.uid) % 40);
        s.image_gb = 6;
        return s;
    }
    void add_placed(std::size_t j, std::size_t& at) {
        const auto spec = job("run-" + std::to_string(1'000'000 + j), JobKind::array);
        std::vector<model::TaskRange> ranges;
        for (std::uint32_t i = 0; i < per_job && at < names.size() * per_machine; ++i, ++at)
            ranges.push_back({i, i, 1, names[at / per_machine], false});
        records.push_back(
            {scheduler::work_key(spec.uid, 0),
             boost::json::object{{"spec", wire::spec_to_record(spec)}, {"tasks", wire::ranges_to_record(ranges)}}, 1});
    }
    void add_waiting(std::size_t j) {
        auto spec = job("run-" + std::to_string(5'000'000 + j), j % 4 ? JobKind::array : JobKind::gang);
        if (spec.kind == JobKind::gang) {
            spec.need = {16, 4, 48};
            spec.tasks = 8;
        }
        records.push_back({scheduler::work_key(spec.uid, 0), scheduler::first_work_record(spec), 1});
    }
    void elect() {
        leader = std::make_unique<scheduler::Scheduler>(settings, operator_settings, record_format, 1, 1, now);
        model::MachineType type;
        type.name = "type";
        type.capacity = {16, 4, 64};
        type.cache_gb = 60;
        type.fetch_gb_per_s = 0.4;
        type.price = 5;
        type.spot_price = 2;
        type.boot = model::Seconds(40);
        type.zones = {"a", "b", "c"};
        leader->set_machine_types({type});
        leader->load(records, now);
    }
    model::Heartbeat report(std::size_t i, std::uint64_t sequence) const {
        static const char* zones[] = {"a", "b", "c"};
        model::Heartbeat r;
        r.machine = names[i];
        r.addr = "10.0.0.1:9000";
        r.type = "type";
        r.zone = zones[i % 3];
        r.incarnation = 1;
        r.sequence = sequence;
        r.fencing_token = 1;
        for (std::size_t k = i * per_machine; k < (i + 1) * per_machine; ++k) {
            model::TaskReport t;
            t.id = {"run-" + std::to_string(1'000'000 + k / per_job), static_cast<std::uint32_t>(k % per_job)};
            t.attempt = 1;
            t.status = model::TaskStatus::running;
            r.tasks.push_back(std::move(t));
        }
        return r;
    }
    void report_all() {
        now += 10s;
        for (std::size_t i = 0; i < names.size(); ++i) leader->handle_heartbeat(report(i, 1), now);
    }
};

void report(benchmark::State& state) {
    Fleet f(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
    std::uint64_t n = 0;
    for (auto _ : state) {
        const auto r = f.report(n % f.names.size(), 2 + n / f.names.size());
        benchmark::DoNotOptimize(f.leader->handle_heartbeat(r, f.now));
        ++n;
    }
}

void place(benchmark::State& state) {
    Fleet f(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
    for (auto _ : state) benchmark::DoNotOptimize(f.leader->place(f.now));
}

void rent(benchmark::State& state) {
    Fleet f(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
    for (auto _ : state) benchmark::DoNotOptimize(f.leader->scale_out(f.now));
}

void release(benchmark::State& state) {
    Fleet f(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
    for (auto _ : state) benchmark::DoNotOptimize(f.leader->scale_in(f.now));
}

void improve(benchmark::State& state) {
    Fleet f(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
    for (auto _ : state) f.leader->relocate(f.now);
}

void load(benchmark::State& state) {
    Fleet f(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
    for (auto _ : state) f.elect();
}

void sizes(benchmark::internal::Benchmark* b) {
    for (const auto machines : {1'000, 4'000, 16'000})
        for (const auto waiting : {1'000, 10'000, 100'000}) b->Args({machines, waiting});
    b->Unit(benchmark::kMicrosecond)->MinTime(0.05);
}

BENCHMARK(report)->Apply(sizes);
BENCHMARK(place)->Apply(sizes);
BENCHMARK(rent)->Apply(sizes);
BENCHMARK(release)->Apply(sizes);
BENCHMARK(improve)->Apply(sizes);
BENCHMARK(load)->Apply(sizes);

}  // namespace

BENCHMARK_MAIN();
