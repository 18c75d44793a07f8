#include "load_test/cloud_server.hpp"

#include "load_test/json_reply.hpp"
#include "model/machine.hpp"
#include "wire/json.hpp"

namespace flintdale::load_test {

using net::http::verb;
namespace json = boost::json;

namespace {

constexpr std::size_t most_connections = 1000, most_listed = 500, most_released = 100;
constexpr int most_rented = 50;
constexpr double burst_s = 2;

const char* status_of(model::MachineStatus status) {
    return status == model::MachineStatus::failed    ? "failed"
           : status == model::MachineStatus::running ? "running"
                                                     : "starting";
}

}  // namespace

CloudServer::CloudServer(net::Executor ex, simulator::Events& events, simulator::Rentals& rentals,
                         const simulator::Scenario& scenario, const config::Settings& settings, Links links)
    : events_(events),
      rentals_(rentals),
      scenario_(scenario),
      links_(std::move(links)),
      calls_(settings.cloud_requests_per_s, burst_s, events.now()),
      server_(ex, settings.cloud.host, settings.cloud.port, most_connections,
              [this](net::Request request) { return handle(std::move(request)); }) {}

awaitable<net::Reply> CloudServer::handle(net::Request request) {
    events_.advance_to(model::Clock::now());
    net::Reply out;
    try {
        out = calls_.take(1, events_.now()) ? answer(request) : json_reply(429, {});
    } catch (const std::exception& e) {
        out = json_reply(400, {{"error", e.what()}});
    }
    co_return out;
}

net::Reply CloudServer::answer(const net::Request& request) {
    const auto query = parse_query(request.target);
    const bool post = request.verb == verb::post;
    if (query.path == "/catalog") return json_reply(200, wire::catalog_record(scenario_.types));
    if (query.path == "/machines" && !post) return list(query);
    if (query.path == "/machines") return rent(request.body);
    if (query.path == "/machines/release" && post) return release(request.body);
    return json_reply(404, {});
}

net::Reply CloudServer::list(const Query& query) const {
    const auto page = std::min<std::size_t>(query.number("page", most_listed), most_listed);
    const auto found = rentals_.list(query.text("from"), page + 1);
    json::array hosts;
    for (std::size_t i = 0; i < std::min(page, found.size()); ++i) {
        const auto& m = found[i];
        hosts.push_back(json::object{{"uid", m.name},
                                     {"endpoint", m.addr},
                                     {"hosttype", m.type},
                                     {"hall", m.zone},
                                     {"loaners", m.spot},
                                     {"status", status_of(m.status)},
                                     {"held_s", m.age.count()}});
    }
    return json_reply(200, {{"hosts", std::move(hosts)}, {"truncated", found.size() > page}});
}

net::Reply CloudServer::rent(const std::string& body) {
    const auto o = wire::parse_object(body);
    const auto text = [&](const char* field) { return std::string(o.at(field).as_string()); };
    const auto number = o.at("number").to_number<int>();
    if (number < 1 || number > most_rented) return json_reply(400, {{"error", "number: out of range"}});
    auto granted = rentals_.rent(text("hire"), text("hosttype"), text("hall"), o.at("loaners").as_bool(), number);
    for (const auto* machine : granted.fresh) links_.rented(*machine);
    if (granted.result.outcome != cloud::LaunchOutcome::granted) return json_reply(503, {{"error", "no capacity"}});
    return json_reply(200, {{"hosts", json::value_from(granted.result.machines)}});
}

net::Reply CloudServer::release(const std::string& body) {
    const auto parsed = wire::parse_object(body);
    const auto names = json::value_to<std::vector<std::string>>(parsed.at("hosts"));
    if (names.size() > most_released) return json_reply(400, {{"error", "hosts: too many"}});
    for (const auto& name : names)
        if (const auto* machine = rentals_.find(name)) {
            links_.released(*machine);
            rentals_.release(name);
        }
    return json_reply(200, {});
}

}  // namespace flintdale::load_test
