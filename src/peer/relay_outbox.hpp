// Gathers what is to be relayed to one controller, so that many reports and answers share a message: what comes first
// leaves at once, what comes within a window of the last message leaves together at its end.
#pragma once
#include <functional>
#include <memory>

#include "model/clock.hpp"
#include "net/asio.hpp"
#include "peer/relay_message.hpp"

namespace flintdale::peer {

class RelayOutbox : public std::enable_shared_from_this<RelayOutbox> {
  public:
    // False if the message cannot leave now; it is dropped then.
    using Send = std::function<bool(const RelayMessage&)>;
    // Told of each message that could not leave.
    using Failed = std::function<void(const RelayMessage&)>;
    RelayOutbox(net::Executor ex, Send send, Failed failed = {});

    // From whom and to which incarnation; what was gathered for another one is dropped.
    void address(const std::string& member, std::uint64_t incarnation, std::uint64_t to);
    void add(RelayedHeartbeat report);
    void add(const RepeatedHeartbeat& report);
    void add(RelayedResponse answer);

  private:
    void added(std::size_t bytes);
    void flush();
    net::awaitable<void> flush_later(model::Clock::duration in);

    net::Executor ex_;
    Send send_;
    Failed failed_;
    RelayMessage gathered_;
    std::size_t bytes_ = 0;  // of what is gathered, about
    model::TimePoint flushed_{};
    bool waiting_ = false;
};

}  // namespace flintdale::peer
