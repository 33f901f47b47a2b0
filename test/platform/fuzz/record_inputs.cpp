#include "test/platform/fuzz/record_inputs.h"

#include "platform/platform_record_codec.h"

#include <cstdlib>
#include <string>

namespace bamboostream::test {

namespace {

/// The present time of the entries; any time of a steady clock does.
constexpr time_point entry_time = time_point{} + std::chrono::hours(24 * 365);

} // namespace

void fuzz_entry(std::string_view bytes) {
    std::string why;
    const auto entry =
        platform::platform_record_codec().read_backend("i-1", bytes, entry_time, why);
    if (entry ? entry->slots < 1 || entry->slow_until < entry_time : why.empty()) {
        std::abort(); // Neither a usable server nor a reason.
    }
}

void fuzz_entry_numbers(std::string_view bytes) {
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

} // namespace bamboostream::test
