// Builds HTTP replies to users, with the JSON bodies of the protocol.
#pragma once
#include <algorithm>
#include <cmath>
#include <string>
#include <string_view>

#include "model/clock.hpp"
#include "net/http_server.hpp"
#include "wire/json.hpp"

namespace flintdale::api {

inline net::Reply make_reply(unsigned status, std::string body) {
    net::Reply reply;
    reply.status = status;
    reply.body = std::move(body);
    return reply;
}

inline net::Reply error_reply(unsigned status, std::string_view message) {
    return make_reply(status, wire::error_body(message));
}

// Status 503 with the field Retry-After: `after` rounded up to whole seconds, limited to 1 to 30.
inline net::Reply retry_later_reply(std::string_view message, model::Seconds after = model::Seconds(1)) {
    auto reply = error_reply(503, message);
    reply.retry_after = static_cast<unsigned>(std::clamp(std::ceil(after.count()), 1.0, 30.0));
    return reply;
}

inline net::Reply store_unreachable_reply() { return retry_later_reply("the state service cannot be reached"); }

}  // namespace flintdale::api
