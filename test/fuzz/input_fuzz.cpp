// Fuzzes all parsers of external input: frames of peers, resume handles, server-sent events, engine
// events, configuration documents, log records, and entries and documents of a platform's store.
// The first byte selects the parser.

#include "bamboostream/Configuration"
#include "bamboostream/Ledger"
#include "bamboostream/Links"
#include "bamboostream/src/Contracts/engine_event.h"
#include "bamboostream/src/Http/server_sent_events.h"
#include "bamboostream/src/Streams/resume_handle.h"
#include "test/platform/fuzz/record_inputs.h"

#include <array>
#include <cstdint>
#include <cstdlib>

using namespace bamboostream;

namespace {

void fuzz_frame(std::string_view bytes) {
    decode_frame(bytes);
}

void fuzz_handle(std::string_view bytes) {
    static const handle_signer signer({{"a", "a-secret-for-fuzzing", true}});
    handle_failure why;
    if (signer.verify(bytes, workspace_id("w"), 0, why)) {
        std::abort(); // A handle that was not signed with the secret must not be accepted.
    }
}

void fuzz_events(std::string_view bytes) {
    sse_parser reader;
    reader.buffer() += bytes;
    sse_parser::event event;
    while (reader.next(event)) {
    }
}

void fuzz_engine_event(std::string_view bytes) {
    engine_event_parser parser;
    engine_event event;
    parser.parse(bytes, event);
}

void fuzz_document(std::string_view bytes) {
    std::string why;
    std::vector<validation_error> errors;
    if (const auto value = parse_json(bytes, why)) {
        validate_document(*value, errors);
    }
}

void fuzz_records(std::string_view bytes) {
    configuration_state state;
    state.apply({0, 0, std::string(bytes)});
    state.adopt(bytes);
    claim_table table;
    table.apply({0, 0, std::string(bytes)});
}

constexpr std::array targets = {&fuzz_frame,
                                &fuzz_handle,
                                &fuzz_events,
                                &fuzz_engine_event,
                                &fuzz_document,
                                &fuzz_records,
                                &test::fuzz_entry,
                                &test::fuzz_entry_numbers,
                                &test::fuzz_configuration};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size > 0) {
        targets[data[0] % targets.size()]({reinterpret_cast<const char*>(data) + 1, size - 1});
    }
    return 0;
}
