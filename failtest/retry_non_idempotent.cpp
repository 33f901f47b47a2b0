#include "bamboostream/src/Streams/call_safety.h"

bamboostream::retry_permit permit(bamboostream::non_idempotent_call{"key"});
