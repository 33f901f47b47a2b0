// Tests which requests count as held by the network, over loopback connections.

#include "bamboostream/src/Http/http_connection_pool.h"
#include "test/platform/scripted_backend.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

constexpr milliseconds min_age{100};
constexpr std::size_t long_body = 1'000'000;

struct unacknowledged_row {
    std::string name;
    bool are_packets_discarded;
    std::size_t body_bytes;
    std::size_t expected;
};

class unacknowledged_request : public testing::TestWithParam<unacknowledged_row> {
protected:
    void run_for(milliseconds time) {
        context_.restart();
        context_.run_for(time);
    }

    void connect() {
        asio::co_spawn(
            context_,
            [this]() -> asio::awaitable<void> {
                http_failure why;
                co_await connection_->connect(server_.address(), milliseconds(400), why);
                pool_.add(server_.address(), connection_);
            },
            asio::detached);
        run_for(milliseconds(50));
    }

    std::size_t abandon() {
        return pool_.abandon_unacknowledged(server_.address(), min_age, monotonic_now());
    }

    asio::io_context context_{1};
    /// Reads the head of a request at once, nothing of its body, and sends nothing.
    scripted_backend server_{context_, [](scripted_connection& c) -> asio::awaitable<void> {
                                 co_await c.pause(10'000);
                             }};
    std::shared_ptr<http_connection> connection_ =
        std::make_shared<http_connection>(context_.get_executor());
    http_connection_pool pool_;
};

INSTANTIATE_TEST_SUITE_P(table, unacknowledged_request,
                         testing::Values(unacknowledged_row{"slow_response", false, 0, 0},
                                         unacknowledged_row{"unread_body", false, long_body, 0},
                                         unacknowledged_row{"held", true, 0, 1},
                                         unacknowledged_row{"held_body", true, long_body, 1}),
                         [](const auto& info) { return info.param.name; });

// Guards against requests that are ended although their server is at work on them or reads them
// slowly, because it is known to leave.
TEST_P(unacknowledged_request, is_one_of_which_nothing_has_arrived) {
    const unacknowledged_row& row = GetParam();
    server_.answer_before_the_body();
    connect();
    if (row.are_packets_discarded) {
        ASSERT_TRUE(server_.discard_packets_from({"127.0.0.1"}, standins::discarded_packets::all));
    }
    connection_->send(fmt::format("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", row.body_bytes),
                      false, std::make_shared<const std::string>(row.body_bytes, 'x'));
    run_for(min_age / 2);
    EXPECT_EQ(abandon(), 0u);
    run_for(min_age);
    EXPECT_EQ(abandon(), row.expected);
    EXPECT_EQ(connection_->is_open(), row.expected == 0);
}

} // namespace
} // namespace bamboostream::test
