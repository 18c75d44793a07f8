// What a controller may ask a worker directly. Nothing is ever ordered this way: orders travel in answers to reports.
#pragma once
#include "model/heartbeat.hpp"
#include "net/http_client.hpp"
#include "wire/json.hpp"

namespace flintdale::worker {

using net::awaitable;

class Workers {
  public:
    virtual ~Workers() = default;
    // The worker's report as of now; nothing without an answer within a second and a half.
    virtual awaitable<std::optional<model::Heartbeat>> status(std::string address) = 0;
};

class HttpWorkers : public Workers {
  public:
    explicit HttpWorkers(net::Executor ex) : ex_(ex) {}
    awaitable<std::optional<model::Heartbeat>> status(std::string address) override;

  private:
    net::Executor ex_;
};

}  // namespace flintdale::worker
