#include "election/record_fields.hpp"

namespace flintdale::election {

namespace {

const boost::json::value* field(const state::KeyValue& record, std::string_view name) {
    if (!record.mod_revision || !record.value.is_object()) return nullptr;
    return record.value.get_object().if_contains(name);
}

}  // namespace

std::uint64_t number_field(const state::KeyValue& record, std::string_view name) {
    const auto* value = field(record, name);
    return value && value->is_number() ? value->to_number<std::uint64_t>() : 0;
}

std::string text_field(const state::KeyValue& record, std::string_view name) {
    const auto* value = field(record, name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

}  // namespace flintdale::election
