#include "config/read_file.hpp"

#include <fstream>
#include <sstream>

#include "config/config_error.hpp"

namespace flintdale::config {

std::string read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw ConfigError(path + ": cannot be read");
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

}  // namespace flintdale::config
