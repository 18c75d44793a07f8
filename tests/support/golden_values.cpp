// The fixed values from which golden files were made, and helpers to read and print them.
#include <sstream>

#include "support/golden_support.hpp"

namespace flintdale::test {

std::vector<std::string> lines_of(const std::string& text) {
    std::vector<std::string> out;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) out.push_back(line);
    return out;
}

std::string line_of(const state::Change& change) {
    return change.key + (change.value ? " " + boost::json::serialize(*change.value) : std::string()) + "\n";
}

state::Change change_of(const std::string& line) {
    state::Change change;
    const auto space = line.find(' ');
    change.key = line.substr(0, space);
    if (space != std::string::npos) change.value = boost::json::parse(line.substr(space + 1));
    return change;
}

std::string lines_of(const std::vector<state::Change>& changes) {
    std::string out;
    for (const auto& change : changes) out += line_of(change);
    return out;
}

std::vector<state::Change> changes_in(const std::string& name) {
    std::vector<state::Change> out;
    for (const auto& line : lines_of(golden(name))) out.push_back(change_of(line));
    return out;
}

config::Settings golden_settings(const std::string& own_name, const std::string& other_name) {
    config::Settings settings;
    settings.member = own_name;
    settings.zone = "a";
    config::Peer other;
    other.member = other_name;
    other.zone = "b";
    settings.peers.push_back(other);
    settings.controllers = 2;
    settings.zones = {"a", "b"};
    config::Team team;
    team.name = "vision";
    team.cpus = 64;
    team.cpus_limit = 128.5;
    team.gpus = 4;
    team.gpus_limit = 8;
    settings.teams.push_back(team);
    return settings;
}

model::JobSpec full_submission() {
    model::JobSpec spec;
    spec.uid = "run-000412";
    spec.job_class = "train";
    spec.team = "vision";
    spec.image = "img-07";
    spec.kind = model::JobKind::gang;
    spec.priority = model::Priority::high;
    spec.tasks = 16;
    spec.need.cpus = 8;
    spec.need.gpus = 1;
    spec.need.memory_gb = 64.5;
    spec.image_gb = 6.2;
    spec.types = {"g8", "g4"};
    spec.zone = "b\"\\\u00e9";
    spec.one_zone = true;
    spec.spot = true;
    spec.estimated_runtime = model::Seconds(240.25);
    spec.checkpoint_interval = model::Seconds(30);
    spec.checkpoint_duration = model::Seconds(4);
    spec.deadline = model::Seconds(900);
    spec.dependencies = {"run-000017", "run-000411"};
    spec.accepted_ms = 1'700'000'000'123;
    return spec;
}

model::JobSpec bare_submission() {
    model::JobSpec spec;
    spec.uid = "run-9";
    spec.job_class = "lookup";
    spec.team = "vision";
    spec.image = "img-1";
    spec.kind = model::JobKind::service;
    spec.priority = model::Priority::critical;
    spec.tasks = 3;
    spec.need.cpus = 0.5;
    spec.need.memory_gb = 2;
    spec.spread = true;
    return spec;
}

}  // namespace flintdale::test
