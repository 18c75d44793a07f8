#include "load_test/plan.hpp"

#include <fmt/format.h>
#include <sys/resource.h>
#include <toml++/toml.h>
#include <unistd.h>

#include <fstream>
#include <regex>
#include <sstream>

#include "model/job.hpp"

namespace flintdale::load_test {

using config::ConfigError;

namespace {

constexpr std::size_t most_workers = 28'000;  // as many loopback addresses are set aside for them
constexpr std::size_t most_controllers = 50, most_processes = 200;
constexpr std::size_t workers_of_a_process = 5'000;
constexpr std::size_t files_of_a_worker = 2, other_files = 500;  // its connection and its own listening socket
// For the check before the start, from runs: docs/CAPACITY.md.
constexpr std::size_t bytes_of_a_worker = 60'000, bytes_of_a_process = 60'000'000;
constexpr std::size_t first_worker_block = 16, workers_of_a_block = 250;

class Table {
  public:
    explicit Table(const toml::table& table) : table_(table) {}
    double number(const char* key, double least, double most) const {
        const auto value = table_[key].value<double>();
        if (!value || *value < least || *value > most)
            throw ConfigError(fmt::format("scale.{}: expected a number from {} to {}", key, least, most));
        return *value;
    }
    std::size_t count(const char* key, double least, double most) const {
        return static_cast<std::size_t>(number(key, least, most));
    }

