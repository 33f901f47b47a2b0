#pragma once

#include "bamboostream/src/Core/clock.h"

#include <algorithm>
#include <optional>

namespace bamboostream {

/// Age of an instance's view of one topic in the platform's store, from its own reads or from those
/// of other instances. The age grows on its own while no update arrives, so staleness is detected
/// without first noticing a failed read.
///
/// Example: `if (view.age(now) > limit) read_the_store();`
class view_age {
public:
    /// Records that the view includes everything the store contained at `as_of`.
    void known(time_point as_of) {
        known_until_ = known_until_ ? std::max(*known_until_, as_of) : as_of;
    }
    bool ever_known() const { return known_until_.has_value(); }
    /// Age of the view; `duration::max()` while there is none.
    duration age(time_point now) const {
        return known_until_ ? std::max(duration{}, now - *known_until_) : duration::max();
    }

private:
    std::optional<time_point> known_until_;
};

} // namespace bamboostream
