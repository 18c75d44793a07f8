// Controllers tell each other who leads, how they fare and what users may see of open jobs.
#pragma once
#include <functional>
#include <map>

#include "config/settings.hpp"
#include "net/asio.hpp"
#include "peer/cancellations.hpp"

namespace flintdale::peer {

using net::awaitable;

struct Count {
    std::string uid;
    std::uint32_t done = 0, running = 0;
};

struct Beat {
    std::string member, leader;
    std::uint64_t term = 0;
    bool state_ok = false, leading = false;
    double writes = 0;            // to the state service, that it lately asked for
    std::uint32_t redirects = 0;  // reports that it turned away to the leader since its last message
    std::uint32_t format = 0;     // that it knows every controller to read
    // What it remembers of the records of jobs: see recovery::Keeper.
    std::uint64_t generation = 0, remembers = 0, rebuilding = 0;
    std::string history;
    std::vector<Count> counts;
    Word word;                      // of cancellations
    std::uint64_t incarnation = 0;  // of the sender: each time that it is started another; 0 from versions without
    std::uint64_t connection = 0;   // not on the wire: which of those accepted here it came on
};

std::string encode(const Beat& beat);
Beat decode(const std::string& bytes);  // throws on nonsense

class Links {
  public:
    using Receive = std::function<void(const Beat&)>;
    Links(net::Executor ex, const config::Settings& settings, Receive receive);
    void start();
    // Says it to every peer that can be reached now; nothing is kept for those that cannot.
    void tell(const Beat& beat);

  private:
    struct Out {
        explicit Out(net::Executor ex) : wake(ex) {}
        net::Wakeup wake;
        std::string next;
        std::size_t frames = 0;  // in `next`
        bool connected = false;
    };
    awaitable<void> accept_loop();
    awaitable<void> session(net::tcp::socket socket);
    awaitable<void> dial_loop(config::Peer peer, std::shared_ptr<Out> out);

    net::Executor ex_;
    net::tcp::acceptor acceptor_;
    const config::Settings& settings_;
    Receive receive_;
    std::vector<std::shared_ptr<Out>> outs_;
    std::size_t sessions_ = 0;
    std::uint64_t accepted_ = 0;
};

}  // namespace flintdale::peer
