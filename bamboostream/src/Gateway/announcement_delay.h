#pragma once

#include "bamboostream/src/Core/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace bamboostream {

/// Estimates how much longer than usual the announcements of other instances were in transit.
///
/// An announcement says how old its facts were when it was sent. An instance that relays it may be
/// frozen, and a link may delay it: the facts then look as fresh as when they were sent, and
/// requests go to a server that has left since. The clocks of two machines can't be compared, but
/// their offset doesn't change, so the amount by which a difference exceeds the smallest one is
/// time in transit.
///
/// Example: `as_of -= delay.excess_over_min(announcer, stamp, sent_at, time_since_boot());`
class announcement_delay {
public:
    /// The smallest difference is taken over the current and the previous window of this length. A
    /// clock that drifts by 100 ppm causes an error of 6 ms.
    static constexpr seconds window{60};

    /// `sent_at` is the announcer's clock when it sent, `received_at` is this machine's clock now.
    /// Returns zero for the first announcement of an incarnation of the announcer, which is
    /// identified by its address and start stamp.
    milliseconds excess_over_min(const std::string& announcer, std::int64_t stamp,
                                 milliseconds sent_at, milliseconds received_at);

private:
    struct clock_differences {
        milliseconds window_start{};
        milliseconds current_min{};
        std::optional<milliseconds> previous_min;
    };
    std::map<std::string, std::pair<std::int64_t, clock_differences>> by_announcer_;
};

} // namespace bamboostream
