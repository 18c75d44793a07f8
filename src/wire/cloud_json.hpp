// JSON to and from the cloud, and the record of its catalogue. Pure: no I/O.
#pragma once
#include <boost/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "model/machine.hpp"

namespace flintdale::wire {

namespace json = boost::json;

// The machine types that the cloud offers. Throws DecodeError, which names the field and the reason.
std::vector<model::MachineType> parse_catalog(std::string_view body);

// The catalogue in the cloud's own form, to be kept in the store.
json::object catalog_record(const std::vector<model::MachineType>& types);

// One page of the cloud's list of machines.
struct MachinePage {
    std::vector<model::ListedMachine> machines;
    bool more = false;  // further machines follow the last one
};

// Throws DecodeError, which names the field and the reason.
MachinePage parse_machines(std::string_view body);

// The names of machines that were launched. Throws DecodeError if the body has no list of them.
std::vector<std::string> parse_launched(std::string_view body);

// A request to launch `count` machines. `request`: its id, under which it is carried out at most once.
std::string launch_body(std::string_view request, std::string_view type, std::string_view zone, bool spot, int count);

// A request to terminate machines, by name.
std::string terminate_body(const std::vector<std::string>& names);

}  // namespace flintdale::wire
