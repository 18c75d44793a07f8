#include "wire/cloud_json.hpp"

#include "wire/json_fields.hpp"

namespace flintdale::wire {

namespace {

using namespace fields;

constexpr EnumNames<model::MachineStatus, 3> machine_status_names{{{model::MachineStatus::booting, "starting"},
                                                                   {model::MachineStatus::running, "running"},
                                                                   {model::MachineStatus::failed, "failed"}}};

model::MachineType parse_machine_type(const json::object& object) {
    model::MachineType type;
    type.name = text(object, "name");
    type.capacity = {amount(object, "cores"), amount(object, "accelerators"), amount(object, "mem_gb")};
    type.cache_gb = amount_or(object, "local_gb", 0);
    type.fetch_gb_per_s = amount_or(object, "pull_gb_per_s", 0);
    type.price = amount(object, "price");
    type.spot_price = amount_or(object, "market_price", type.price);
    type.boot = model::Seconds(amount_or(object, "boot_s", 0));
    for (const auto& zone : list(object, "halls"))
        if (zone.is_string()) type.zones.emplace_back(zone.get_string());
    return type;
}

json::object machine_type_record(const model::MachineType& type) {
    return {{"name", type.name},
            {"cores", type.capacity.cpus},
            {"accelerators", type.capacity.gpus},
            {"mem_gb", type.capacity.memory_gb},
            {"local_gb", type.cache_gb},
            {"pull_gb_per_s", type.fetch_gb_per_s},
            {"price", type.price},
            {"market_price", type.spot_price},
            {"boot_s", type.boot.count()},
            {"halls", json::value_from(type.zones)}};
}

model::ListedMachine parse_listed_machine(const json::object& object) {
    model::ListedMachine machine;
    machine.name = text(object, "uid");
    machine.addr = optional_text(object, "endpoint").value_or("");
    machine.type = text(object, "hosttype");
    machine.zone = text(object, "hall");
    machine.spot = flag_or(object, "loaners", false);
    machine.status = enumerator(object, "status", machine_status_names);
    machine.age = model::Seconds(amount_or(object, "held_s", 0));
    return machine;
}

}  // namespace

std::vector<model::MachineType> parse_catalog(std::string_view body) {
    const auto object = parse_object(body);
    std::vector<model::MachineType> types;
    for (const auto& type : list(object, "hosttypes"))
        types.push_back(parse_machine_type(as_object(type, "hosttypes")));
    return types;
}

json::object catalog_record(const std::vector<model::MachineType>& types) {
    json::array list;
    for (const auto& type : types) list.push_back(machine_type_record(type));
    return {{"hosttypes", std::move(list)}};
}

MachinePage parse_machines(std::string_view body) {
    const auto object = parse_object(body);
    MachinePage page;
    for (const auto& machine : list(object, "hosts"))
        page.machines.push_back(parse_listed_machine(as_object(machine, "hosts")));
    page.more = flag_or(object, "truncated", false);
    return page;
}

std::vector<std::string> parse_launched(std::string_view body) {
    const auto object = parse_object(body);
    std::vector<std::string> names;
    for (const auto& name : list(object, "hosts"))
        if (name.is_string()) names.emplace_back(name.get_string());
    return names;
}

std::string launch_body(std::string_view request, std::string_view type, std::string_view zone, bool spot, int count) {
    return json::serialize(
        json::object{{"hire", request}, {"hosttype", type}, {"hall", zone}, {"loaners", spot}, {"number", count}});
}

std::string terminate_body(const std::vector<std::string>& names) {
    return json::serialize(json::object{{"hosts", json::value_from(names)}});
}

}  // namespace flintdale::wire
