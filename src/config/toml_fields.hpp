// Typed access to the fields of one TOML table. For the reader of the platform's settings only.
#pragma once
#include <toml++/toml.h>

#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"

namespace flintdale::config {

// Throws ConfigError with the full path of the field and the expected type if a field is missing or invalid.
class TomlFields {
  public:
    // `path`: path of the table in error messages; empty for the root. The table must outlive the object.
    TomlFields(const toml::table& table, std::string path) : table_(table), path_(std::move(path)) {}

    // A non-empty string.
    std::string text(const char* key) const;

    // A finite number of at least `min`. Without a default the field is required.
    double amount(const char* key, std::optional<double> default_value = std::nullopt, double min = 0) const;

    // A number of seconds above 0.
    Seconds duration(const char* key) const;

    Address address(const char* key) const;

    // A list of strings; empty if the field is missing.
    std::vector<std::string> texts(const char* key) const;

    bool has(const char* key) const { return table_.get(key) != nullptr; }

    // A required table.
    TomlFields section(const char* key) const;

    // nullopt if the field is missing or not a table.
    std::optional<TomlFields> optional_section(const char* key) const;

    // The tables of a list; empty if the field is missing.
    std::vector<TomlFields> sections(const char* key) const;

  private:
    [[noreturn]] void fail(const char* key, const std::string& expected) const;
    std::string path_of(const char* key) const { return path_.empty() ? key : path_ + "." + key; }

    const toml::table& table_;
    std::string path_;
};

}  // namespace flintdale::config
