#include "app/http_routes.hpp"

#include <optional>
#include <string_view>

#include "api/reply.hpp"

namespace flintdale::app {

using net::Reply;
using net::http::verb;

// A path is a prefix alone, or a prefix and a suffix with a job's id between them.
struct HttpRoutes::Route {
    enum class Parameter : std::uint8_t {
        none,
        segment,  // an id without a slash
        any,      // any text; the service rejects an invalid id
    };
    std::string_view prefix;
    Parameter parameter;
    std::string_view suffix;
    verb method;
    std::string_view allow;  // the method's name, for the Allow header of the answer to another method
    awaitable<Reply> (HttpRoutes::*handler)(Input);

    // The job's id in the path, empty if the route has none; nullopt if the path does not match.
    std::optional<std::string> match(std::string_view path) const;
};

std::optional<std::string> HttpRoutes::Route::match(std::string_view path) const {
    if (parameter == Parameter::none) return path == prefix ? std::optional<std::string>("") : std::nullopt;
    if (!path.starts_with(prefix)) return std::nullopt;
    path.remove_prefix(prefix.size());
    if (!path.ends_with(suffix)) return std::nullopt;
    path.remove_suffix(suffix.size());
    if (parameter == Parameter::segment && path.find('/') != std::string_view::npos) return std::nullopt;
    return std::string(path);
}

// A request is handled by the first route that matches its path.
std::span<const HttpRoutes::Route> HttpRoutes::routes() {
    using Parameter = Route::Parameter;
    static constexpr Route table[] = {
        {"/agent/beat", Parameter::none, "", verb::post, "POST", &HttpRoutes::heartbeat},
        {"/ready", Parameter::none, "", verb::get, "GET", &HttpRoutes::ready},
        {"/submissions", Parameter::none, "", verb::post, "POST", &HttpRoutes::submit},
        {"/submissions/", Parameter::any, "/cancel", verb::post, "POST", &HttpRoutes::cancel},
        {"/submissions/", Parameter::segment, "", verb::get, "GET", &HttpRoutes::poll},
    };
    return table;
}

awaitable<Reply> HttpRoutes::handle(net::Request request) {
    const std::string path = request.target.substr(0, request.target.find('?'));
    for (const auto& route : routes()) {
        auto uid = route.match(path);
        if (!uid) continue;
        if (request.verb != route.method) {
            auto reply = api::error_reply(405, "method not allowed");
            reply.allow = route.allow;
            co_return reply;
        }
        Input input;
        input.body = std::move(request.body);
        input.uid = std::move(*uid);
        co_return co_await (this->*route.handler)(std::move(input));
    }
    co_return api::error_reply(404, "no such path");
}

awaitable<Reply> HttpRoutes::heartbeat(Input input) { co_return co_await heartbeats_.handle(std::move(input.body)); }

awaitable<Reply> HttpRoutes::ready(Input) { co_return ready_(); }

awaitable<Reply> HttpRoutes::submit(Input input) { co_return co_await submissions_.submit(std::move(input.body)); }

awaitable<Reply> HttpRoutes::cancel(Input input) { co_return co_await submissions_.cancel(std::move(input.uid)); }

awaitable<Reply> HttpRoutes::poll(Input input) { co_return co_await submissions_.poll(std::move(input.uid)); }

}  // namespace flintdale::app
