// For the readers of settings in this package only.
#pragma once
#include <string>

namespace flintdale::config {

// The whole file. Throws ConfigError, which names it, if it cannot be read.
std::string read_file(const std::string& path);

}  // namespace flintdale::config
