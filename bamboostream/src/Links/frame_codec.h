#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace bamboostream::wire {
struct FrameT;
}

namespace bamboostream {

/// Encodes a frame for TCP: its length (4 bytes, little-endian), then the FlatBuffer.
std::string encode_frame(const wire::FrameT& frame);

/// Decodes the length prefix of a frame.
std::uint32_t decode_length(std::span<const unsigned char, 4> head);

/// Verifies and unpacks the FlatBuffer that follows the length prefix; null when it isn't valid.
/// Safe for arbitrary input.
std::unique_ptr<wire::FrameT> decode_frame(std::string_view bytes);

} // namespace bamboostream
