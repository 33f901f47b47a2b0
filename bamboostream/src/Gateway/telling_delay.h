#pragma once

#include "bamboostream/src/Core/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace bamboostream {

/// How much longer than usual the tellings of other instances were under way.
///
/// A telling says how old its facts were when it left. An instance that passes it on may be frozen,
/// and a link may hold it up: the facts then look as fresh as on the day they were told, and a
/// server that has left since is sent to. Clocks of two machines can't be compared, but how far
/// they are apart doesn't change, so what the difference exceeds its least value by is time under
/// way.
///
/// Example: `as_of -= delay.beyond_least(teller, stamp, told_at, time_since_boot());`
class telling_delay {
public:
    /// The least difference is looked for among those of the last two spans of this length. A clock
    /// that drifts by 100 in a million misleads by 6 ms.
    static constexpr seconds span{60};

    /// `told_at` is the teller's clock when it told, `heard_at` this machine's now. Zero for the
    /// first telling of a life of the teller, which is named by its address and start stamp.
    milliseconds beyond_least(const std::string& teller, std::int64_t stamp, milliseconds told_at,
                              milliseconds heard_at);

private:
    struct differences {
        milliseconds span_began{};
        milliseconds least{};
        std::optional<milliseconds> least_before;
    };
    std::map<std::string, std::pair<std::int64_t, differences>> by_teller_;
};

} // namespace bamboostream
