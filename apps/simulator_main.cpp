// Runs scenarios in the simulator and prints one line of JSON a seed.
#include <malloc.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

#include "simulator/simulation.hpp"

namespace {
// Seconds of virtual time, for the log.
class SimulatedTime : public spdlog::custom_flag_formatter {
  public:
    void format(const spdlog::details::log_msg&, const std::tm&, spdlog::memory_buf_t& out) override {
        const std::chrono::duration<double> t = flintdale::model::Clock::now().time_since_epoch();
        fmt::format_to(std::back_inserter(out), "{:9.3f}", t.count() - 1000);
    }
    std::unique_ptr<custom_flag_formatter> clone() const override { return std::make_unique<SimulatedTime>(); }
};
}  // namespace

int main(int argc, char** argv) {
    using namespace flintdale;
    CLI::App cli{
        "flintdale_simulator: plays a scenario with three whole controllers in a simulation.\n"
        "Prints a line of JSON a seed; exits with 1 if a rule was broken or a class or team left behind, with 2 if "
        "the\n"
        "scenario is unsound."};
    std::string path, log = "off";
    std::uint64_t seed = 1, seeds = 1;
    unsigned jobs = std::max(1u, std::thread::hardware_concurrency());
    bool only_broken = false, summary = false, relays = false;
    cli.add_option("scenario", path, "a TOML file; docs/simulator.md")->required();
    cli.add_option("--seed", seed, "the first seed");
    cli.add_option("--seeds", seeds, "how many, one after the other")->check(CLI::PositiveNumber);
    cli.add_option("--jobs", jobs, "how many at once")->check(CLI::PositiveNumber);
    cli.add_option("--log", log,
                   "the controllers' log on standard error: off, error, info or debug; plays one at a time");
    cli.add_flag("--only-broken", only_broken,
                 "print the lines of seeds that broke a rule or left a class or team behind, and a count at the end");
    cli.add_flag("--relays", relays, "no worker reports to the leader directly while another controller can relay");
    cli.add_flag("--summary", summary, "after each line a table for a person, on standard error");
    CLI11_PARSE(cli, argc, argv);
    // Many simulations in one process: memory that is given back to the system at the end of each request is asked for
    // again at the next, and that took most of the time.
    mallopt(M_TRIM_THRESHOLD, 1 << 30);
    mallopt(M_MMAP_THRESHOLD, 1 << 30);
    mallopt(M_TOP_PAD, 16 << 20);
    spdlog::set_default_logger(spdlog::stderr_logger_mt("lab"));
    spdlog::set_level(spdlog::level::from_str(log));
    auto pattern = std::make_unique<spdlog::pattern_formatter>();
    pattern->add_flag<SimulatedTime>('*').set_pattern("%* %l %v");
    spdlog::set_formatter(std::move(pattern));
    if (log != "off") jobs = 1;
    simulator::Scenario scenario;
    try {
        scenario = simulator::load_scenario(path);
        if (relays) scenario.direct_share = 0;
        simulator::Simulation probe(scenario, seed);  // finds what is wrong with the cluster's settings
    } catch (const config::ConfigError& e) {
        std::cerr << "flintdale_simulator: " << e.what() << '\n';
        return 2;
    }
    std::atomic<std::uint64_t> next{0};
    std::uint64_t broken = 0, behind = 0, printed = 0;
    std::map<std::uint64_t, std::string> lines;  // that wait for those of seeds before them
    std::mutex mutex;
    const auto work = [&] {
        for (auto n = next++; n < seeds; n = next++) {
            simulator::Simulation simulation(scenario, seed + n);
            const auto outcome = simulation.run();
            const auto line = simulator::to_line(outcome);
            const std::lock_guard lock(mutex);
            broken += !outcome.broken.empty();
            behind += !outcome.left_behind.empty();
            const bool failed = !outcome.broken.empty() || !outcome.left_behind.empty();
            lines[n] = only_broken && !failed ? std::string() : line + "\n";
            if (summary) std::cerr << simulator::to_text(outcome);
            for (; !lines.empty() && lines.begin()->first == printed; ++printed) {
                std::cout << lines.begin()->second << std::flush;
                lines.erase(lines.begin());
            }
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < std::min<std::uint64_t>(jobs, seeds); ++i) threads.emplace_back(work);
    for (auto& t : threads) t.join();
    if (only_broken)
        std::cerr << seeds << " seeds, " << broken << " broke a rule, " << behind << " left a class or team behind\n";
    return broken || behind ? 1 : 0;
}
