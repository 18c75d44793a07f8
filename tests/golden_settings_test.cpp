// Guards the parsing of the platform's and the operators' settings against unintended changes: the parsed values of
// every key and the error messages must equal the golden files. The printed labels are part of these files.
#include <sstream>

#include "support/golden_support.hpp"

namespace flintdale::test {

namespace {

std::string print(const config::Address& address) { return address.host + " port " + std::to_string(address.port); }

void print(std::ostream& out, const char* label, const config::StoreLimits& limits) {
    out << label << ": " << limits.rps << " requests and " << limits.write_rps << " writes a second, "
        << limits.value_bytes << " bytes, " << limits.txn_ops << " changes\n";
}

std::string print(const config::Settings& settings) {
    std::ostringstream out;
    out << "own name: " << settings.member << "\nown place: " << settings.zone
        << "\nserves on: " << print(settings.listen) << "\nhears the others on: " << print(settings.peer_listen)
        << "\n";
    for (const auto& peer : settings.peers)
        out << "other: " << peer.member << " in " << peer.zone << " at " << print(peer.addr) << "\n";
    out << "machines are rented at: " << print(settings.cloud) << "\nrecords are kept at: " << print(settings.state)
        << "\ncontrollers: " << settings.controllers << "\n";
    for (const auto& zone : settings.zones) out << "place: " << zone << "\n";
    for (const auto& team : settings.teams)
        out << "figures: " << team.name << " " << team.cpus << " " << team.cpus_limit << " " << team.gpus << " "
            << team.gpus_limit << "\n";
    for (const auto& objective : settings.objectives)
        out << "aim: " << objective.kind << " of " << objective.job_class << " within " << objective.within.count()
            << " for " << objective.share << "\n";
    out << "a word every: " << settings.heartbeat_interval.count()
        << "\nstops when unanswered for: " << settings.worker_lease.count()
        << "\nwaits for all: " << settings.gang_barrier_timeout.count()
        << "\nnotices a loss in: " << settings.gang_failure_detection.count()
        << "\ngone when aborted in: " << settings.cancel_deadline.count() << "\n";
    print(out, "at present", settings.store_limits);
    if (settings.next_store_limits) print(out, "to come", *settings.next_store_limits);
    out << "rental requests a second: " << settings.cloud_requests_per_s
        << "\nthe list lags by: " << settings.machine_list_lag.count() << "\nconnections: " << settings.max_sockets
        << "\npart of a core: " << settings.cpu_share << "\n";
    return out.str();
}

std::string print(const config::OperatorSettings& operator_settings) {
    std::ostringstream out;
    out << "gathered for: " << operator_settings.batching_window.count()
        << "\nfree room wanted: " << operator_settings.memory_margin << "\nage counts: " << operator_settings.aging_rate
        << "\nunheard for: " << operator_settings.silent_timeout.count()
        << "\npatience with a start: " << operator_settings.boot_timeout_factor
        << "\nkept without work: " << operator_settings.idle_timeout_factor
        << "\npart of an aim: " << operator_settings.array_horizon
        << "\ntoo expensive from: " << operator_settings.array_price_limit
        << "\ntoo empty from: " << operator_settings.service_price_limit
        << "\nin reserve: " << operator_settings.spare_capacity_share
        << "\nreserve is kept: " << operator_settings.spare_timeout_factor
        << "\nremembered for users: " << operator_settings.job_cache_size
        << "\npassed on: " << operator_settings.relay_heartbeats
        << "\nnot passed on: " << operator_settings.direct_share
        << "\na claim lasts: " << operator_settings.election_lease.count()
        << "\nkept in: " << operator_settings.snapshot_directory << "\n";
    for (const auto& [job_class, types] : operator_settings.machine_type_groups) {
        out << "on certain types only: " << job_class;
        for (const auto& type : types) out << " " << type;
        out << "\n";
    }
    return out.str();
}

// The error message for the settings, or "taken" if they are valid.
std::string error_of(const std::string& text) {
    try {
        config::parse_settings(text, "settings.toml");
        return "taken";
    } catch (const config::ConfigError& error) {
        return error.what();
    }
}

}  // namespace

// The settings file of the deployment page, and a file with every known key.
TEST(GoldenTest, ParsedSettingsMatchGoldenFiles) {
    for (const std::string name : {"settings_of_the_deploy_page", "settings_with_every_key"})
        expect_golden(name + "_read.txt", print(config::parse_settings(golden(name + ".toml"), "settings.toml")));
}

// Each line in turn is left out: the resulting default value or error message.
TEST(GoldenTest, DefaultsAndErrorsOfMissingSettingsMatchTheGoldenFile) {
    const auto lines = lines_of(golden("settings_with_every_key.toml"));
    std::string out;
    for (const auto& without : lines) {
        if (without.empty()) continue;
        std::string text;
        for (const auto& line : lines)
            if (&line != &without) text += line + "\n";
        out += "--- without " + without + "\n" + error_of(text) + "\n";
        if (error_of(text) == "taken") out += print(config::parse_settings(text, "settings.toml"));
    }
    expect_golden("settings_left_out.txt", out);
}

// The operators' settings with every key, and the defaults without any key.
TEST(GoldenTest, ParsedOperatorSettingsMatchGoldenFiles) {
    const auto text = golden("operators_with_every_key.ini");
    expect_golden("operators_with_every_key_read.txt", print(config::parse_operator_settings(text, "operators.ini")));
    expect_golden("operators_with_no_key_read.txt", print(config::parse_operator_settings("", "operators.ini")));
}

// Error messages for unknown keys, invalid values and syntax errors. An unknown key is reported with all known keys.
TEST(GoldenTest, ErrorsInOperatorSettingsMatchTheGoldenFile) {
    std::string out;
    for (const char* text : {"[fleet]\nnonsense = 1\n", "[fleet]\ndear = 0\n", "[recovery]\ndirectory = here\n",
                             "[groups]\ntrain =\n", "dear = 2\n", "[fleet\n"}) {
        try {
            config::parse_operator_settings(text, "operators.ini");
            out += "taken\n";
        } catch (const config::ConfigError& error) {
            out += std::string(error.what()) + "\n";
        }
    }
    expect_golden("operator_settings_errors.txt", out);
}

}  // namespace flintdale::test
