#pragma once

namespace bamboostream::internal {

/// Prints the violated condition, its message and the source location, then aborts. An instance
/// that violates an invariant must not continue; its peers take over its work within two seconds.
[[noreturn]] void assertion_failed(const char* condition, const char* message, const char* file,
                                   int line);

} // namespace bamboostream::internal

/// Checks an invariant of this library in every build type. `message` says what the caller of the
/// function did wrong.
#define BAMBOOSTREAM_ASSERT(condition, message)                                                    \
    ((condition)                                                                                   \
         ? static_cast<void>(0)                                                                    \
         : ::bamboostream::internal::assertion_failed(#condition, message, __FILE__, __LINE__))
