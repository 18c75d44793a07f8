// The exception of all decoders in this package.
#pragma once
#include <stdexcept>

namespace flintdale::wire {

// The input does not follow its format. what() names the field or part, and the reason.
struct DecodeError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

}  // namespace flintdale::wire
