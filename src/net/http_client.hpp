// An HTTP/1.1 client for one address, with kept connections and a time limit on each request.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "model/clock.hpp"
#include "net/asio.hpp"

namespace flintdale::net {

struct HttpAnswer {
    unsigned status = 0;  // 0: no answer; the request may or may not have been carried out
    std::string body;
    bool never_sent = false;  // with status 0: there was no connection, so that nothing was sent
    std::size_t bytes_sent = 0, bytes_received = 0;
};

// The object must outlive its requests.
class HttpClient {
  public:
    // `max_idle`: connections kept for later requests. `source`: the local address that connections are made from;
    // empty: whichever the system chooses. Throws if `host` is no IP address.
    HttpClient(Executor ex, std::string host, std::uint16_t port, std::size_t max_idle = 8, std::string source = {});

    // Sends a request and returns the answer, with status 0 if there is none within the limit. Only a GET may be sent
    // twice, over a kept connection that turns out to be closed.
    awaitable<HttpAnswer> request(http::verb verb, std::string target, std::string body, model::Clock::duration limit);

  private:
    using Stream = beast::tcp_stream;
    using Message = http::request<http::string_body>;
    using TimePoint = model::Clock::time_point;

    struct IdleConnection {
        std::unique_ptr<Stream> stream;
        TimePoint since;
    };
    // How one attempt to get an answer over a connection ended.
    enum class Exchange : std::uint8_t {
        answered,         // the connection cannot be used again
        answered_keep,    // it can
        connection_lost,  // the other end had closed it
        failed,
    };

    // Null if there is no connection within the limit.
    awaitable<std::unique_ptr<Stream>> connect(model::Clock::duration limit);
    // The kept connection used last, if it is recent enough; otherwise null.
    std::unique_ptr<Stream> take_idle();
    void keep(std::unique_ptr<Stream> stream);
    Message make_message(http::verb verb, const std::string& target, const std::string& body) const;
    awaitable<Exchange> exchange(Stream& stream, Message message, TimePoint deadline, HttpAnswer& answer);

    Executor ex_;
    tcp::endpoint endpoint_;
    std::string host_;  // the header field
    std::size_t max_idle_;
    std::string source_;
    std::vector<IdleConnection> idle_;
};

}  // namespace flintdale::net
