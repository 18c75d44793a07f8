#include "load_test/deployment.hpp"

#include <fstream>

namespace flintdale::load_test {

Deployment::Deployment(net::Executor ex, const Plan& plan, std::string daemon, std::filesystem::path directory)
    : plan_(plan), daemon_(std::move(daemon)), directory_(std::move(directory)), controllers_(plan.controllers) {
    for (std::size_t from = 0; from < plan.controllers; ++from)
        for (std::size_t to = 0; to < plan.controllers; ++to)
            if (from != to)
                links_.push_back(
                    std::make_unique<LinkProxy>(ex, plan.addresses.link(from, to), plan.addresses.peering(to)));
    for (std::size_t n = 0; n < plan.controllers; ++n)
        std::ofstream(directory_ / (plan.scenario.members[n] + ".toml")) << plan.settings_text(n);
}

void Deployment::start_all() {
    for (const auto& link : links_) link->start();
    for (std::size_t n = 0; n < controllers_.size(); ++n) start(n);
}

void Deployment::start(std::size_t n) {
    const auto& name = plan_.scenario.members[n];
    ChildProcess::Command command;
    command.arguments = {daemon_, "--config", (directory_ / (name + ".toml")).string()};
    if (!plan_.operator_config.empty()) {
        command.arguments.push_back("--operator-config");
        command.arguments.push_back(plan_.operator_config);
    }
    command.log_path = (directory_ / (name + ".log")).string();
    controllers_[n].process = std::make_unique<ChildProcess>(command);
    controllers_[n].wanted = true;
}

void Deployment::kill(std::size_t n) {
    controllers_[n].wanted = false;
    controllers_[n].process.reset();
}

std::vector<std::string> Deployment::ended_by_themselves() {
    std::vector<std::string> out;
    for (std::size_t n = 0; n < controllers_.size(); ++n)
        if (controllers_[n].wanted && !controllers_[n].process->running()) {
            out.push_back(plan_.scenario.members[n]);
            controllers_[n].wanted = false;
        }
    return out;
}

std::optional<ProcessUsage> Deployment::usage(std::size_t n) const {
    const auto& process = controllers_[n].process;
    return process && process->id() > 0 ? usage_of(process->id()) : std::nullopt;
}

std::uint64_t Deployment::link_bytes() const {
    std::uint64_t out = 0;
    for (const auto& link : links_) out += link->bytes();
    return out;
}

}  // namespace flintdale::load_test
