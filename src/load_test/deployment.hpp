// The real controllers of a scale run: the daemon's own program, a process and a settings file each, with counted links
// between them.
#pragma once
#include <filesystem>

#include "load_test/link_proxy.hpp"
#include "load_test/plan.hpp"
#include "load_test/process.hpp"

namespace flintdale::load_test {

class Deployment {
  public:
    // Settings files and logs go into that directory.
    Deployment(net::Executor ex, const Plan& plan, std::string daemon, std::filesystem::path directory);
    void start_all();
    void start(std::size_t controller);
    void kill(std::size_t controller);
    // Controllers that were started, not killed, and are gone.
    std::vector<std::string> ended_by_themselves();
    std::optional<ProcessUsage> usage(std::size_t controller) const;
    std::uint64_t link_bytes() const;

  private:
    struct Controller {
        std::unique_ptr<ChildProcess> process;
        bool wanted = false;
    };
    const Plan& plan_;
    std::string daemon_;
    std::filesystem::path directory_;
    std::vector<std::unique_ptr<LinkProxy>> links_;
    std::vector<Controller> controllers_;
};

}  // namespace flintdale::load_test
