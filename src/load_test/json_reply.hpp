// A JSON answer, for the servers of a load test.
#pragma once
#include <boost/json.hpp>

#include "net/http_server.hpp"

namespace flintdale::load_test {

inline net::Reply json_reply(unsigned status, const boost::json::object& body) {
    net::Reply out;
    out.status = status;
    out.body = boost::json::serialize(body);
    return out;
}

}  // namespace flintdale::load_test
