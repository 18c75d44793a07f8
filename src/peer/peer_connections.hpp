// Controllers tell each other who leads, how they fare and what users may see of open jobs.
#pragma once
#include <functional>
#include <map>

#include "config/settings.hpp"
#include "net/asio.hpp"
#include "peer/cancellations.hpp"
#include "peer/relay_message.hpp"

namespace flintdale::peer {

using net::awaitable;

struct JobCount {
    std::string uid;
    std::uint32_t done = 0, running = 0;
};

struct StatusMessage {
    std::string member, leader;
    std::uint64_t term = 0;
    bool state_ok = false, leading = false;
    double writes = 0;            // to the state service, that it lately asked for
    std::uint32_t redirects = 0;  // reports that it turned away to the leader since its last message
    std::uint32_t format = 0;     // that it knows every controller to read
    // What it remembers of the records of jobs: see recovery::RecoveryCoordinator.
    std::uint64_t generation = 0, remembers = 0, rebuilding = 0;
    std::string history;
    std::vector<JobCount> counts;
    // Relays (app::WorkerAssignment): whether it takes part, the workers that report to it and that may, and, from the
    // leader, the machines that it knows of.
    bool relays = false;
    std::uint32_t workers = 0, capacity = 0, fleet = 0;
    CancellationReport cancellations;
    std::uint64_t incarnation = 0;  // of the sender: each time that it is started another; 0 from versions without
    std::uint64_t connection = 0;   // not on the wire: which of those accepted here it came on
};

std::string encode(const StatusMessage& status);
StatusMessage decode(const std::string& bytes);  // throws on nonsense

class PeerConnections {
  public:
    struct Receive {
        std::function<void(const StatusMessage&)> status;
        std::function<void(const RelayMessage&)> relay;
        std::function<void(const std::string& member)> lost;  // what was sent to it last may not have come
    };
    PeerConnections(net::Executor ex, const config::Settings& settings, Receive receive);
    void start();
    // Sends it to that controller; false if it cannot be reached now, or too much waits for it already.
    bool send_relay_message(const std::string& member, const RelayMessage& message);
    // Says it to every peer that can be reached now; nothing is kept for those that cannot.
    void broadcast(const StatusMessage& status);

  private:
    struct Out {
        Out(net::Executor ex, std::string m) : wake(ex), member(std::move(m)) {}
        net::Wakeup wake;
        std::string member;
        struct Queue {
            std::string bytes;
            std::size_t frames = 0;
            void clear() {
                bytes.clear();
                frames = 0;
            }
        };
        Queue status_messages, relayed;
        bool connected = false;
        void add(Queue& queue, const std::string& frame) {
            queue.bytes += frame;
            ++queue.frames;
            wake.notify();
        }
    };
    enum class Frame : std::uint8_t { status = 0, relay = 1 };
    static std::string frame(Frame kind, const std::string& bytes);
    void received(Frame kind, const std::string& body, std::uint64_t connection);
    awaitable<void> send_loop(net::beast::tcp_stream& stream, Out& out);
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
