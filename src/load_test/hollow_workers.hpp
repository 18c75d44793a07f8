// Thousands of workers in one process, without machines under them: each with its own connection, session, ticks,
// tokens, lease and tasks (simulator::Fleet), and its own address for direct questions, over real sockets in real time.
#pragma once
#include <unordered_map>
#include <unordered_set>

#include "load_test/line_channel.hpp"
#include "load_test/messages.hpp"
#include "load_test/plan.hpp"
#include "net/http_client.hpp"
#include "simulator/fleet.hpp"

namespace flintdale::load_test {

class HollowWorkers : private simulator::TaskObserver {
  public:
    // `process`: which of the run's hollow processes this is. Talks to the coordinator over those descriptors.
    HollowWorkers(net::asio::io_context& io, const Plan& plan, std::size_t process, int read_from, int write_to);
    // Ends when the coordinator does.
    void start();

  private:
    void arrives(const simulator::TaskName& task, const simulator::Place& place) override;
    void leaves(const simulator::TaskName& task, const std::string& machine) override;
    void completed(const simulator::TaskName& task) override;
    void ordered(const simulator::TaskName& task) override;

    awaitable<void> obey_loop();
    awaitable<void> clock_loop();
    awaitable<void> progress_loop();
    void obey(const ToWorkers& message);
    void add(const AddMachine& machine);
    void remove(const std::string& machine);
    void ask(std::size_t controller, const simulator::Origin& from, net::Request request, Seconds patience,
             simulator::Answered done);
    awaitable<void> deliver(std::shared_ptr<net::HttpClient> client, net::Request request, Seconds patience,
                            simulator::Answered done);
    awaitable<net::Reply> asked_directly(std::string machine, net::Request request);
    void answer_accepted(std::uint64_t fencing_token, bool runs);
    WorkerCounts counts() const;
    Sample sample() const;

    // A worker's connections: to the controller that it reports to, and its own server.
    struct Link {
        std::string address;
        std::size_t controller = 0;
        std::shared_ptr<net::HttpClient> client;
        std::unique_ptr<net::HttpServer> server;
    };

    net::asio::io_context& io_;
    net::Executor ex_;
    const Plan& plan_;
    config::Settings settings_;
    simulator::Events events_;
    simulator::Fleet fleet_;
    LineChannel coordinator_;
    std::unordered_map<std::string, Link> links_;
    std::vector<std::unique_ptr<net::HttpServer>> stopped_;  // their connections may still be open
    WorkerCounts counts_;
    Latencies answers_;
    Progress progress_;
    std::unordered_set<std::string> ordered_;  // jobs
    std::uint64_t token_ = 0, token_that_ran_ = 0;
};

}  // namespace flintdale::load_test
