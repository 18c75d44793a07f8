// The cloud's interface (catalogue, list of machines, launch and termination) and its client over HTTP, within the
// published request limit.
#pragma once
#include "config/settings.hpp"
#include "model/clock.hpp"
#include "model/machine.hpp"
#include "net/http_client.hpp"
#include "wire/cloud_json.hpp"

namespace flintdale::cloud {

using net::awaitable;

// How a request to launch machines ended.
enum class LaunchOutcome : std::uint8_t {
    granted,
    no_capacity,  // the cloud has none of that type and zone now
    malformed,    // the cloud never accepts this request
    unknown,      // no usable answer: the request may have been carried out
};

struct LaunchResult {
    LaunchOutcome outcome = LaunchOutcome::unknown;
    std::vector<std::string> machines;  // granted: their names
};

// The operations of the cloud. None throws because of the cloud or the network.
class Cloud {
  public:
    virtual ~Cloud() = default;

    // The machine types that the cloud offers; nothing without a usable answer.
    virtual awaitable<std::optional<std::vector<model::MachineType>>> catalog() = 0;

    // All machines of this deployment, in a list that lags behind; nothing without a usable answer to each page.
    virtual awaitable<std::optional<std::vector<model::ListedMachine>>> machines() = 0;

    // Launches `count` machines. `request`: an id under which the cloud carries the request out at most once.
    virtual awaitable<LaunchResult> launch(std::string request, std::string type, std::string zone, bool spot,
                                           int count) = 0;

    // Terminates machines, by name; true if the cloud confirms it.
    virtual awaitable<bool> terminate(std::vector<std::string> names) = 0;
};

// The cloud over HTTP. A request that could not be sent within a second and a half after its turn is not sent at all.
class HttpCloud : public Cloud {
  public:
    HttpCloud(net::Executor ex, const config::Settings& settings);
    awaitable<std::optional<std::vector<model::MachineType>>> catalog() override;
    awaitable<std::optional<std::vector<model::ListedMachine>>> machines() override;
    awaitable<LaunchResult> launch(std::string request, std::string type, std::string zone, bool spot,
                                   int count) override;
    awaitable<bool> terminate(std::vector<std::string> names) override;

  private:
    awaitable<net::HttpAnswer> call(net::http::verb verb, std::string target, std::string body);

    net::HttpClient http_;
    model::Clock::duration interval_;       // between two requests
    model::Clock::time_point next_turn_{};  // of the next request
};

}  // namespace flintdale::cloud
