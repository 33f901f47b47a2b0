#include "bamboostream/src/Core/assert.h"

#include <cstdlib>
#include <fmt/format.h>

namespace bamboostream::internal {

void assertion_failed(const char* condition, const char* message, const char* file, int line) {
    fmt::print(stderr, "{}:{}: assertion failed: {} ({})\n", file, line, message, condition);
    std::abort();
}

} // namespace bamboostream::internal
