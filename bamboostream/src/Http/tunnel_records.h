#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace bamboostream {

/// Maximum payload of one record.
inline constexpr std::size_t max_tunnel_record_bytes = 64 * 1024;

/// Encodes bytes of a backend server for the tunnel to the instance that opened it: their number (4
/// bytes, little-endian), then the bytes. `payload` has at least one byte and at most
/// `max_tunnel_record_bytes`.
std::string encode_tunnel_record(std::string_view payload);

/// Encodes the record that states that the backend server has closed its connection in order. A
/// tunnel that ends without it was broken off.
std::string encode_tunnel_end();

/// Decodes the records of one tunnel. Records may be split at any byte.
class tunnel_record_decoder {
public:
    /// Decodes `bytes` in place and returns the number of payload bytes, which are then at the
    /// beginning of `bytes`.
    std::size_t decode(std::span<char> bytes);
    /// The backend server has closed its connection in order.
    bool ended() const { return ended_; }
    /// The other end does not keep to the format; nothing further is decoded.
    bool malformed() const { return malformed_; }
    /// No record is incomplete.
    bool at_boundary() const { return header_bytes_ == 0 && remaining_ == 0; }

private:
    void begin_record();

    std::uint32_t length_ = 0;
    std::size_t header_bytes_ = 0;
    std::size_t remaining_ = 0;
    bool ended_ = false;
    bool malformed_ = false;
};

} // namespace bamboostream
