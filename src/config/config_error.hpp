// The exception that the readers of settings throw.
#pragma once
#include <stdexcept>

namespace flintdale::config {

// A settings file cannot be read, or a setting is missing or invalid. what() names the file or the setting, and what
// was expected.
struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

}  // namespace flintdale::config
