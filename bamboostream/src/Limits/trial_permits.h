#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/request_digest.h"

#include <map>
#include <string>
#include <string_view>

namespace bamboostream {

/// Grants trials of held requests: for each request at most one at a time.
///
/// Kept by the instance that owns the request's digest. The state is soft: a permit lapses when the
/// instance that holds it doesn't return it, and an instance that becomes the owner knows of none.
/// Not thread-safe; lives on one thread.
///
/// Example: `if (permits.acquire(digest, instance, time_left, now)) run_trial();`
class trial_permits {
public:
    /// Grants a trial that takes at most `lease`, unless another one is in progress.
    bool acquire(const request_digest& request, std::string_view holder, duration lease,
                 time_point now);
    /// Ends the holder's trial. The next one is granted a short time later, since evidence that the
    /// trial has produced may still be under way.
    void release(const request_digest& request, std::string_view holder, time_point now);
    std::size_t size() const { return permits_.size(); }

private:
    struct permit {
        std::string holder;
        time_point until{};
    };

    std::map<request_digest, permit> permits_;
};

} // namespace bamboostream
