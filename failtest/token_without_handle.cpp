#include "bamboostream/src/Streams/token_stream.h"

void emit(bamboostream::token_sink& sink, const bamboostream::resume_handle& unsigned_handle) {
    bamboostream::token_stream stream(sink, unsigned_handle);
}