  private:
    const toml::table& table_;
};

std::string read(const std::string& path) {
    std::ifstream in(path);
    if (!in) throw ConfigError(path + ": cannot be read");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::string zone_name(std::size_t n) { return fmt::format("zone-{:02}", n); }
std::string team_name(std::size_t n) { return fmt::format("team-{:03}", n); }

std::string quoted_list(std::size_t n, std::string (*name)(std::size_t)) {
    std::string out = "[";
    for (std::size_t i = 0; i < n; ++i) out += fmt::format("{}\"{}\"", i ? ", " : "", name(i));
    return out + "]";
}

std::string controller_name(std::size_t n) { return fmt::format("controller-{}", n + 1); }

std::size_t checked(std::size_t value, std::size_t least, std::size_t most, const char* what) {
    if (value < least || value > most)
        throw ConfigError(fmt::format("{}: expected {} to {}, found {}", what, least, most, value));
    return value;
}

// Jobs come in proportion to the workers.
void scale_jobs(simulator::Scenario& scenario, double factor) {
    for (auto& job : scenario.jobs) {
        job.initial = static_cast<int>(std::lround(job.initial * factor));
        job.per_minute *= factor;
    }
}

// Teams that may each use a few times their even part of all processors.
std::string teams_text(const toml::table& root, std::size_t workers, std::size_t teams, double parts) {
    double cpus = 0, types = 0;
    if (const auto* machines = root["machines"].as_array())
        for (const auto& machine : *machines)
            if (const auto* table = machine.as_table()) {
                cpus += (*table)["cpus"].value_or(0.0);
                ++types;
            }
    const double all = types > 0 ? cpus / types * static_cast<double>(workers) : 0;
    std::string out;
    for (std::size_t i = 0; i < teams; ++i)
        out += fmt::format("[[cluster.teams]]\nname = \"{}\"\ncpus_max = {:.1f}\n", team_name(i),
                           all * parts / static_cast<double>(teams));
    return out;
}

void check_machine(const Plan& plan) {
    const auto processes = plan.controllers + plan.hollow_processes + 1;
    if (processes > most_processes)
        throw ConfigError(fmt::format("{} processes: at most {} are allowed", processes, most_processes));
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    const auto most =
        (plan.workers / plan.zones + 1) * ((plan.zones + plan.hollow_processes - 1) / plan.hollow_processes);
    const auto wanted = most * files_of_a_worker + other_files;
    if (wanted > files.rlim_cur)
        throw ConfigError(
            fmt::format("{} workers in one process want {} open files, and the limit is {}: more zones "
                        "spread them over more processes",
                        most, wanted, files.rlim_cur));
    const auto memory = plan.workers * bytes_of_a_worker + processes * bytes_of_a_process;
    if (memory > memory_bound())
        throw ConfigError(fmt::format("about {} MB are wanted, and half of the machine's memory is {} MB", memory >> 20,
                                      memory_bound() >> 20));
}

}  // namespace

std::size_t memory_bound() {
    return static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) * static_cast<std::size_t>(sysconf(_SC_PAGE_SIZE)) / 2;
}

std::string Addresses::at(std::size_t third, std::size_t fourth) const {
    return fmt::format("127.{}.{}.{}", network_, third, fourth);
}

config::Address Addresses::worker(std::uint64_t number) const {
    const auto n = number % most_workers;
    return {at(first_worker_block + n / workers_of_a_block, 1 + n % workers_of_a_block), 9000};
}

std::string Plan::team(std::size_t number) const { return team_name(number); }

std::size_t Plan::process_of(const std::string& zone) const {
    const auto& zones = scenario.types.front().zones;
    const auto at = std::find(zones.begin(), zones.end(), zone) - zones.begin();
    return static_cast<std::size_t>(at) % hollow_processes;
}

std::string Plan::settings_text(std::size_t n) const {
    const auto text = [](const config::Address& a) { return fmt::format("{}:{}", a.host, a.port); };
    std::string out = fmt::format("member = \"{}\"\nlocation = \"{}\"\nserve_on = \"{}\"\npeer_listen = \"{}\"\n",
                                  scenario.members[n], scenario.member_zones[n], text(addresses.serving(n)),
                                  text(addresses.peering(n)));
    for (std::size_t i = 0; i < controllers; ++i)
        if (i != n)
            out += fmt::format("[[seeds]]\nmember = \"{}\"\nlocation = \"{}\"\naddr = \"{}\"\n", scenario.members[i],
                               scenario.member_zones[i], text(addresses.link(n, i)));
    out +=
        fmt::format("[endpoints]\ncloud = \"{}\"\nstate = \"{}\"\n", text(addresses.cloud()), text(addresses.state()));
    return out + scenario.cluster;
}

Plan make_plan(const std::string& path, const Overrides& o) {
    auto file = read(path);
    if (o.report_s) {
        if (*o.report_s < 1 || *o.report_s > 60)
            throw ConfigError(fmt::format("report_s: expected 1 to 60, found {}", *o.report_s));
        const std::regex setting(R"((^|\n)report_s = [0-9.]+)");
        file = std::regex_replace(file, setting, fmt::format("$1report_s = {}", *o.report_s));
    }
    toml::table root;
    try {
        root = toml::parse(file, path);
    } catch (const toml::parse_error& e) {
        throw ConfigError(fmt::format("{}: line {}: {}", path, e.source().begin.line, e.description()));
    }
    const auto* table = root["scale"].as_table();
    if (!table) throw ConfigError(path + ": scale: expected a table");
    const Table t(*table);
    Plan p;
    p.workers = checked(o.workers.value_or(t.count("workers", 1, most_workers)), 1, most_workers, "workers");
    p.controllers = checked(o.controllers.value_or(t.count("controllers", 1, most_controllers)), 1, most_controllers,
                            "controllers");
    p.zones = checked(o.zones.value_or(t.count("zones", 1, 100)), 1, 100, "zones");
    p.teams = checked(o.teams.value_or(t.count("teams", 1, 1000)), 1, 1000, "teams");
    p.users = t.count("users", 1, 2000);
    p.length = Seconds(o.length_s.value_or(t.number("length_s", 5, 600)));
    if (p.length < Seconds(5) || p.length > Seconds(600))
        throw ConfigError(fmt::format("length_s: expected 5 to 600, found {}", p.length.count()));
    p.ramp = Seconds(t.number("ramp_s", 0, 60));
    p.window_from = Seconds(o.window_from_s.value_or(t.number("window_from_s", 0, 600)));
    p.window = Seconds(o.window_s.value_or(t.number("window_s", 1, 600)));
    if (p.window_from < Seconds(0) || p.window < Seconds(1) || p.window_from + p.window > p.length)
        throw ConfigError("window_s: expected a second or more, within the run's length");
    p.kill_leader_at = Seconds(o.kill_leader_s.value_or(t.number("kill_leader_s", 0, 600)));
    if (p.kill_leader_at.count() != 0 && (p.kill_leader_at >= p.length || p.kill_leader_at < p.window_from + p.window))
        throw ConfigError("kill_leader_s: expected after the window that is measured, within the run's length");
    p.controller_back = Seconds(t.number("controller_back_s", 0, 600));
    const double factor = o.failure_factor.value_or(1);
    if (factor < 0) throw ConfigError("failure factor: expected 0 or more");
    p.restarts_a_day = t.number("restarts_a_day", 0, 1000) * factor;
    p.deaths_a_day = t.number("deaths_a_day", 0, 1000) * factor;
    p.operator_config = o.operator_config.value_or("");
    p.seed = o.seed;
    const auto network = o.network ? o.network : 2 + static_cast<unsigned>(getpid()) % 250;
    p.addresses = Addresses(network);
    p.hollow_processes = std::min(p.zones, (p.workers + workers_of_a_process - 1) / workers_of_a_process);

    std::string text =
        file + "\n[world]\nmembers = " + quoted_list(p.controllers, controller_name) + "\nmember_zones = [";
    for (std::size_t i = 0; i < p.controllers; ++i)
        text += fmt::format("{}\"{}\"", i ? ", " : "", zone_name(i % p.zones));
    text += fmt::format("]\nwarm = {}\ncapacity = {}\n[cluster]\nnodes = {}\nzones = {}\n", p.workers, p.workers,
                        p.controllers, quoted_list(p.zones, zone_name));
    text += teams_text(root, p.workers, p.teams, t.number("team_parts", 1, 1000));
    text += fmt::format("[cluster.limits]\nmax_sockets = {}\ncore_share = {}\n",
                        o.max_sockets.value_or(t.number("max_sockets", 16, 100'000)), t.number("core_share", 0.001, 1));
    p.scenario = simulator::parse_scenario(text, path.substr(path.rfind('/') + 1));
    for (auto& type : p.scenario.types) {
        type.zones.clear();
        for (std::size_t i = 0; i < p.zones; ++i) type.zones.push_back(zone_name(i));
    }
    for (const auto& job : p.scenario.jobs)
        if (job.like.kind == model::JobKind::gang && !job.like.one_zone && p.hollow_processes > 1)
            throw ConfigError("jobs: a gang must be of one zone where workers are spread over processes");
    scale_jobs(p.scenario, static_cast<double>(p.workers) / t.number("jobs_for_workers", 1, most_workers));
    check_machine(p);
    return p;
}

}  // namespace flintdale::load_test
