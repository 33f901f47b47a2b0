#pragma once

#include <string>
#include <type_traits>

namespace bamboostream {

/// A call that may be sent again if its response was lost.
struct idempotent_call {
    std::string key;
};

/// A call that must run at most once. The ledger decides which instance sends it, a single time.
struct non_idempotent_call {
    std::string key;
};

/// Permission to send a call again. Constructing one from a non-idempotent call does not compile.
///
/// Example: `retry_permit permit(idempotent_call{"k"});`
class retry_permit {
public:
    template <class Call> explicit retry_permit(const Call&) {
        static_assert(std::is_same_v<Call, idempotent_call>,
                      "A_NON_IDEMPOTENT_CALL_MUST_NOT_BE_RETRIED");
    }
};

} // namespace bamboostream
