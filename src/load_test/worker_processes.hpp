// The hollow worker processes of a run, as its coordinator sees them.
#pragma once
#include <filesystem>

#include "load_test/line_channel.hpp"
#include "load_test/messages.hpp"
#include "load_test/plan.hpp"
#include "load_test/process.hpp"

namespace flintdale::load_test {

class WorkerProcesses {
  public:
    using OnProgress = std::function<void(const Progress&)>;
    // `command`: what starts one, but for its number.
    WorkerProcesses(net::Executor ex, const Plan& plan, std::vector<std::string> command,
                    std::filesystem::path directory, OnProgress on_progress);
    void start();

    void send(const std::string& zone, const ToWorkers& message);
    void send_all(const ToWorkers& message);
    // Whatever happened before then has been told by all of them.
    TimePoint told_until() const;
    // What they have counted together, and how long answers took; nothing if one does not answer in time.
    awaitable<std::optional<Sample>> sample();
    std::vector<ProcessUsage> usage() const;
    bool all_running();

  private:
    struct Worker {
        std::unique_ptr<ChildProcess> process;
        std::shared_ptr<LineChannel> channel;
        TimePoint told_until{};
        std::optional<Sample> sample;
        bool lost = false;
    };
    awaitable<void> read_loop(std::size_t n);

    net::Executor ex_;
    const Plan& plan_;
    std::vector<std::string> command_;
    std::filesystem::path directory_;
    OnProgress on_progress_;
    std::vector<Worker> workers_;
};

}  // namespace flintdale::load_test
