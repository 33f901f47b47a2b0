#include "bamboostream/src/Core/digest.h"

#include <array>
#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <vector>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace bamboostream {

namespace {

constexpr std::size_t uuid_length = 36;

std::string to_hex(std::string_view bytes) {
    std::string out;
    out.reserve(bytes.size() * 2);
    for (const unsigned char c : bytes) {
        fmt::format_to(std::back_inserter(out), "{:02x}", c);
    }
    return out;
}

std::string random_bytes(std::size_t count) {
    std::string out(count, '\0');
    RAND_bytes(reinterpret_cast<unsigned char*>(out.data()), static_cast<int>(count));
    return out;
}

bool is_uuid_v7(std::string_view text) {
    if (text.size() != uuid_length) {
        return false;
    }
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
        const bool hex =
            std::string_view("0123456789abcdefABCDEF").find(text[i]) != std::string_view::npos;
        if (dash ? text[i] != '-' : !hex) {
            return false;
        }
    }
    return text[14] == '7' && std::string_view("89abAB").find(text[19]) != std::string_view::npos;
}

} // namespace

std::string sha256_hex(std::string_view bytes) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
    unsigned int length = 0;
    EVP_Digest(bytes.data(), bytes.size(), out.data(), &length, EVP_sha256(), nullptr);
    return to_hex({reinterpret_cast<const char*>(out.data()), length});
}

std::string hmac_sha256(std::string_view secret, std::string_view bytes) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), out.data(), &length);
    return {reinterpret_cast<const char*>(out.data()), length};
}

bool equal_in_constant_time(std::string_view a, std::string_view b) {
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string base64url_encode(std::string_view bytes) {
    std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                       reinterpret_cast<const unsigned char*>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(length));
    while (!out.empty() && out.back() == '=') {
        out.pop_back();
    }
    for (char& c : out) {
        c = c == '+' ? '-' : c == '/' ? '_' : c;
    }
    return out;
}

std::string base64url_decode(std::string_view text) {
    std::string padded(text);
    for (char& c : padded) {
        if (c == '+' || c == '/' || c == '=') {
            return {};
        }
        c = c == '-' ? '+' : c == '_' ? '/' : c;
    }
    const std::size_t padding = (4 - padded.size() % 4) % 4;
    padded.append(padding, '=');
    std::string out(padded.size() / 4 * 3, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                       reinterpret_cast<const unsigned char*>(padded.data()),
                                       static_cast<int>(padded.size()));
    if (length < 0 || static_cast<std::size_t>(length) < padding) {
        return {};
    }
    out.resize(static_cast<std::size_t>(length) - padding);
    return out;
}

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t stable_hash(std::initializer_list<std::string_view> fields) {
    std::uint64_t hash = fields.size();
    for (const std::string_view field : fields) {
        hash = stable_hash(field, hash);
    }
    return hash;
}

std::string random_id() {
    return to_hex(random_bytes(16));
}

std::string make_uuid_v7(std::int64_t unix_ms) {
    std::string bytes = random_bytes(16);
    for (int i = 0; i < 6; ++i) {
        bytes[static_cast<std::size_t>(i)] = static_cast<char>(unix_ms >> (8 * (5 - i)));
    }
    bytes[6] = static_cast<char>((bytes[6] & 0x0f) | 0x70);
    bytes[8] = static_cast<char>((bytes[8] & 0x3f) | 0x80);
    const std::string hex = to_hex(bytes);
    return fmt::format("{}-{}-{}-{}-{}", hex.substr(0, 8), hex.substr(8, 4), hex.substr(12, 4),
                       hex.substr(16, 4), hex.substr(20));
}

std::int64_t uuid_v7_time(std::string_view text) {
    if (!is_uuid_v7(text)) {
        return -1;
    }
    std::string digits(text.substr(0, 8));
    digits += text.substr(9, 4);
    return std::stoll(digits, nullptr, 16);
}

} // namespace bamboostream
