// What engines and plain services say of a request that they did not run, and what is believed.

#include "bamboostream/Contracts"
#include "test/platform/scripted_backend.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

const std::string not_run = "Not-Run: true\r\n";
const std::string no_body = "Content-Length: 0\r\n\r\n";

/// A response to the start of a generation, an order and a call.
struct statement {
    std::string name;
    std::string response;
    engine_error from_engine;
    service_error from_service;
    friend void PrintTo(const statement& row, std::ostream* out) { *out << row.name; }
};

const std::vector<statement> statements = {
    {"refused", "503 X\r\n" + not_run + no_body, engine_error::not_run, service_error::not_run},
    {"refused_while_leaving", "503 X\r\nBackend-State: leaving\r\n" + not_run + no_body,
     engine_error::leaving, service_error::not_run},
    {"unknown_model", "404 X\r\n" + not_run + no_body, engine_error::not_run,
     service_error::not_run},
    {"failed", "500 X\r\n" + no_body, engine_error::outcome_unknown, service_error::none},
    {"failed_while_leaving", "500 X\r\nBackend-State: leaving\r\n" + no_body,
     engine_error::outcome_unknown, service_error::none},
    {"failed_in_between", "502 X\r\n" + no_body, engine_error::outcome_unknown,
     service_error::none},
    {"unavailable", "503 X\r\n" + no_body, engine_error::outcome_unknown, service_error::none},
    {"denied", "503 X\r\nNot-Run: false\r\n" + no_body, engine_error::outcome_unknown,
     service_error::none}};

class not_run_statement : public testing::TestWithParam<statement> {
protected:
    not_run_statement()
        : server_(context_, [](scripted_connection& c) -> asio::awaitable<void> {
              co_await c.send("HTTP/1.1 " + GetParam().response);
          }) {}
    /// Runs until the coroutine has returned.
    template <class Call> void run(Call call) {
        bool done = false;
        asio::co_spawn(
            context_,
            [&]() -> asio::awaitable<void> {
                co_await call();
                done = true;
            },
            asio::detached);
        const time_point limit = monotonic_now() + seconds(2);
        while (!done && monotonic_now() < limit) {
            context_.run_for(milliseconds(2));
        }
        EXPECT_EQ(server_.requests().size(), 1U);
    }

    asio::io_context context_{1};
    scripted_backend server_;
};

INSTANTIATE_TEST_SUITE_P(table, not_run_statement, testing::ValuesIn(statements),
                         [](const auto& info) { return info.param.name; });

// Guards against a generation that an engine has run and that counts as not run, since the engine,
// or something in between, answered with a failure afterwards.
TEST_P(not_run_statement, is_needed_of_an_engine) {
    engine_failure why;
    run([&]() -> asio::awaitable<void> {
        const generation_request request;
        engine_client engine(context_.get_executor(), backend_id(server_.address()));
        co_await engine.start(request, milliseconds(500), why);
    });
    EXPECT_EQ(why.code, GetParam().from_engine) << why.text;
}

// Guards against an order that an engine has executed and that counts as not executed.
TEST_P(not_run_statement, is_needed_for_an_order) {
    engine_failure why;
    run([&]() -> asio::awaitable<void> {
        const placement_order order;
        engine_client engine(context_.get_executor(), backend_id(server_.address()));
        co_await engine.order(order, milliseconds(500), why);
    });
    EXPECT_EQ(why.code, GetParam().from_engine) << why.text;
}

// Guards against a call that a service has run and that counts as not run.
TEST_P(not_run_statement, is_needed_of_a_service) {
    service_failure why;
    run([&]() -> asio::awaitable<void> {
        const service_call call{"s", "o", "k", "w", "{}"};
        const backend_id server(server_.address());
        co_await call_service(context_.get_executor(), server, call, milliseconds(500), why);
    });
    EXPECT_EQ(why.code, GetParam().from_service) << why.text;
}

} // namespace
} // namespace bamboostream::test
