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

class HttpServer {
  public:
    using Handler = std::function<awaitable<Reply>(Request)>;

    HttpServer(Executor ex, std::string host, std::uint16_t port, std::size_t max_connections, Handler handler);
    void start();
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  private:
    awaitable<void> accept_loop();
    awaitable<void> session(tcp::socket socket);
    awaitable<void> serve(beast::tcp_stream& stream);

    Executor ex_;
    tcp::acceptor acceptor_;
    std::size_t max_connections_, connections_ = 0;
    Handler handler_;
};

}  // namespace flintdale::net
