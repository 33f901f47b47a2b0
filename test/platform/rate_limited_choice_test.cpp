// Which server gets a request while others name a limit on the requests a second that they take.

#include "test/platform/forwarding_fixture.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

/// Instances that always have a permit as far as is known here, and never issue one.
class denying_permits final : public rate_permit_source {
public:
    duration expected_wait(const registered_backend&, int, time_point) override { return {}; }
    bool take_own(const registered_backend&, int, time_point) override { return false; }
    boost::asio::awaitable<bool> acquire(registered_backend, int) override {
        ++asked;
        co_return false;
    }
    void record_unpermitted_send(const registered_backend&, time_point) override {}

    int asked = 0;
};

class rate_limited_choice : public testing::Test {
protected:
    rate_limited_choice() { fixture_.state().permits = &permits_; }
    ~rate_limited_choice() override { fixture_.state().permits = nullptr; }

    void add_limited(int count) {
        for (int i = 0; i < count; ++i) {
            const std::string id = fmt::format("i-limited-{}", i);
            fixture_.add(id, answering("limited"));
            const time_point now = monotonic_now();
            fixture_.state().rate_limits.observe({backend_id(id), 0, 2.4, now}, now);
        }
    }

    forwarding_fixture fixture_;
    denying_permits permits_;

public:
    rate_limited_choice(const rate_limited_choice&) = delete;
    rate_limited_choice& operator=(const rate_limited_choice&) = delete;
};

// Guards against a refusal while a server without a limit has room, since idle servers with a limit
// are tried first.
TEST_F(rate_limited_choice, ends_at_a_server_without_a_limit) {
    add_limited(12);
    fixture_.add("i-sound", answering("sound"));
    for (int i = 0; i < 5; ++i) {
        const auto view = fixture_.ask("once", std::to_string(i));
        fixture_.finish(view);
        EXPECT_EQ(view->status(), 200);
        EXPECT_EQ(view->body(), "sound");
    }
}

// Guards against a request that asks for permits until its deadline, and against a refusal without
// a time to come back.
TEST_F(rate_limited_choice, is_a_refusal_when_all_are_denied) {
    add_limited(12);
    const time_point before = monotonic_now();
    const auto view = fixture_.ask("once", "a");
    fixture_.finish(view);
    EXPECT_EQ(view->status(), 503);
    EXPECT_FALSE(view->field("Retry-After").empty());
    EXPECT_LE(permits_.asked, 4);
    EXPECT_LE(monotonic_now() - before, milliseconds(50));
}

} // namespace
} // namespace bamboostream::test
