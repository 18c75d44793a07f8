// Batches heartbeats and responses for one controller into few messages. The first is sent at once; those added within
// a short window after the last message are sent together at the end of the window.
#pragma once
#include <functional>
#include <memory>

#include "model/clock.hpp"
#include "net/asio.hpp"
#include "peer/relay_message.hpp"

namespace flintdale::peer {

// Must be owned by a shared_ptr: a delayed flush holds one too.
class RelayOutbox : public std::enable_shared_from_this<RelayOutbox> {
  public:
    // Sends a message; returns false if it cannot be sent now, and the message is dropped.
    using Send = std::function<bool(const RelayMessage&)>;
    // Called with each message that could not be sent.
    using Failed = std::function<void(const RelayMessage&)>;
    RelayOutbox(net::Executor ex, Send send, Failed failed = {});

    // Sets the sender and the receiver. Drops contents that were collected for another incarnation of the receiver.
    void address(const std::string& member, std::uint64_t incarnation, std::uint64_t receiver_incarnation);
    void add(RelayedHeartbeat heartbeat);
    void add(const RepeatedHeartbeat& heartbeat);
    void add(RelayedResponse response);

  private:
    void added(std::size_t bytes);
    void flush();
    net::awaitable<void> flush_after(model::Clock::duration delay);

    net::Executor ex_;
    Send send_;
    Failed failed_;
    RelayMessage collected_;
    std::size_t collected_bytes_ = 0;  // an estimate
    model::TimePoint last_flush_{};
    bool flush_pending_ = false;
};

}  // namespace flintdale::peer
