// One scale run: real controllers and hollow workers, users, a state service and a cloud, watched by the rules'
// checker.
#pragma once
#include <boost/json.hpp>

#include "load_test/cloud_server.hpp"
#include "load_test/deployment.hpp"
#include "load_test/state_server.hpp"
#include "load_test/users.hpp"
#include "load_test/worker_processes.hpp"
#include "model/clock.hpp"

namespace flintdale::load_test {

// What is needed to start the processes.
struct Programs {
    std::string daemon;
    std::vector<std::string> hollow;  // the command of a hollow process, but for its number
    std::filesystem::path directory;  // for settings and logs
};

class LoadTest {
  public:
    LoadTest(net::Executor ex, const Plan& plan, const Programs& programs);
    // Plays it to its end, or until something makes it pointless to go on.
    awaitable<void> play();

    // No rule was broken, nothing failed, and work was done.
    bool passed() const;
    boost::json::object result() const;

  private:
    // All that is counted, at one moment.
    struct Snapshot {
        model::TimePoint at{};
        Sample workers;
        std::vector<std::optional<ProcessUsage>> controllers;
        std::vector<ProcessUsage> hollow;
        StateServer::Counts state;
        net::Traffic state_traffic, cloud_traffic;
        Users::Counts users;
        std::uint64_t link_bytes = 0;
        std::string leader;
    };
    awaitable<std::optional<Snapshot>> snapshot();
    awaitable<void> clock_loop();
    awaitable<void> failure_loop();
    awaitable<void> watch_loop();
    awaitable<void> kill_leader();
    awaitable<void> until(Seconds since_start);
    void add_machines();
    void heard(const Progress& progress);
    void fail_one(bool dies);
    void fail(const std::string& why);
    std::size_t memory_in_use() const;
    boost::json::object parameters() const;
    boost::json::object totals() const;  // of the whole run
    boost::json::object window() const;
    boost::json::object rates() const;  // of the window, a second
    boost::json::object handover() const;
    boost::json::array processes() const;

    net::Executor ex_;
    const Plan& plan_;
    config::Settings settings_;
    simulator::Events events_;
    model::TimePoint start_;
    simulator::Rentals rentals_;
    OrderedChecker checker_;
    Deployment deployment_;
    WorkerProcesses workers_;
    StateServer state_;
    CloudServer cloud_;
    Users users_;
    std::vector<TokenNews> tokens_;
    std::optional<model::TimePoint> killed_at_;
    std::uint64_t token_at_kill_ = 0;
    std::size_t restarted_ = 0, died_ = 0;
    std::optional<Snapshot> window_start_, window_end_, last_;
    std::vector<std::string> failures_;
    bool over_ = false;
};

}  // namespace flintdale::load_test
