#include "config/toml_fields.hpp"

#include <cmath>

namespace flintdale::config {

std::string TomlFields::text(const char* key) const {
    if (const auto* node = table_.get(key))
        if (auto text = node->value_exact<std::string>(); text && !text->empty()) return *text;
    fail(key, "a text");
}

double TomlFields::amount(const char* key, std::optional<double> default_value, double min) const {
    const auto* node = table_.get(key);
    if (!node && default_value) return *default_value;
    if (node && node->is_number())
        if (const auto number = node->value<double>(); number && std::isfinite(*number) && *number >= min)
            return *number;
    fail(key, "a number of at least " + std::to_string(min));
}

Seconds TomlFields::duration(const char* key) const {
    const double seconds = amount(key);
    if (seconds <= 0) fail(key, "a duration above 0");
    return Seconds(seconds);
}

Address TomlFields::address(const char* key) const { return parse_address(text(key), path_of(key)); }

std::vector<std::string> TomlFields::texts(const char* key) const {
    std::vector<std::string> texts;
    const auto* node = table_.get(key);
    if (!node) return texts;
    const auto* list = node->as_array();
    if (!list) fail(key, "a list of texts");
    for (const auto& element : *list) {
        auto text = element.value_exact<std::string>();
        if (!text) fail(key, "a list of texts");
        texts.push_back(*text);
    }
    return texts;
}

TomlFields TomlFields::section(const char* key) const {
    if (const auto section = optional_section(key)) return *section;
    fail(key, "a table");
}

std::optional<TomlFields> TomlFields::optional_section(const char* key) const {
    const auto* node = table_.get(key);
    const auto* table = node ? node->as_table() : nullptr;
    if (!table) return std::nullopt;
    return TomlFields(*table, path_of(key));
}

std::vector<TomlFields> TomlFields::sections(const char* key) const {
    std::vector<TomlFields> sections;
    const auto* node = table_.get(key);
    if (!node) return sections;
    const auto* list = node->as_array();
    if (!list) fail(key, "a list of tables");
    for (std::size_t i = 0; i < list->size(); ++i) {
        const auto* table = list->get(i)->as_table();
        if (!table) fail(key, "a list of tables");
        sections.emplace_back(*table, path_of(key) + "[" + std::to_string(i) + "]");
    }
    return sections;
}

void TomlFields::fail(const char* key, const std::string& expected) const {
    throw ConfigError(path_of(key) + ": missing or not " + expected);
}

}  // namespace flintdale::config
