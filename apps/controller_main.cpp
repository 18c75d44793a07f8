// The controller program: reads the settings and runs one controller until it is killed.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "app/node.hpp"

namespace {

constexpr const char* version = "flintdale 0.1.0";
constexpr int failed = 1, bad_settings = 2;  // exit codes

spdlog::level::level_enum log_level(const std::string& name) {
    if (name == "error") return spdlog::level::err;
    if (name == "debug") return spdlog::level::debug;
    return spdlog::level::info;
}

// Logs to standard error at the level in LOG_LEVEL and above.
void set_up_log(const std::string& member) {
    auto log = spdlog::stderr_logger_st("flintdale");
    log->set_pattern("%Y-%m-%dT%H:%M:%S.%e level=%l member=" + member + " %v");
    spdlog::set_default_logger(log);
    const char* configured = std::getenv("LOG_LEVEL");
    const std::string level = configured ? configured : "info";
    spdlog::set_level(log_level(level));
    if (level != "error" && level != "info" && level != "debug")
        spdlog::warn("event=bad_log_level value=\"{}\" expected=\"error, info or debug\"", level);
}

int run(flintdale::config::Settings settings, flintdale::config::OperatorSettings operator_settings) {
    using namespace flintdale;
    set_up_log(settings.member);
    try {
        net::asio::io_context io(1);
        app::Node node(io, std::move(settings), std::move(operator_settings));
        node.start();
        spdlog::info("event=started");
        io.run();
    } catch (const std::exception& e) {
        spdlog::error("event=failed why=\"{}\"", e.what());
        return failed;
    }
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    using namespace flintdale;
    CLI::App cli{"flintdale: a cluster scheduler. Runs one controller until it is killed."};
    std::string settings_path, operator_settings_path;
    bool check_only = false;
    cli.set_version_flag("--version", version);
    cli.add_option("--config", settings_path, "the platform's settings (TOML)")->required();
    cli.add_option("--operator-config", operator_settings_path, "the operators' own settings (INI)");
    cli.add_flag("--check", check_only, "check the settings and exit");
    try {
        cli.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return cli.exit(e) == 0 ? 0 : bad_settings;
    }
    config::Settings settings;
    config::OperatorSettings operator_settings;
    try {
        settings = config::load_settings(settings_path);
        if (!operator_settings_path.empty()) operator_settings = config::load_operator_settings(operator_settings_path);
    } catch (const config::ConfigError& e) {
        std::cerr << "flintdale: " << e.what() << '\n';
        return bad_settings;
    }
    if (check_only) {
        std::cout << "the settings are sound\n";
        return 0;
    }
    return run(std::move(settings), std::move(operator_settings));
}
