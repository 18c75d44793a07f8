// A small blocking HTTP/1.1 server and client on loopback addresses. A thread serves each connection.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstring>
#include <functional>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <thread>

#include "record.hpp"

namespace stand_in {

struct Request {
    std::string method, target, body;
};

struct Response {
    int status = 0;  // 0: no response. From a server's handler: the connection is left open without an answer.
    std::string body;
    double retry_after = 0;
};

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline int listen_on(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = loopback(port);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

// A free port below the range that the system uses for outgoing connections.
inline int free_port() {
    static std::mt19937 random(std::random_device{}());
    static std::atomic<int> last{0};
    for (int i = 0; i < 2000; ++i) {
        const int port = std::uniform_int_distribution<int>(12000, 30000)(random);
        if (port == last) continue;
        const int fd = listen_on(port);
        if (fd < 0) continue;
        close(fd);
        last = port;
        return port;
    }
    throw std::runtime_error("no free port");
}

inline std::string address_of(int port) { return "127.0.0.1:" + std::to_string(port); }

// Reads and writes messages on a connected socket. The socket is closed with the object.
class Connection {
  public:
    explicit Connection(int fd) : fd_(fd) {
        const int on = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection() { close(fd_); }
    int fd() const { return fd_; }

    bool write_all(const std::string& text, TimePoint until) {
        for (std::size_t at = 0; at < text.size();) {
            if (!wait(POLLOUT, until)) return false;
            const auto n = send(fd_, text.data() + at, text.size() - at, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n < 0 && errno == EAGAIN) continue;
            if (n <= 0) return false;
            at += static_cast<std::size_t>(n);
        }
        return true;
    }

    // Reads one message; its head goes to `head`. False at the end of the connection or of the time.
    bool read_message(std::string& head, std::string& body, TimePoint until) {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
            if (!read_more(until)) return false;
        head = buffer_.substr(0, end + 2);
        buffer_.erase(0, end + 4);
        const auto length = field(head, "content-length");
        const auto size = length ? std::stoul(*length) : 0;
        while (buffer_.size() < size)
            if (!read_more(until)) return false;
        body = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return true;
    }

    // The value of a header field; `name` in lower case.
    static std::optional<std::string> field(const std::string& head, const std::string& name) {
        std::string lower(head);
        std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
        const auto at = lower.find("\r\n" + name + ":");
        if (at == std::string::npos) return std::nullopt;
        auto begin = head.find_first_not_of(' ', at + name.size() + 3);
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }

  private:
    bool wait(short events, TimePoint until) const {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        if (left <= 0) return false;
        pollfd p{fd_, events, 0};
        return poll(&p, 1, static_cast<int>(std::min<long long>(left, 600'000))) > 0;
    }
    bool read_more(TimePoint until) {
        if (!wait(POLLIN, until)) return false;
        char chunk[65536];
        const auto n = recv(fd_, chunk, sizeof chunk, 0);
        if (n <= 0) return false;
        buffer_.append(chunk, static_cast<std::size_t>(n));
        return true;
    }

    int fd_;
    std::string buffer_;
};

class HttpServer {
  public:
    using Handler = std::function<Response(const Request&)>;

    // Serves until the process ends. `port` 0: a free one is chosen.
    explicit HttpServer(Handler handler, int port = 0)
        : handler_(std::move(handler)), port_(port ? port : free_port()) {
        const int fd = listen_on(port_);
        if (fd < 0) throw std::runtime_error("cannot listen");
        std::thread([this, fd] { accept_loop(fd); }).detach();
    }
    int port() const { return port_; }
    std::string address() const { return address_of(port_); }

  private:
    void accept_loop(int fd) {
        for (;;) {
            const int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (client < 0) continue;
            std::thread([this, client] { serve(client); }).detach();
        }
    }
    void serve(int client) {
        Connection connection(client);
        std::string head, body;
        while (connection.read_message(head, body, Clock::now() + std::chrono::hours(1))) {
            Request request;
            const auto space = head.find(' ');
            request.method = head.substr(0, space);
            request.target = head.substr(space + 1, head.find(' ', space + 1) - space - 1);
            request.body = std::move(body);
            Response response;
            try {
                response = handler_(request);
            } catch (const std::exception& e) {
                response = {400, std::string("{\"error\":\"") + e.what() + "\"}", 0};
            }
            if (response.status == 0) continue;
            const auto text =
                "HTTP/1.1 " + std::to_string(response.status) +
                " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size()) +
                "\r\n\r\n" + response.body;
            if (!connection.write_all(text, Clock::now() + std::chrono::seconds(10))) return;
        }
    }

    Handler handler_;
    int port_;
};

// A client that keeps one connection open.
class HttpClient {
  public:
    Response request(int port, const std::string& method, const std::string& target, const std::string& body,
                     double patience_s) {
        const auto until = Clock::now() + to_clock(patience_s);
        if (!connection_ || port != port_) connect_to(port, until);
        if (!connection_) return {};
        auto text = method + " " + target + " HTTP/1.1\r\nHost: " + address_of(port) + "\r\n";
        if (method != "GET") {
            text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        }
        text += "\r\n" + (method == "GET" ? std::string() : body);
        Response response;
        std::string head;
        if (!connection_->write_all(text, until) || !connection_->read_message(head, response.body, until)) {
            connection_.reset();
            return {};
        }
        response.status = std::stoi(head.substr(head.find(' ') + 1, 3));
        if (const auto after = Connection::field(head, "retry-after")) response.retry_after = std::stod(*after);
        if (const auto kept = Connection::field(head, "connection"); kept && *kept == "close") connection_.reset();
        return response;
    }
    void disconnect() { connection_.reset(); }

  private:
    void connect_to(int port, TimePoint until) {
        connection_.reset();
        port_ = port;
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const auto address = loopback(port);
        int error = connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 ? 0 : errno;
        if (error == EINPROGRESS) {
            pollfd p{fd, POLLOUT, 0};
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
            socklen_t size = sizeof error;
            if (left <= 0 || poll(&p, 1, static_cast<int>(left)) <= 0)
                error = ETIMEDOUT;
            else
                getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        }
        if (error) {
            close(fd);
            return;
        }
        fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
        connection_ = std::make_unique<Connection>(fd);
    }

    std::unique_ptr<Connection> connection_;
    int port_ = 0;
};

// The parts of a request's target.
struct Target {
    explicit Target(const std::string& target) {
        const auto question = target.find('?');
        path = target.substr(0, question);
        query = question == std::string::npos ? "" : "&" + target.substr(question + 1);
    }
    std::string text(const std::string& name) const {
        const auto at = query.find("&" + name + "=");
        if (at == std::string::npos) return "";
        const auto begin = at + name.size() + 2;
        return query.substr(begin, query.find('&', begin) - begin);
    }
    std::uint64_t number(const std::string& name, std::uint64_t otherwise) const {
        const auto value = text(name);
        return value.empty() ? otherwise : std::stoull(value);
    }
    std::string path, query;
};

}  // namespace stand_in
