// The cloud's interface (catalogue, list of machines, launch and termination) and its HTTP client, which keeps to the
// cloud's published request limit.
#pragma once
#include "config/settings.hpp"
#include "model/clock.hpp"
#include "model/machine.hpp"
#include "net/http_client.hpp"
#include "wire/cloud_json.hpp"

namespace flintdale::cloud {

using net::awaitable;

// The result of a request to launch machines.
enum class LaunchOutcome : std::uint8_t {
    granted,
    no_capacity,  // the cloud has no machine of this type in this zone now
    malformed,    // the cloud never accepts this request
    unknown,      // no usable response: the request may have been carried out
};

struct LaunchResult {
    LaunchOutcome outcome = LaunchOutcome::unknown;
    std::vector<std::string> machines;  // names of the launched machines, if granted
};

// The interface of the cloud. No operation throws on errors of the cloud or the network.
class Cloud {
  public:
    virtual ~Cloud() = default;

    // The machine types that the cloud offers; nullopt without a usable response.
    virtual awaitable<std::optional<std::vector<model::MachineType>>> catalog() = 0;

    // All machines of this deployment. The list lags behind (Settings::machine_list_lag). nullopt unless every page has
    // a usable response.
    virtual awaitable<std::optional<std::vector<model::ListedMachine>>> machines() = 0;

    // Launches `count` machines. `request_id`: an idempotency key; the cloud carries out each request id at most once.
    virtual awaitable<LaunchResult> launch(std::string request_id, std::string type, std::string zone, bool spot,
                                           int count) = 0;

    // Terminates the named machines; true if the cloud confirms it.
    virtual awaitable<bool> terminate(std::vector<std::string> names) = 0;
};

// The cloud over HTTP. A request that cannot be sent within 1.5 s after its turn is dropped, without a usable response.
class HttpCloud : public Cloud {
  public:
    HttpCloud(net::Executor ex, const config::Settings& settings);
    awaitable<std::optional<std::vector<model::MachineType>>> catalog() override;
    awaitable<std::optional<std::vector<model::ListedMachine>>> machines() override;
    awaitable<LaunchResult> launch(std::string request_id, std::string type, std::string zone, bool spot,
                                   int count) override;
    awaitable<bool> terminate(std::vector<std::string> names) override;

  private:
    awaitable<net::HttpAnswer> call(net::http::verb verb, std::string target, std::string body);

    net::HttpClient http_;
    model::Clock::duration interval_;       // between two requests
    model::Clock::time_point next_turn_{};  // earliest time of the next request
};

}  // namespace flintdale::cloud
