#include "bamboostream/Http"
#include "bamboostream/src/Http/http_connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <stdexcept>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

struct handler_row {
    std::string name;
    /// What the handler does before it throws.
    std::function<asio::awaitable<void>(http_exchange&)> before;
    /// The response that the caller receives whole; 0: none.
    int status;
    friend void PrintTo(const handler_row& row, std::ostream* out) { *out << row.name; }
};

asio::awaitable<void> do_nothing(http_exchange& /*unused*/) {
    co_return;
}

asio::awaitable<void> watch(http_exchange& exchange) {
    exchange.watch_caller([] { FAIL() << "the caller has not left"; });
    co_return;
}

asio::awaitable<void> begin_response(http_exchange& exchange) {
    co_await watch(exchange);
    co_await exchange.begin_stream(200, "text/plain", {});
    co_await exchange.write("begin");
}

/// A server whose handler throws for the target "/throws".
class failing_handler : public testing::TestWithParam<handler_row> {
protected:
    failing_handler()
        : server_({&context_}, {}, [](http_exchange& exchange) -> asio::awaitable<void> {
              if (exchange.request().path == "/throws") {
                  co_await GetParam().before(exchange);
                  throw std::length_error("a test");
              }
              co_await exchange.respond_json(200, "{}");
          }) {
        std::string why;
        address_ = server_.listen("127.0.0.1:0", why).value();
    }

    /// The status of the whole response; 0 if there is none.
    int ask(const std::string& path) {
        int status = 0;
        bool done = false;
        asio::co_spawn(
            context_,
            [&, path]() -> asio::awaitable<void> {
                http_failure why;
                const auto response =
                    co_await fetch(context_.get_executor(), address_, make_request("GET", path),
                                   milliseconds(1'000), why);
                status = response ? response->status : 0;
                done = true;
            },
            asio::detached);
        while (!done) {
            context_.restart();
            context_.run_for(milliseconds(5));
        }
        return status;
    }

    asio::io_context context_{1};
    http_server server_;
    std::string address_;
};

INSTANTIATE_TEST_SUITE_P(table, failing_handler,
                         testing::Values(handler_row{"at_once", do_nothing, 500},
                                         handler_row{"while_it_reads_ahead", watch, 500},
                                         handler_row{"within_its_response", begin_response, 0}),
                         [](const auto& info) { return info.param.name; });

// Guards against an exception that destroys the state of other requests, or leaves its caller
// without a response.
TEST_P(failing_handler, affects_its_own_request_only) {
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(ask("/throws"), GetParam().status);
        EXPECT_EQ(ask("/other"), 200);
    }
}

// Guards against a shutdown that waits for a request that has ended.
TEST_P(failing_handler, leaves_no_open_exchange) {
    ask("/throws");
    EXPECT_EQ(server_.open_exchanges(), 0U);
}

struct limit_row {
    std::string name;
    std::size_t before;
    std::size_t after;
    int status;
    friend void PrintTo(const limit_row& row, std::ostream* out) { *out << row.name; }
};

class changed_limit : public testing::TestWithParam<limit_row> {};

INSTANTIATE_TEST_SUITE_P(table, changed_limit,
                         testing::Values(limit_row{"raised", 1'000, 3'000, 200},
                                         limit_row{"lowered", 3'000, 1'000, 413},
                                         limit_row{"as_before", 3'000, 3'000, 200}),
                         [](const auto& info) { return info.param.name; });

// Guards against requests on persistent connections that are refused by the limits of an older
// configuration.
TEST_P(changed_limit, holds_for_the_next_request_of_an_idle_connection) {
    asio::io_context context{1};
    http_limits limits;
    limits.body_bytes = GetParam().before;
    http_server server({&context}, limits, [](http_exchange& exchange) -> asio::awaitable<void> {
        co_await exchange.respond_json(200, "{}");
    });
    std::string why;
    const std::string address = server.listen("127.0.0.1:0", why).value();
    std::vector<int> statuses;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            const auto connection = std::make_shared<http_connection>(context.get_executor());
            http_failure failure;
            std::string ignored;
            EXPECT_TRUE(co_await connection->connect(address, milliseconds(500), failure));
            for (const std::size_t length : {std::size_t{10}, std::size_t{2'000}}) {
                connection->send(
                    fmt::format("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{}",
                                length, std::string(length, 'b')),
                    false);
                EXPECT_TRUE(co_await connection->read_head(failure)) << failure.text;
                statuses.push_back(connection->status());
                while (co_await connection->read(ignored)) {
                }
                asio::steady_timer pause(context, milliseconds(20));
                co_await pause.async_wait(asio::use_awaitable);
                limits.body_bytes = GetParam().after;
                server.set_limits(limits);
                co_await asio::post(context, asio::use_awaitable);
            }
        },
        asio::detached);
    context.run_for(milliseconds(500));
    EXPECT_EQ(statuses, (std::vector{200, GetParam().status}));
}

} // namespace
} // namespace bamboostream::test
