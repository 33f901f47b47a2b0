#include "bamboostream/src/Core/log_exception.h"

#include "bamboostream/src/Core/event_log.h"

namespace bamboostream {

void log_exception(const std::exception_ptr& thrown) {
    if (!thrown) {
        return;
    }
    try {
        std::rethrow_exception(thrown);
    } catch (const std::exception& e) {
        log_event(events::unexpected_exception, "what={}", e.what());
    } catch (...) {
        log_event(events::unexpected_exception, "what=unknown");
    }
}

} // namespace bamboostream
