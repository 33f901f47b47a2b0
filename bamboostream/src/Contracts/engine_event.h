#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace bamboostream {

/// One event of an engine's stream: a token, or the end of the generation.
struct engine_event {
    std::string_view generation;
    std::uint64_t sequence = 0;
    std::string_view text;
    bool final = false;
    std::string_view finish_reason;
};

/// Parses the JSON data of engine events. The views in `out` refer to the parser and are valid
/// until the next call; the result is false when the data is malformed. Events of ordinary size are
/// parsed without heap allocation.
class engine_event_parser {
public:
    bool parse(std::string_view data, engine_event& out);

private:
    std::array<unsigned char, 2048> memory_{};
    std::string text_;
    std::string generation_;
    std::string finish_reason_;
};

} // namespace bamboostream
