#include "load_test/load_balancer.hpp"

#include <algorithm>

namespace flintdale::load_test {

using namespace std::chrono_literals;
using model::Clock;
namespace asio = net::asio;

namespace {
constexpr auto probe_gap = 1s, probe_limit = 1s;
constexpr std::size_t probes_kept = 6;
constexpr int failures_in_a_row = 2, failures_kept = 3;
constexpr int refusals_before_skip = 3, attempts = 3;
constexpr auto skip = 3s, reset_after = 5s;
constexpr model::Seconds first_pause{3}, longest_pause{60};
constexpr auto pause_grows_within = 120s;
}  // namespace

LoadBalancer::LoadBalancer(net::Executor ex, std::vector<config::Address> controllers, std::string source)
    : ex_(ex), source_(std::move(source)) {
    for (auto& address : controllers) {
        Controller c;
        c.address = std::move(address);
        controllers_.push_back(std::move(c));
    }
}

void LoadBalancer::start() {
    for (std::size_t n = 0; n < controllers_.size(); ++n) asio::co_spawn(ex_, probe_loop(n), asio::detached);
}

awaitable<void> LoadBalancer::probe_loop(std::size_t n) {
    net::HttpClient http(ex_, controllers_[n].address.host, controllers_[n].address.port, 1, source_);
    for (;;) {
        std::string target = "/ready", body;
        const auto answer =
            co_await http.request(net::http::verb::get, std::move(target), std::move(body), probe_limit);
        probed(controllers_[n], answer.status == 200);
        co_await net::sleep_for(probe_gap);
    }
}

void LoadBalancer::probed(Controller& c, bool good) {
    const auto now = Clock::now();
    c.probes.push_back(good);
    if (c.probes.size() > probes_kept) c.probes.pop_front();
    int row = 0;
    for (auto it = c.probes.rbegin(); it != c.probes.rend() && *it == c.probes.back(); ++it) ++row;
    const auto failures = std::count(c.probes.begin(), c.probes.end(), false);
    if (c.healthy) {
        if (good || (row < failures_in_a_row && failures < failures_kept)) return;
        c.healthy = false;
        c.pause = now - c.since < pause_grows_within && c.ever ? std::min(c.pause * 2, longest_pause) : first_pause;
        c.since = now;
        c.back_from = now + model::to_clock(c.pause);
        return;
    }
    const bool enough = c.ever ? row >= 2 && now >= c.back_from : true;
    if (!good || !enough) return;
    c.healthy = c.ever = true;
    c.since = now;
    c.probes.clear();
}

std::optional<std::size_t> LoadBalancer::choose() const {
    std::optional<std::size_t> best;
    const auto now = Clock::now();
    for (std::size_t n = 0; n < controllers_.size(); ++n) {
        const auto& c = controllers_[n];
        if (!c.healthy || now < c.skipped_until) continue;
        if (!best || c.open < controllers_[*best].open) best = n;
    }
    return best;
}

void LoadBalancer::refused(std::size_t n) {
    auto& c = controllers_[n];
    if (++c.refusals < refusals_before_skip) return;
    c.refusals = 0;
    c.skipped_until = Clock::now() + skip;
}

bool LoadBalancer::reset(std::size_t n) const {
    return !controllers_[n].healthy && Clock::now() - controllers_[n].since >= reset_after;
}

UserConnection::UserConnection(net::Executor ex, LoadBalancer& balancer, std::string source)
    : ex_(ex), balancer_(balancer), source_(std::move(source)) {}

bool UserConnection::connect() {
    const auto chosen = balancer_.choose();
    if (!chosen) return false;
    controller_ = *chosen;
    const auto& address = balancer_.address(controller_);
    client_ = std::make_shared<net::HttpClient>(ex_, address.host, address.port, 1, source_);
    balancer_.opened(controller_);
    return true;
}

void UserConnection::drop() {
    if (!client_) return;
    client_.reset();
    balancer_.closed(controller_);
}

awaitable<net::HttpAnswer> UserConnection::request(net::http::verb verb, std::string target, std::string body,
                                                   Clock::duration limit) {
    if (client_ && balancer_.reset(controller_)) drop();
    net::HttpAnswer answer;
    for (int i = 0; i < attempts; ++i) {
        if (!client_ && !connect()) co_return answer;
        const auto client = client_;
        const auto controller = controller_;
        answer = co_await client->request(verb, target, body, limit);
        if (answer.status != 0) {
            balancer_.accepted(controller);
            co_return answer;
        }
        if (client_ == client) drop();
        if (!answer.never_sent) co_return answer;
        balancer_.refused(controller);
    }
    co_return answer;
}

}  // namespace flintdale::load_test
