#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "app/node.hpp"

namespace {

constexpr const char* version = "flintdale 0.1.0";
constexpr int bad_settings = 2;

void set_up_log(const std::string& member) {
    auto log = spdlog::stderr_logger_st("flintdale");
    log->set_pattern("%Y-%m-%dT%H:%M:%S.%e level=%l member=" + member + " %v");
    spdlog::set_default_logger(log);
    const char* wanted = std::getenv("LOG_LEVEL");
    const std::string level = wanted ? wanted : "info";
    if (level == "error")
        spdlog::set_level(spdlog::level::err);
    else if (level == "debug")
        spdlog::set_level(spdlog::level::debug);
    else
        spdlog::set_level(spdlog::level::info);
    if (level != "error" && level != "info" && level != "debug")
        spdlog::warn("event=bad_log_level value=\"{}\" expected=\"error, info or debug\"", level);
}

}  // namespace

int main(int argc, char** argv) {
    using namespace flintdale;
    CLI::App cli{"flintdale: a cluster scheduler. Runs one controller until it is killed."};
    std::string path, operator_path;
    bool check = false;
    cli.set_version_flag("--version", version);
    cli.add_option("--config", path, "the platform's settings (TOML)")->required();
    cli.add_option("--operator-config", operator_path, "the operators' own settings (INI)");
    cli.add_flag("--check", check, "check the settings and exit");
    try {
        cli.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return cli.exit(e) == 0 ? 0 : bad_settings;
    }
    config::Settings settings;
    config::OperatorSettings operator_settings;
    try {
        settings = config::load_settings(path);
        if (!operator_path.empty()) operator_settings = config::load_operator_settings(operator_path);
    } catch (const config::ConfigError& e) {
        std::cerr << "flintdale: " << e.what() << '\n';
        return bad_settings;
    }
    if (check) {
        std::cout << "the settings are sound\n";
        return 0;
    }
    set_up_log(settings.member);
    try {
        net::asio::io_context io(1);
        app::Node node(io, std::move(settings), std::move(operator_settings));
        node.start();
        spdlog::info("event=started");
        io.run();
    } catch (const std::exception& e) {
        spdlog::error("event=failed why=\"{}\"", e.what());
        return 1;
    }
}
