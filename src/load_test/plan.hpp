// What a scale run plays: a scenario's file at the size that the command line asks for, and the bounds it must keep.
#pragma once
#include <optional>

#include "model/clock.hpp"
#include "simulator/scenario.hpp"

namespace flintdale::load_test {

using model::Seconds;

// What the command line says in place of the file.
struct Overrides {
    std::optional<std::size_t> workers, controllers, zones, teams;
    std::optional<double> report_s;  // between two reports of a worker
    std::optional<double> length_s, window_from_s, window_s, kill_leader_s, failure_factor, max_sockets;
    std::optional<std::string> operator_config;  // a file of operators' settings for the controllers
    std::uint64_t seed = 1;
    unsigned network = 0;  // second number of the loopback addresses; 0: by the process's id
};

// Loopback addresses of one run: 127.<network>.x.y, so that runs side by side do not meet and ports do not run out.
class Addresses {
  public:
    explicit Addresses(unsigned network) : network_(network) {}
    config::Address serving(std::size_t controller) const { return {at(0, controller + 1), 8080}; }
    config::Address peering(std::size_t controller) const { return {at(0, controller + 1), 8081}; }
    // Where `from` reaches `to`: a proxy that counts what passes.
    config::Address link(std::size_t from, std::size_t to) const { return {at(200 + from, to + 1), 8081}; }
    config::Address state() const { return {at(1, 1), 2379}; }
    config::Address cloud() const { return {at(1, 1), 8443}; }
    std::string users() const { return at(1, 2); }
    config::Address worker(std::uint64_t number) const;

  private:
    std::string at(std::size_t third, std::size_t fourth) const;
    unsigned network_;
};

struct Plan {
    simulator::Scenario scenario;
    std::size_t workers = 0, controllers = 0, zones = 0, teams = 0, users = 0;
    std::size_t hollow_processes = 0;
    Seconds length{0}, ramp{0}, window_from{0}, window{0};
    Seconds kill_leader_at{0}, controller_back{0};  // 0: the leader is not killed
    double restarts_a_day = 0, deaths_a_day = 0;    // of one worker
    std::string operator_config;
    std::uint64_t seed = 1;
    Addresses addresses{127};

    std::string team(std::size_t number) const;
    // The hollow process that holds the workers of a zone: gangs of one zone stay within one process.
    std::size_t process_of(const std::string& zone) const;
    // The platform's settings for one controller.
    std::string settings_text(std::size_t controller) const;
};

// Throws config::ConfigError that says what is wrong, also where the size does not fit the machine.
Plan make_plan(const std::string& path, const Overrides& overrides);

// Half of the machine's memory, which a run may not exceed.
std::size_t memory_bound();

}  // namespace flintdale::load_test
