// An HTTP/1.1 server with bounded bodies, time limits and a bounded number of connections.
#pragma once
#include <functional>

#include "net/asio.hpp"

namespace flintdale::net {

struct Request {
    http::verb verb = http::verb::get;
    std::string target, body;
};

struct Reply {
    unsigned status = 200;
    std::string body;
    unsigned retry_after = 0;  // seconds; 0: not said
    std::string allow;         // for 405
};

// What a server has taken and given since it began.
struct Traffic {
    std::uint64_t requests = 0, bytes_in = 0, bytes_out = 0;
};

class HttpServer {
  public:
    using Handler = std::function<awaitable<Reply>(Request)>;

    HttpServer(Executor ex, std::string host, std::uint16_t port, std::size_t max_connections, Handler handler);
    void start();
    // Accepts nothing more. Connections that are open stay so, and the server must outlive them.
    void stop();
    const Traffic& traffic() const { return traffic_; }
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  private:
    awaitable<void> accept_loop();
    awaitable<void> session(tcp::socket socket);
    awaitable<void> serve(beast::tcp_stream& stream);

    Executor ex_;
    tcp::acceptor acceptor_;
    std::size_t max_connections_, connections_ = 0;
    Handler handler_;
    Traffic traffic_;
};

}  // namespace flintdale::net
