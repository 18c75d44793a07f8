// Lines of text over pipes, to and from another process.
#pragma once
#include <optional>

#include "net/asio.hpp"

namespace flintdale::load_test {

using net::awaitable;

class LineChannel {
  public:
    // Takes over both descriptors.
    LineChannel(net::Executor ex, int read_from, int write_to);

    // Nothing once the other end is gone.
    awaitable<std::optional<std::string>> read_line();
    // Leaves in order, as the other end takes it; never waits.
    void send(const std::string& line);

  private:
    awaitable<void> write_loop();

    net::Executor ex_;
    net::asio::posix::stream_descriptor in_, out_;
    std::string read_, waiting_;
    bool writing_ = false;
};

}  // namespace flintdale::load_test
