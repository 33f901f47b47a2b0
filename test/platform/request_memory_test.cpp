// Bodies of requests that together take more memory than the instance has.

#include "bamboostream/src/Http/memory_budget.h"
#include "test/platform/forwarding_fixture.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

constexpr std::size_t body_bytes = 900'000;
/// Three long bodies fit.
constexpr std::size_t process_bytes = 10'000'000;

std::string chunked(const std::string& body) {
    return fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body);
}

class request_memory : public testing::Test {
protected:
    request_memory() : budget_(memory_budget::of(f_.context().get_executor())) {
        budget_.configure(process_bytes, 1.0 / 32.0);
        f_.route("once").timeout = milliseconds(2'500);
        f_.add("i-1", [](scripted_connection& c) -> asio::awaitable<void> {
            co_await c.pause(c.request().size() > body_bytes ? 400 : 1);
            co_await c.send(sealed_answer(c, "done"));
        });
    }

    forwarding_fixture f_;
    memory_budget& budget_;
};

// Guards against a burst of long requests that makes the platform end the process, and with it the
// requests that servers are working on.
TEST_F(request_memory, refuses_what_does_not_fit_and_serves_the_rest) {
    const std::string body(body_bytes, 'x');
    std::vector<std::shared_ptr<caller_view>> views;
    for (int i = 0; i < 12; ++i) {
        views.push_back(f_.ask("once", fmt::format("a{}", i), "", body));
    }
    std::size_t peak = 0;
    for (int ms = 0; ms < 200; ++ms) {
        f_.run_for(milliseconds(1));
        peak = std::max(peak, budget_.reserved());
    }
    const auto small = f_.ask("once", "small");
    f_.finish(small);
    EXPECT_EQ(small->status(), 200);
    int served = 0;
    for (const auto& view : views) {
        f_.finish(view);
        EXPECT_TRUE(view->complete()) << view->bytes;
        served += view->status() == 200 ? 1 : 0;
        EXPECT_EQ(view->field("Retry-After").empty(), view->status() != 503);
        EXPECT_TRUE(view->status() == 200 || view->status() == 503) << view->bytes;
    }
    EXPECT_EQ(served, 3);
    EXPECT_LE(peak, process_bytes / 2);
    EXPECT_EQ(budget_.refused_requests(), 9U);
    f_.run_for(milliseconds(20));
    EXPECT_EQ(budget_.reserved(), 0U);
}

// Guards against a refusal where memory becomes free within a moment.
TEST_F(request_memory, is_waited_for_a_moment) {
    ASSERT_TRUE(budget_.try_reserve(memory_use::long_request, process_bytes * 3 / 8));
    const auto view = f_.ask("once", "a1", "", std::string(body_bytes, 'x'));
    f_.run_for(milliseconds(40));
    EXPECT_FALSE(view->done);
    budget_.release(memory_use::long_request, process_bytes * 3 / 8);
    f_.finish(view);
    EXPECT_EQ(view->status(), 200);
}

// Guards against bodies without a length that grow beyond the memory, and against memory that stays
// reserved for a caller that has left.
TEST_F(request_memory, bounds_bodies_in_chunks_and_is_released_by_callers_that_leave) {
    const std::string framing = "Transfer-Encoding: chunked\r\nX: ";
    ASSERT_TRUE(budget_.try_reserve(memory_use::long_request, process_bytes / 4));
    const auto first = f_.ask("once", "a1", framing, chunked(std::string(body_bytes, 'x')));
    f_.finish(first);
    EXPECT_EQ(first->status(), 503);
    budget_.release(memory_use::long_request, process_bytes / 4);
    const auto second = f_.ask("once", "a2", "", std::string(body_bytes, 'x'));
    f_.run_for(milliseconds(60));
    EXPECT_GT(budget_.reserved(), body_bytes);
    f_.leave(second);
    f_.run_for(milliseconds(60));
    EXPECT_EQ(budget_.reserved(), 0U);
}

// Guards against a caller that waits for the permission to send its body.
TEST_F(request_memory, is_reserved_before_a_caller_is_told_to_continue) {
    const auto view = f_.ask("once", "a1", "Expect: 100-continue\r\n", "text");
    f_.finish(view);
    f_.run_for(milliseconds(50));
    EXPECT_TRUE(view->bytes.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 "))
        << view->bytes;
}

// Guards against reservations that outgrow the limit of all together, and against long bodies that
// leave none for short ones.
TEST(memory_budget_test, keeps_room_for_short_requests) {
    asio::io_context context;
    memory_budget& budget = memory_budget::of(context.get_executor());
    budget.configure(8'000'000, 1.0 / 32.0);
    EXPECT_TRUE(budget.try_reserve(memory_use::long_request, 3'000'000));
    EXPECT_FALSE(budget.try_reserve(memory_use::long_request, 1));
    EXPECT_TRUE(budget.try_reserve(memory_use::response, 250'000));
    EXPECT_FALSE(budget.try_reserve(memory_use::response, 1));
    EXPECT_TRUE(budget.try_reserve(memory_use::request, 750'000));
    EXPECT_FALSE(budget.try_reserve(memory_use::request, 1));
    {
        body_reservation body(budget);
        EXPECT_FALSE(body.raise(10));
        budget.release(memory_use::request, 750'000);
        EXPECT_TRUE(body.raise(10));
        EXPECT_FALSE(body.raise(memory_budget::long_body_bytes + 1));
        EXPECT_EQ(budget.reserved(memory_use::request), 10U);
    }
    EXPECT_EQ(budget.reserved(memory_use::request), 0U);
    EXPECT_EQ(budget.reserved(), 3'250'000U);
}

} // namespace
} // namespace bamboostream::test
