// Checks of a backend server after a connection to it broke, and digests of the request that was
// open on the connection.

#include "bamboostream/Contracts"
#include "bamboostream/Forwarding"
#include "test/platform/scripted_backend.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

struct server_row {
    std::string name;
    bool ended;
    process_state expected;
};

class checked_server : public testing::TestWithParam<server_row> {};

INSTANTIATE_TEST_SUITE_P(table, checked_server,
                         testing::Values(server_row{"runs", false, process_state::running},
                                         server_row{"has_ended", true, process_state::ended}),
                         [](const auto& info) { return info.param.name; });

TEST_P(checked_server, is_checked_once_for_concurrent_requests) {
    asio::io_context context{1};
    scripted_backend server(context,
                            [](scripted_connection&) -> asio::awaitable<void> { co_return; });
    if (GetParam().ended) {
        server.end_process();
    }
    server_check checks;
    std::vector<process_state> found;
    for (int i = 0; i < 3; ++i) {
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                found.push_back(co_await checks.check(backend_id("i-1"), server.address()));
            },
            asio::detached);
    }
    context.run_for(milliseconds(60));
    EXPECT_EQ(found, std::vector<process_state>(3, GetParam().expected));
    EXPECT_EQ(checks.ended_servers(), GetParam().ended ? 1u : 0u);
    EXPECT_LE(server.connections(), 1);
    server.stop();
    context.restart();
    context.run_for(milliseconds(10));
}

// Guards against a crash being missed because the server was found running just before it.
TEST(server_check_test, the_end_of_a_process_right_after_a_check_is_found) {
    asio::io_context context{1};
    scripted_backend server(context,
                            [](scripted_connection&) -> asio::awaitable<void> { co_return; });
    server_check checks;
    std::vector<process_state> found;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            found.push_back(co_await checks.check(backend_id("i-1"), server.address()));
            server.end_process();
            found.push_back(co_await checks.check(backend_id("i-1"), server.address()));
        },
        asio::detached);
    context.run_for(milliseconds(100));
    EXPECT_EQ(found, (std::vector{process_state::running, process_state::ended}));
}

/// How a server behaves shortly after a connection to it broke.
struct closing_row {
    std::string name;
    /// Number of the connection after which it closes its listening socket, as a process that ends
    /// does; 0 for never.
    int last_connection;
    process_state expected;
    friend void PrintTo(const closing_row& row, std::ostream* out) { *out << row.name; }
};

class server_that_closes_connections : public testing::TestWithParam<closing_row> {};

INSTANTIATE_TEST_SUITE_P(table, server_that_closes_connections,
                         testing::Values(closing_row{"while_it_ends", 1, process_state::ended},
                                         closing_row{"twice_while_it_ends", 2,
                                                     process_state::ended},
                                         closing_row{"at_its_limit", 0, process_state::running}),
                         [](const auto& info) { return info.param.name; });

// Guards against two errors: an ended process goes unnoticed because its listening socket outlives
// the connections, and a server at its connection limit is taken for ended.
TEST_P(server_that_closes_connections, is_checked_again) {
    asio::io_context context{1};
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            for (int connection = 1; acceptor.is_open(); ++connection) {
                boost::system::error_code error;
                asio::ip::tcp::socket socket(context);
                co_await acceptor.async_accept(socket,
                                               asio::redirect_error(asio::use_awaitable, error));
                asio::steady_timer timer(context, milliseconds(5));
                co_await timer.async_wait(asio::use_awaitable);
                if (connection == GetParam().last_connection) {
                    acceptor.close(error);
                }
            }
        },
        asio::detached);
    server_check checks;
    std::optional<process_state> found;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            found = co_await checks.check(backend_id("i-1"), address);
        },
        asio::detached);
    context.run_for(milliseconds(100));
    EXPECT_EQ(found, GetParam().expected);
    acceptor.close();
    context.restart();
    context.run_for(milliseconds(20));
}

struct digest_row {
    std::string name;
    std::string workspace;
    http_request request;
    bool equal;
};

http_request sent(const std::string& id, const std::string& target, const std::string& body) {
    http_request out = make_request("POST", target, body);
    out.fields = {{"Host", "h.example"}, {"Attempt-Id", id}};
    return out;
}

std::vector<digest_row> digest_rows() {
    return {
        {"another_attempt", "desk", sent("2", "/a/x?y=1", "body"), true},
        {"another_caller", "other", sent("1", "/a/x?y=1", "body"), false},
        {"another_path", "desk", sent("1", "/a/z?y=1", "body"), false},
        {"another_query", "desk", sent("1", "/a/x?y=2", "body"), false},
        {"another_body", "desk", sent("1", "/a/x?y=1", "bodz"), false},
        {"fields_with_moved_borders", "des", sent("1", "k/a/x?y=1", "body"), false},
    };
}

class digest_of_request : public testing::TestWithParam<digest_row> {};

INSTANTIATE_TEST_SUITE_P(table, digest_of_request, testing::ValuesIn(digest_rows()),
                         [](const auto& info) { return info.param.name; });

TEST_P(digest_of_request, is_equal_for_attempts_at_the_same_request_only) {
    const request_digest first = digest_of(sent("1", "/a/x?y=1", "body"), workspace_id("desk"));
    const request_digest second = digest_of(GetParam().request, workspace_id(GetParam().workspace));
    EXPECT_EQ(first == second, GetParam().equal);
    EXPECT_EQ(request_digest::parse(first.text()), first);
}

} // namespace
} // namespace bamboostream::test
