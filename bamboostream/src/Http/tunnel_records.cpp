#include "bamboostream/src/Http/tunnel_records.h"

#include <algorithm>

namespace bamboostream {

namespace {

constexpr std::size_t header_size = 4;
constexpr unsigned bits_per_byte = 8;

std::string encode_length(std::size_t length) {
    std::string out(header_size, '\0');
    for (std::size_t i = 0; i < header_size; ++i) {
        out[i] = static_cast<char>(length >> (bits_per_byte * i));
    }
    return out;
}

} // namespace

std::string encode_tunnel_record(std::string_view payload) {
    std::string out = encode_length(payload.size());
    out += payload;
    return out;
}

std::string encode_tunnel_end() {
    return encode_length(0);
}

std::size_t tunnel_record_decoder::decode(std::span<char> bytes) {
    std::size_t decoded = 0;
    std::size_t at = 0;
    while (at < bytes.size() && !ended_ && !malformed_) {
        if (remaining_ > 0) {
            const std::size_t count = std::min(remaining_, bytes.size() - at);
            std::copy_n(bytes.begin() + static_cast<std::ptrdiff_t>(at), count,
                        bytes.begin() + static_cast<std::ptrdiff_t>(decoded));
            decoded += count;
            at += count;
            remaining_ -= count;
            continue;
        }
        const auto byte = static_cast<unsigned char>(bytes[at++]);
        length_ |= static_cast<std::uint32_t>(byte) << (bits_per_byte * header_bytes_);
        if (++header_bytes_ == header_size) {
            begin_record();
        }
    }
    return decoded;
}

void tunnel_record_decoder::begin_record() {
    ended_ = length_ == 0;
    malformed_ = length_ > max_tunnel_record_bytes;
    remaining_ = malformed_ ? 0 : length_;
    length_ = 0;
    header_bytes_ = 0;
}

} // namespace bamboostream
