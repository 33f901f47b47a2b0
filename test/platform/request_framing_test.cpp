// Requests of callers whose framing can't be relied on.

#include "test/platform/forwarding_fixture.h"

#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

/// The fields of a request, in front of its length; they may end the request and begin another one.
struct framing_row {
    std::string name;
    std::string fields;
    friend void PrintTo(const framing_row& row, std::ostream* out) { *out << row.name; }
};

const std::string second_request = "\r\nPOST /once/x HTTP/1.1\r\nHost: host.example\r\n"
                                   "Attempt-Id: a2\r\nAuthorization: Bearer the-key\r\n";
const std::string chunk = "\r\n4\r\nbody\r\n0\r\n\r\n";

class request_framing : public testing::TestWithParam<framing_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, request_framing,
    testing::Values(
        framing_row{"unknown_coding", "Transfer-Encoding: xchunked\r\n" + second_request},
        framing_row{"known_coding", "Transfer-Encoding: gzip\r\n" + second_request},
        framing_row{"chunks_that_are_coded",
                    "Transfer-Encoding: chunked, gzip\r\n" + second_request},
        framing_row{"no_coding", "Transfer-Encoding:\r\n" + second_request},
        framing_row{"unknown_coding_and_length", "Transfer-Encoding: xchunked\r\n"},
        framing_row{"coding_in_chunks", "Transfer-Encoding: gzip, chunked\r\n" + chunk},
        framing_row{"coding_in_chunks_of_two_fields",
                    "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" + chunk},
        framing_row{"chunks_and_length", "Transfer-Encoding: chunked\r\n"}),
    [](const auto& info) { return info.param.name; });

// Guards against a request that was hidden in the body of another one, and against a body that
// reaches the server without the coding it is in.
TEST_P(request_framing, that_is_ambiguous_reaches_no_server) {
    forwarding_fixture f;
    scripted_backend& server = f.add("i-1", answering("done"));
    const auto view = f.ask("once", "a1", GetParam().fields);
    f.finish(view);
    f.run_for(milliseconds(100));
    EXPECT_EQ(view->status(), 400) << view->bytes;
    EXPECT_TRUE(view->closed);
    EXPECT_EQ(server.requests().size(), 0U);
}

// Guards against bytes behind a head without a body, where the caller's next response begins.
TEST(head_of_a_stream, has_no_body) {
    forwarding_fixture f;
    f.add(
        "i-1",
        [](scripted_connection& c) -> asio::awaitable<void> {
            const std::string head = stream_head(c);
            co_await c.send(head);
        },
        "engines");
    const auto view = f.ask("long", "a1", "", "", "HEAD");
    f.finish(view, milliseconds(300));
    EXPECT_EQ(view->status(), 200);
    EXPECT_EQ(view->bytes.find("\r\n\r\n") + 4, view->bytes.size()) << view->bytes;
}

} // namespace
} // namespace bamboostream::test
