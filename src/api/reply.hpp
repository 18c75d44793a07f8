// Replies to requests over HTTP, with the bodies of the protocol.
#pragma once
#include <string>
#include <string_view>

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

}  // namespace flintdale::api
