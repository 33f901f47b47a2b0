// Tests of the records in which a tunnel carries the bytes of a backend server.

#include "bamboostream/Http"

#include <gtest/gtest.h>
#include <string>

namespace bamboostream {
namespace {

std::string decode_in_parts(tunnel_record_decoder& decoder, const std::string& bytes,
                            std::size_t part) {
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += part) {
        std::string piece = bytes.substr(at, part);
        const std::size_t count = decoder.decode(piece);
        out += piece.substr(0, count);
    }
    return out;
}

class record_parts : public testing::TestWithParam<std::size_t> {};

INSTANTIATE_TEST_SUITE_P(table, record_parts, testing::Values(1, 2, 3, 4, 5, 7, 100),
                         [](const auto& info) { return std::to_string(info.param); });

TEST_P(record_parts, are_joined_wherever_they_are_split) {
    tunnel_record_decoder decoder;
    const std::string bytes = encode_tunnel_record("first") + encode_tunnel_record("x") +
                              encode_tunnel_record(std::string(300, 'y'));
    EXPECT_EQ(decode_in_parts(decoder, bytes, GetParam()), "firstx" + std::string(300, 'y'));
    EXPECT_TRUE(decoder.at_boundary());
    EXPECT_FALSE(decoder.ended());
    decode_in_parts(decoder, encode_tunnel_end(), GetParam());
    EXPECT_TRUE(decoder.ended());
}

TEST(tunnel_record_test, an_incomplete_record_is_no_boundary) {
    const std::string bytes = encode_tunnel_record("abc");
    for (std::size_t size = 1; size < bytes.size(); ++size) {
        tunnel_record_decoder fresh;
        decode_in_parts(fresh, bytes.substr(0, size), size);
        EXPECT_FALSE(fresh.at_boundary()) << size;
    }
}

// Guards against a corrupted length being taken for a huge record.
TEST(tunnel_record_test, a_length_over_the_maximum_is_malformed) {
    tunnel_record_decoder decoder;
    EXPECT_EQ(decode_in_parts(decoder,
                              "\xff\xff\xff\x7f"
                              "abc",
                              7),
              "");
    EXPECT_TRUE(decoder.malformed());
    EXPECT_FALSE(decoder.ended());
}

} // namespace
} // namespace bamboostream
