// Questions of a controller to a worker. No commands are sent this way: they are part of responses to heartbeats.
#pragma once
#include "model/heartbeat.hpp"
#include "net/http_client.hpp"
#include "wire/worker_json.hpp"

namespace flintdale::worker {

using net::awaitable;

// The operations of workers. None throws because of a worker or the network.
class Workers {
  public:
    virtual ~Workers() = default;
    // What the worker at ADDRESS:PORT would send as its heartbeat now; nothing without a usable answer within a second
    // and a half.
    virtual awaitable<std::optional<model::Heartbeat>> status(std::string address) = 0;
};

// Workers over HTTP, with a connection for each question.
class HttpWorkers : public Workers {
  public:
    explicit HttpWorkers(net::Executor ex) : ex_(ex) {}
    awaitable<std::optional<model::Heartbeat>> status(std::string address) override;

  private:
    net::Executor ex_;
};

}  // namespace flintdale::worker
