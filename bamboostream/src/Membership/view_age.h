#pragma once

#include "bamboostream/src/Core/clock.h"

#include <algorithm>
#include <optional>

namespace bamboostream {

/// Until when an instance knows what the platform's store says of one topic, by its own reads or by
/// those of others. The age is a fact that grows by itself while nothing is heard; nobody has to
/// notice first that a read has failed.
///
/// Example: `if (view.age(now) > limit) read_the_store();`
class view_age {
public:
    /// Everything that the store said at `as_of` is known here.
    void known(time_point as_of) {
        known_until_ = known_until_ ? std::max(*known_until_, as_of) : as_of;
    }
    bool ever_known() const { return known_until_.has_value(); }
    /// The longest duration there is while nothing was ever known.
    duration age(time_point now) const {
        return known_until_ ? std::max(duration{}, now - *known_until_) : duration::max();
    }

private:
    std::optional<time_point> known_until_;
};

} // namespace bamboostream
