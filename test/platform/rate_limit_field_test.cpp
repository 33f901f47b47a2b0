// What the instance takes from the field with which a server names the requests a second that it
// takes.

#include "test/platform/forwarding_fixture.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

std::string answer_with(const scripted_connection& c, const std::string& fields,
                        const std::string& status = "200 OK") {
    return fmt::format("HTTP/1.1 {}\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n{}"
                       "Content-Length: 0\r\n\r\n",
                       status, c.field("Attempt-Id"), fields);
}

struct field_row {
    std::string name;
    std::string fields;
    std::string status;
    std::optional<double> expected;
    friend void PrintTo(const field_row& row, std::ostream* out) { *out << row.name; }
};

class rate_limit_field : public testing::TestWithParam<field_row> {};

constexpr const char* ok = "200 OK";

INSTANTIATE_TEST_SUITE_P(
    table, rate_limit_field,
    testing::Values(
        field_row{"fraction", "Server-Limit: 2.4\r\n", ok, 2.4},
        field_row{"whole_number", "server-limit: 12\r\n", ok, 12.0},
        field_row{"zero", "Server-Limit: 0\r\n", ok, 0.0}, field_row{"absent", "", ok, {}},
        field_row{"repeated", "Server-Limit: 3\r\nServer-Limit: 2\r\nServer-Limit: 4\r\n", ok, 2.0},
        field_row{"one_of_two_malformed", "Server-Limit: x\r\nServer-Limit: 2\r\n", ok, 2.0},
        field_row{"rejection", "Not-Executed: 1\r\nServer-Limit: 2.4\r\n",
                  "503 Service Unavailable", 2.4},
        field_row{"failure", "Server-Limit: 2.4\r\n", "500 Internal Server Error", 2.4}),
    [](const auto& info) { return info.param.name; });

// Guards against an answer whose limit isn't read.
TEST_P(rate_limit_field, is_read_from_every_answer) {
    forwarding_fixture fixture;
    fixture.add("i-1", [](scripted_connection& c) -> boost::asio::awaitable<void> {
        co_await c.send(answer_with(c, GetParam().fields, GetParam().status));
    });
    fixture.finish(fixture.ask("safe", "a"));
    EXPECT_EQ(fixture.state().rate_limits.find(backend_id("i-1")), GetParam().expected);
}

class malformed_rate_limit : public testing::TestWithParam<const char*> {};

INSTANTIATE_TEST_SUITE_P(table, malformed_rate_limit,
                         testing::Values("", "-1", "-0", "nan", "inf", "1e3", "2,4", "2.4x", "0x2",
                                         "+2", "2.4 a second", "."));

// Guards against a limit that is dropped or misread because a later field can't be read.
TEST_P(malformed_rate_limit, changes_nothing) {
    forwarding_fixture fixture;
    int answers = 0;
    fixture.add("i-1", [&answers](scripted_connection& c) -> boost::asio::awaitable<void> {
        const std::string value = answers++ == 0 ? "240" : GetParam();
        co_await c.send(answer_with(c, "Server-Limit: " + value + "\r\n"));
    });
    // A request is refused until the first permit has accrued.
    constexpr int max_tries = 10;
    for (int i = 0; answers < 2 && i < max_tries; ++i) {
        fixture.finish(fixture.ask("safe", std::to_string(i)));
        EXPECT_EQ(fixture.state().rate_limits.find(backend_id("i-1")), 240.0);
        fixture.run_for(milliseconds(50));
    }
    EXPECT_EQ(answers, 2);
}

} // namespace
} // namespace bamboostream::test
