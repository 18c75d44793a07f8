// Requests from a controller to a worker, which only read its status. Commands are sent in responses to heartbeats.
#pragma once
#include "model/heartbeat.hpp"
#include "net/http_client.hpp"
#include "wire/worker_json.hpp"

namespace flintdale::worker {

using net::awaitable;

// The interface of workers. No operation throws on errors of a worker or the network.
class Workers {
  public:
    virtual ~Workers() = default;
    // The heartbeat that the worker at `address` (ADDRESS:PORT) would send now; nullopt without a usable response
    // within 1.5 s.
    virtual awaitable<std::optional<model::Heartbeat>> status(std::string address) = 0;
};

// Workers over HTTP, with one connection for each request.
class HttpWorkers : public Workers {
  public:
    explicit HttpWorkers(net::Executor ex) : ex_(ex) {}
    awaitable<std::optional<model::Heartbeat>> status(std::string address) override;

  private:
    net::Executor ex_;
};

}  // namespace flintdale::worker
