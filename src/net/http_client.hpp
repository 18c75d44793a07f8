// An HTTP/1.1 client for one address, with kept connections and a time limit on each request.
#pragma once
#include <memory>
#include <vector>

#include "model/clock.hpp"
#include "net/asio.hpp"

namespace flintdale::net {

struct HttpAnswer {
    unsigned status = 0;  // 0: no answer; the request may or may not have been carried out
    std::string body;
    bool never_sent = false;  // with status 0: no connection came about
    std::size_t bytes_sent = 0, bytes_received = 0;
};

class HttpClient {
  public:
    // `source`: the local address that connections are made from; empty: whichever the system takes.
    HttpClient(Executor ex, std::string host, std::uint16_t port, std::size_t keep = 8, std::string source = {});

    awaitable<HttpAnswer> request(http::verb verb, std::string target, std::string body, model::Clock::duration limit);

  private:
    using Stream = beast::tcp_stream;

    awaitable<std::unique_ptr<Stream>> connect(model::Clock::duration limit);

    Executor ex_;
    tcp::endpoint endpoint_;
    std::string host_;
    std::size_t keep_;
    std::string source_;
    std::vector<std::pair<std::unique_ptr<Stream>, model::Clock::time_point>> idle_;
};

}  // namespace flintdale::net
