#pragma once

#include "bamboostream/src/Core/clock.h"

#include <optional>

namespace bamboostream {

/// How long requests have been refused without a pause.
///
/// A crowd that has lasted for some time is likely to last as long again: callers that are told to
/// return within a moment of a lasting one are refused a second time and have no answer at all.
/// Those refused in a moment's crowd find room when it is over.
///
/// Example: `const duration lasts = watch.record_refusal(now);`
class overload_tracker {
public:
    /// A request is refused for want of room. How long this has gone on.
    duration record_refusal(time_point now) {
        if (!since_ || now - latest_ > longest_pause) {
            since_ = now;
        }
        latest_ = now;
        return now - *since_;
    }

private:
    /// Without a refusal for so long the crowd is over.
    static constexpr milliseconds longest_pause{1'000};

    std::optional<time_point> since_;
    time_point latest_{};
};

} // namespace bamboostream
