// The cloud's published interface, within its request limit.
#pragma once
#include "config/settings.hpp"
#include "model/clock.hpp"
#include "model/machine.hpp"
#include "net/http_client.hpp"
#include "wire/json.hpp"

namespace flintdale::cloud {

using net::awaitable;

enum class Rent : std::uint8_t { granted, no_capacity, malformed, unclear };

struct RentResult {
    Rent outcome = Rent::unclear;
    std::vector<std::string> machines;
};

class Cloud {
  public:
    virtual ~Cloud() = default;
    virtual awaitable<std::optional<std::vector<model::MachineType>>> catalog() = 0;
    virtual awaitable<std::optional<std::vector<model::ListedMachine>>> machines() = 0;
    virtual awaitable<RentResult> rent(std::string request, std::string type, std::string zone, bool spot,
                                       int count) = 0;
    virtual awaitable<bool> release(std::vector<std::string> names) = 0;
};

class HttpCloud : public Cloud {
  public:
    HttpCloud(net::Executor ex, const config::Settings& settings);
    awaitable<std::optional<std::vector<model::MachineType>>> catalog() override;
    awaitable<std::optional<std::vector<model::ListedMachine>>> machines() override;
    awaitable<RentResult> rent(std::string request, std::string type, std::string zone, bool spot, int count) override;
    awaitable<bool> release(std::vector<std::string> names) override;

  private:
    awaitable<net::HttpAnswer> call(net::http::verb verb, std::string target, std::string body);

    net::HttpClient http_;
    model::Clock::duration gap_;
    model::Clock::time_point next_{};
};

}  // namespace flintdale::cloud
