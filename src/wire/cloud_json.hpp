// JSON codec for the cloud's API and for the record of its machine catalog. Pure: no I/O.
#pragma once
#include <boost/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "model/machine.hpp"

namespace flintdale::wire {

namespace json = boost::json;

// Parses the machine types that the cloud offers. Throws DecodeError, which names the field and the reason.
std::vector<model::MachineType> parse_catalog(std::string_view body);

// The catalog in the cloud's format, as it is recorded in the store; parse_catalog() reads it.
json::object catalog_record(const std::vector<model::MachineType>& types);

// One page of the cloud's list of machines.
struct MachinePage {
    std::vector<model::ListedMachine> machines;
    bool more = false;  // another page follows
};

// Throws DecodeError, which names the field and the reason.
MachinePage parse_machines(std::string_view body);

// Parses the names of launched machines from the cloud's response. Throws DecodeError if the body has no list of names.
std::vector<std::string> parse_launched(std::string_view body);

// The body of a request to launch `count` machines. `request`: the request's id; the cloud carries out each id at most
// once.
std::string launch_body(std::string_view request, std::string_view type, std::string_view zone, bool spot, int count);

// The body of a request to terminate machines. `names`: their names.
std::string terminate_body(const std::vector<std::string>& names);

}  // namespace flintdale::wire
