#pragma once

#include <exception>

namespace bamboostream {

/// Completion handler of a coroutine that nobody waits for: logs the exception that has ended it,
/// if any. The coroutines of this library report failures in their results, so an exception is a
/// defect, or shows that there is no memory.
///
/// Example: `co_spawn(context, loop(), log_exception);`
void log_exception(const std::exception_ptr& thrown);

} // namespace bamboostream
