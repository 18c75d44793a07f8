// An HTTP/1.1 client for one address, with keep-alive connections and a time limit on each request.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "model/clock.hpp"
#include "net/asio.hpp"

namespace flintdale::net {

struct HttpAnswer {
    unsigned status = 0;  // 0: no response; the request may or may not have been carried out
    std::string body;
    bool never_sent = false;  // with status 0: no connection could be made, so nothing was sent
    std::size_t bytes_sent = 0, bytes_received = 0;
};

// The object must outlive its requests.
class HttpClient {
  public:
    // `max_idle`: number of idle connections kept for later requests. `source`: local address of the connections;
    // empty: chosen by the system. Throws boost::system::system_error if `host` is not an IP address.
    HttpClient(Executor ex, std::string host, std::uint16_t port, std::size_t max_idle = 8, std::string source = {});

    // Sends a request and returns the response, with status 0 if there is none within the limit. Only a GET may be sent
    // twice, if the server has closed the kept connection that it was first sent on.
    awaitable<HttpAnswer> request(http::verb verb, std::string target, std::string body, model::Clock::duration limit);

  private:
    using Stream = beast::tcp_stream;
    using Message = http::request<http::string_body>;
    using TimePoint = model::Clock::time_point;

    struct IdleConnection {
        std::unique_ptr<Stream> stream;
        TimePoint since;
    };
    // The result of one request on a connection.
    enum class Exchange : std::uint8_t {
        answered,         // the connection cannot be used again
        answered_keep,    // the connection can be used again
        connection_lost,  // the server has closed the connection
        failed,
    };

    // Null if no connection is made within the limit.
    awaitable<std::unique_ptr<Stream>> connect(model::Clock::duration limit);
    // The kept connection used last, if it is recent enough; otherwise null.
    std::unique_ptr<Stream> take_idle();
    void keep(std::unique_ptr<Stream> stream);
    Message make_message(http::verb verb, const std::string& target, const std::string& body) const;
    awaitable<Exchange> exchange(Stream& stream, Message message, TimePoint deadline, HttpAnswer& answer);

    Executor ex_;
    tcp::endpoint endpoint_;
    std::string host_;  // value of the header field Host
    std::size_t max_idle_;
    std::string source_;
    std::vector<IdleConnection> idle_;
};

}  // namespace flintdale::net
