// Scale runs: real controllers, hollow workers, on one machine. docs/CAPACITY.md says what they showed.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "load_test/fit.hpp"
#include "load_test/hollow_workers.hpp"
#include "load_test/load_test.hpp"

namespace {

using namespace flintdale;
namespace asio = net::asio;

constexpr int failed = 1, bad_arguments = 2;

struct Arguments {
    std::string scenario, daemon, output;
    load_test::Overrides overrides;
    std::size_t process = 0;
    bool keep_logs = false;
};

void add_size_options(CLI::App& app, Arguments& a) {
    app.add_option("scenario", a.scenario, "a TOML file, as scenarios/load-test.toml")->required();
    app.add_option("--workers", a.overrides.workers);
    app.add_option("--controllers", a.overrides.controllers);
    app.add_option("--zones", a.overrides.zones);
    app.add_option("--teams", a.overrides.teams);
    app.add_option("--length", a.overrides.length_s, "seconds");
    app.add_option("--report", a.overrides.report_s, "seconds between two reports of a worker");
    app.add_option("--window-from", a.overrides.window_from_s,
                   "seconds after the start; what is steady is measured then");
    app.add_option("--window", a.overrides.window_s, "seconds");
    app.add_option("--kill-leader", a.overrides.kill_leader_s, "seconds after the start; 0: never");
    app.add_option("--failures", a.overrides.failure_factor, "times the file's restarts and deaths of workers");
    app.add_option("--max-sockets", a.overrides.max_sockets, "of a controller");
    app.add_option("--operator-config", a.overrides.operator_config, "the controllers' INI file");
    app.add_option("--seed", a.overrides.seed);
    app.add_option("--network", a.overrides.network, "second number of the loopback addresses")
        ->check(CLI::Range(1, 254));
}

std::filesystem::path own_program() { return std::filesystem::read_symlink("/proc/self/exe"); }

// A directory for settings and logs that goes with the run.
class RunDirectory {
  public:
    explicit RunDirectory(bool keep)
        : path_(std::filesystem::temp_directory_path() / ("flintdale_load_test." + std::to_string(getpid()))),
          keep_(keep) {
        std::filesystem::create_directories(path_);
    }
    ~RunDirectory() {
        std::error_code ignored;
        if (!keep_) std::filesystem::remove_all(path_, ignored);
    }
    const std::filesystem::path& path() const { return path_; }

  private:
    std::filesystem::path path_;
    bool keep_;
};

int play(Arguments a, const std::vector<std::string>& arguments) {
    const bool chosen = a.overrides.network != 0;
    if (!chosen) a.overrides.network = 2 + static_cast<unsigned>(getpid()) % 250;
    const auto plan = load_test::make_plan(a.scenario, a.overrides);
    const RunDirectory directory(a.keep_logs);
    load_test::Programs programs;
    programs.daemon = a.daemon.empty() ? (own_program().parent_path() / "flintdale").string() : a.daemon;
    if (!std::filesystem::exists(programs.daemon))
        throw config::ConfigError(programs.daemon + ": there is no such program");
    programs.directory = directory.path();
    programs.hollow = {own_program().string(), "hollow"};
    programs.hollow.insert(programs.hollow.end(), arguments.begin(), arguments.end());
    if (!chosen) {
        programs.hollow.push_back("--network");
        programs.hollow.push_back(std::to_string(a.overrides.network));
    }
    std::signal(SIGPIPE, SIG_IGN);  // a process that ended is noticed by its pipe
    asio::io_context io(1);
    bool interrupted = false;
    asio::signal_set signals(io, SIGINT, SIGTERM, SIGHUP);
    signals.async_wait([&](const boost::system::error_code& ec, int) {
        interrupted = !ec;
        io.stop();
    });
    load_test::LoadTest run(io.get_executor(), plan, programs);
    std::exception_ptr error;
    asio::co_spawn(io, run.play(), [&](std::exception_ptr e) {
        error = e;
        io.stop();
    });
    io.run();
    if (error) std::rethrow_exception(error);
    const auto line = boost::json::serialize(run.result());
    if (a.output.empty())
        std::cout << line << '\n';
    else
        std::ofstream(a.output, std::ios::app) << line << '\n';
    if (interrupted) std::cerr << "flintdale_load_test: interrupted\n";
    return run.passed() && !interrupted ? 0 : failed;
}

int be_hollow(const Arguments& a) {
    const auto plan = load_test::make_plan(a.scenario, a.overrides);
    asio::io_context io(1);
    load_test::HollowWorkers workers(io, plan, a.process, STDIN_FILENO, STDOUT_FILENO);
    workers.start();
    io.run();
    return 0;
}

int fit(const std::vector<std::string>& files) {
    std::vector<boost::json::object> results;
    for (const auto& file : files) {
        std::ifstream in(file);
        if (!in) throw config::ConfigError(file + ": cannot be read");
        for (std::string line; std::getline(in, line);) {
            if (line.empty()) continue;
            boost::system::error_code ec;
            const auto value = boost::json::parse(line, ec);
            if (ec || !value.is_object()) throw config::ConfigError(file + ": a line is no JSON object");
            results.push_back(value.as_object());
        }
    }
    std::cout << load_test::fit_table(results);
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App cli{
        "flintdale_load_test: real controllers with hollow workers, users, a state service and a cloud on one "
        "machine.\n"
        "Exits with 1 if a rule was broken or the run failed, with 2 if the arguments are unsound or do not fit."};
    cli.require_subcommand(1);
    Arguments a;
    std::vector<std::string> files;
    auto* run = cli.add_subcommand("run", "one run; prints a line of JSON");
    add_size_options(*run, a);
    run->add_option("--daemon", a.daemon, "the controllers' program; beside this one if not given");
    run->add_option("--output", a.output, "a file that the line is added to");
    run->add_flag("--keep-logs", a.keep_logs, "leave settings and logs in the temporary directory");
    auto* table = cli.add_subcommand("fit", "slopes from the lines of runs, as a table in Markdown");
    table->add_option("files", files)->required();
    auto* hollow = cli.add_subcommand("hollow", "the workers of a run; started by it");
    hollow->group("");
    add_size_options(*hollow, a);
    hollow->add_option("--process", a.process)->required();
    hollow->add_option("--daemon", a.daemon);
    hollow->add_option("--output", a.output);
    hollow->add_flag("--keep-logs", a.keep_logs);
    try {
        cli.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return cli.exit(e) == 0 ? 0 : bad_arguments;
    }
    try {
        if (table->parsed()) return fit(files);
        if (hollow->parsed()) return be_hollow(a);
        return play(a, std::vector<std::string>(argv + 2, argv + argc));
    } catch (const config::ConfigError& e) {
        std::cerr << "flintdale_load_test: " << e.what() << '\n';
        return bad_arguments;
    } catch (const std::exception& e) {
        std::cerr << "flintdale_load_test: " << e.what() << '\n';
        return failed;
    }
}
