#include "test/platform/scripted_backend.h"

#include "bamboostream/src/Http/http_connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

// Guards against a script that never ends after its peer has closed the connection: a server of the
// soak test kept the slot of such a request and at last refused all others.
TEST(scripted_backend, a_script_ends_after_its_connection_is_lost) {
    constexpr int events = 20;
    asio::io_context context{1};
    bool ended = false;
    scripted_backend server(context, [&](scripted_connection& c) -> asio::awaitable<void> {
        for (int i = 0; i < events; ++i) {
            co_await c.send("x");
            co_await c.pause(5);
        }
        ended = true;
    });
    const auto connection = std::make_shared<http_connection>(context.get_executor());
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            http_failure why;
            co_await connection->connect(server.address(), milliseconds(400), why);
            connection->send("GET / HTTP/1.1\r\n\r\n", false);
        },
        asio::detached);
    context.run_for(milliseconds(30));
    connection->close();
    context.restart();
    context.run_for(milliseconds(500));
    EXPECT_TRUE(ended);
    EXPECT_EQ(server.closed(), 1);
}

} // namespace
} // namespace bamboostream::test
