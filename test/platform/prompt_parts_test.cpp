// Parsing of the parts of a prompt that several requests may share.

#include "platform/platform_request_codec.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace bamboostream::platform {
namespace {

std::optional<forward_request> parse(const std::string& model, const std::string& parts,
                                     std::string& why) {
    http_request request;
    request.method = "POST";
    request.fields = {{"Attempt-Id", "a"}, {"Model", model}, {"Prompt-Prefix", parts}};
    return platform_request_codec().parse_request(request, why);
}

std::string labels(const std::string& parts) {
    std::string why;
    const auto request = parse("m", parts, why);
    return request ? labels_of(request->shared_parts) : "refused: " + why;
}

struct prompt_row {
    std::string name;
    std::string parts;
    std::string labels;
    friend void PrintTo(const prompt_row& row, std::ostream* out) { *out << row.name; }
};

class prompt_parts : public testing::TestWithParam<prompt_row> {};

INSTANTIATE_TEST_SUITE_P(table, prompt_parts,
                         testing::Values(prompt_row{"none", "", "none"},
                                         prompt_row{"only_the_own_part", "5c:80", "none"},
                                         prompt_row{"the_last_is_not_shared", "5c:80,91:4,e4:2",
                                                    "m/5c,m/91"},
                                         prompt_row{"spaces", " 5c:80 , 91:4 ,e4:2", "m/5c,m/91"},
                                         prompt_row{"upper_case", "5C:80,e4:2", "m/5c"},
                                         prompt_row{"one_part_twice", "5c:80,5C:80,e4:2", "m/5c"}),
                         [](const auto& info) { return info.param.name; });

TEST_P(prompt_parts, are_all_but_the_last) {
    EXPECT_EQ(labels(GetParam().parts), GetParam().labels);
}

class malformed_prompt_parts : public testing::TestWithParam<const char*> {};

INSTANTIATE_TEST_SUITE_P(table, malformed_prompt_parts,
                         testing::Values("5c", ":80", "5c:", "xyz:80", "5c:80,,e4:2", "5c:8 0",
                                         "5c:-1", "5c:80;e4:2", ",5c:80",
                                         "5c:99999999999999999999"));

// Guards against a list that is tracked differently from how a server reads it.
TEST_P(malformed_prompt_parts, are_refused_with_a_reason) {
    std::string why;
    EXPECT_FALSE(parse("m", GetParam(), why));
    EXPECT_FALSE(why.empty());
}

TEST(prompt_part_test, of_another_model_is_another_part) {
    EXPECT_EQ(prompt_part::of("m", "5c").digest, prompt_part::of("m", "5C").digest);
    EXPECT_NE(prompt_part::of("m", "5c").digest, prompt_part::of("n", "5c").digest);
    EXPECT_NE(prompt_part::of("m", "5c").digest, prompt_part::of("m5", "c").digest);
}

// Guards against a caller that makes an instance track hundreds of parts, or write long log lines.
TEST(prompt_part_test, are_limited_in_number_and_length) {
    std::string why;
    std::string parts;
    for (int i = 0; i < 300; ++i) {
        parts += std::to_string(i) + std::string(1'000, 'a') + ":1,";
    }
    const auto request = parse(std::string(1'000, ' '), parts + "e4:2", why);
    ASSERT_TRUE(request) << why;
    EXPECT_EQ(request->shared_parts.size(), 32U);
    for (const prompt_part& part : request->shared_parts) {
        EXPECT_LE(part.label.size(), 65U);
        EXPECT_EQ(part.label.find(' '), std::string::npos);
    }
}

} // namespace
} // namespace bamboostream::platform
