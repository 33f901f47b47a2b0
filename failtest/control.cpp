#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Streams/call_safety.h"
#include "bamboostream/src/Streams/token_stream.h"

bamboostream::retry_permit permit(bamboostream::idempotent_call{"key"});

void emit(bamboostream::token_sink& sink, const bamboostream::issued_handle& handle) {
    bamboostream::token_stream stream(sink, handle);
}
