// Reads golden files from GOLDEN_DIRECTORY.
#include "support/golden_support.hpp"

#include <fstream>
#include <iterator>

namespace flintdale::test {

std::string golden(const std::string& name) {
    std::ifstream in(std::string(GOLDEN_DIRECTORY) + "/" + name, std::ios::binary);
    EXPECT_TRUE(in.good()) << name << " is missing";
    return {std::istreambuf_iterator<char>(in), {}};
}

void expect_golden(const std::string& name, const std::string& bytes) { EXPECT_EQ(bytes, golden(name)) << name; }

}  // namespace flintdale::test
