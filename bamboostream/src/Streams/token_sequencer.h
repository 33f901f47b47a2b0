#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboostream {

/// How a relay handles an event from a backend server.
enum class token_action : std::uint8_t {
    /// The next token: deliver it.
    deliver,
    /// The end of the stream, after every token has been delivered.
    finish,
    /// Belongs to another generation: drop and count.
    other_generation,
    /// Already delivered: drop and count.
    duplicate,
    /// Tokens before this event are missing: request them again.
    gap,
};

/// Enforces the order of one stream: a token is delivered only if it belongs to the generation and
/// has the next sequence number. Even if a backend server or connection delays, duplicates, drops
/// or mixes up events, the caller receives the sequence numbers 0, 1, 2, … of a single generation.
///
/// Example: `if (sequencer.evaluate(id, n, false) == token_action::deliver) write(text);`
class token_sequencer {
public:
    /// `next` is the first sequence number to deliver.
    token_sequencer(std::string generation, std::uint64_t next)
        : generation_(std::move(generation)), next_(next) {}

    /// Evaluates a token or, if `final`, the end of the stream, whose sequence number is the count
    /// of tokens. Advances the stream when the token is to be delivered.
    token_action evaluate(std::string_view generation, std::uint64_t sequence, bool final) {
        if (generation != generation_) {
            return token_action::other_generation;
        }
        if (sequence < next_) {
            // The end of a stream with fewer tokens than were delivered can't belong to this run of
            // the generation.
            return token_action::duplicate;
        }
        if (sequence > next_) {
            return token_action::gap;
        }
        if (final) {
            return token_action::finish;
        }
        ++next_;
        return token_action::deliver;
    }

    /// Sequence number of the next token, which equals the number of tokens delivered since 0.
    std::uint64_t next() const { return next_; }
    const std::string& generation() const { return generation_; }

private:
    std::string generation_;
    std::uint64_t next_;
};

} // namespace bamboostream
