// Reads a file. For the readers of settings in this package only.
#pragma once
#include <string>

namespace flintdale::config {

// Returns the content of the file. Throws ConfigError with the path in its message if the file cannot be read.
std::string read_file(const std::string& path);

}  // namespace flintdale::config
