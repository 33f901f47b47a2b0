// Fuzzes all parsers of external input: frames of peers, resume handles, server-sent events, engine
// events, configuration documents, log records, and entries and documents of a platform's store.
// The first byte selects the parser.

#include "bamboostream/Configuration"
#include "bamboostream/Ledger"
#include "bamboostream/Links"
#include "bamboostream/src/Contracts/engine_event.h"
#include "bamboostream/src/Http/server_sent_events.h"
#include "bamboostream/src/Streams/resume_handle.h"
#include "platform/platform_record_codec.h"

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

/// The present time of the entries; any time of a steady clock does.
constexpr time_point entry_time = time_point{} + std::chrono::hours(24 * 365);

void fuzz_entry(std::string_view bytes) {
    std::string why;
    const auto entry =
        platform::platform_record_codec().read_backend("i-1", bytes, entry_time, why);
    if (entry ? entry->slots < 1 || entry->slow_until < entry_time : why.empty()) {
        std::abort(); // Neither a usable server nor a reason.
    }
}

/// A sound entry or configuration in which some numbers are replaced by the input.
void fuzz_numbers(std::string_view bytes) {
    const std::string number(bytes);
    fuzz_entry(R"({"service":"s","address":"1.2.3.4:5","zone":"z","version":"v","slots":)" +
               number + R"(,"state":"ready","cold_left_ms":)" + number + R"(,"sequence":1})");
    std::string why;
    const auto read = platform::platform_record_codec().read_configuration(
        R"({"version":1,"routes":[{"timeout_ms":)" + number + R"(,"max_attempts":)" + number +
            R"(}],"services":[{"max_conns":)" + number + R"(}],"limits":{"idle_timeout_ms":)" +
            number + "}}",
        why);
    if (read && entry_time + read->caller_limits.idle_timeout < entry_time) {
        std::abort(); // A timeout in the past.
    }
}

void fuzz_configuration(std::string_view bytes) {
    std::string why;
    platform::platform_record_codec().read_configuration(bytes, why);
}

constexpr std::array targets = {&fuzz_frame,        &fuzz_handle,   &fuzz_events,
                                &fuzz_engine_event, &fuzz_document, &fuzz_records,
                                &fuzz_entry,        &fuzz_numbers,  &fuzz_configuration};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size > 0) {
        targets[data[0] % targets.size()]({reinterpret_cast<const char*>(data) + 1, size - 1});
    }
    return 0;
}
