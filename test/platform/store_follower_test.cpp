// Tests how a store_follower handles store responses that became stale because a peer announced
// newer changes while they were in flight.

#include "bamboostream/Gateway"
#include "bamboostream/src/Control/async_wait.h"
#include "platform/platform_record_codec.h"
#include "platform/platform_request_codec.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

constexpr record_topic entries = record_topic::backend_entries;
/// Delay between computing a response and its arrival.
constexpr milliseconds response_latency{20};

keyed_record entry_of(const std::string& id) {
    return {id, fmt::format(R"({{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v",
"slots":6,"state":"ready","cold_left_ms":0,"sequence":1}})")};
}

/// Holds backend entries. The content of a response is fixed when the call is made; the response
/// arrives `response_latency` later.
class slow_store final : public record_store {
public:
    asio::awaitable<std::optional<record_page>> newest(record_topic topic,
                                                       store_failure&) override {
        record_page page;
        if (topic == entries) {
            page = {newest_, static_cast<std::int64_t>(log_.size())};
        }
        co_await pause_for(response_latency);
        co_return page;
    }
    asio::awaitable<std::optional<record_page>> read(record_topic topic, std::int64_t from,
                                                     milliseconds wait, store_failure&) override {
        record_page page;
        page.next = from;
        if (topic == entries) {
            for (std::size_t i = static_cast<std::size_t>(from); i < log_.size(); ++i) {
                page.records.push_back(log_[i]);
                ++page.next;
            }
        }
        has_page_in_flight_ = !page.records.empty();
        co_await pause_for(page.records.empty() ? wait : response_latency);
        co_return page;
    }

    std::vector<keyed_record> log_;
    std::vector<keyed_record> newest_;
    bool has_page_in_flight_ = false;
};

class sole_reader final : public read_coordinator {
public:
    bool must_read(record_topic, time_point) const override { return true; }
    milliseconds read_wait(record_topic, time_point) const override { return milliseconds(5); }
    bool has_topic_from_peers(record_topic) const override { return false; }
    bool awaits_peers(record_topic, time_point) const override { return false; }
    bool must_read_configuration(time_point) override { return false; }
    store_read_role role() const override { return store_read_role::reader; }
    void on_store_answer() override {}
};

class store_follower_test : public testing::Test {
protected:
    store_follower_test()
        : forwarding_(requests_, failure_domain_id("z"), {}, 1), state_(forwarding_, records_),
          follower_(context_, store_, state_) {}

    void run_for(milliseconds time) {
        context_.restart();
        context_.run_for(time);
    }

    /// Applies a peer's announcement that the server was removed at `position`.
    void announce_removal(const std::string& id, std::int64_t position) {
        ASSERT_EQ(state_.entries().evaluate(state_.entries().position(), position),
                  change_cursor::change_action::apply);
        forwarding_.registry.forget(backend_id(id));
    }

    /// Runs for `time` and returns whether the server was in the registry at any point.
    bool reappears(const std::string& id, milliseconds time) {
        bool seen = false;
        for (milliseconds passed{0}; passed < time; passed += milliseconds(1)) {
            run_for(milliseconds(1));
            seen = seen || forwarding_.registry.find(backend_id(id)) != nullptr;
        }
        return seen;
    }

    asio::io_context context_{1};
    const platform::platform_request_codec requests_;
    const platform::platform_record_codec records_;
    forwarding_state forwarding_;
    deployment_state state_;
    slow_store store_;
    sole_reader coordinator_;
    store_follower follower_;
};

// A peer announces that a server is gone while the response with the newest record of each key is
// in flight. The response still lists the server; applying it unchanged would send requests there
// again.
TEST_F(store_follower_test, a_list_that_a_telling_has_overtaken_brings_nothing_back) {
    store_.log_ = {entry_of("a"), entry_of("b")};
    store_.newest_ = store_.log_;
    state_.entries().set_position(2);
    follower_.start(coordinator_);
    run_for(milliseconds(5));
    store_.log_.push_back({"a", ""});
    store_.newest_ = {entry_of("b")};
    announce_removal("a", 3);
    EXPECT_FALSE(reappears("a", milliseconds(200)));
}

// A page in flight contains the entry of a server that a peer has meanwhile announced as gone. The
// whole page is discarded; the next page contains what follows the announcement.
TEST_F(store_follower_test, a_page_that_a_telling_has_overtaken_brings_nothing_back) {
    store_.log_ = {entry_of("b")};
    store_.newest_ = store_.log_;
    follower_.start(coordinator_);
    run_for(milliseconds(150));
    store_.log_.push_back(entry_of("a"));
    // The next read begins within 65 ms and its response takes 20 ms.
    while (!store_.has_page_in_flight_) {
        run_for(milliseconds(1));
    }
    store_.log_.push_back({"a", ""});
    store_.log_.push_back(entry_of("c"));
    announce_removal("a", 3);
    EXPECT_FALSE(reappears("a", milliseconds(200)));
    EXPECT_NE(forwarding_.registry.find(backend_id("c")), nullptr);
}

// A page in flight says that server b was removed and registered again, which a peer has already
// announced, and that server c is new. Applying the page from its beginning would remove b once
// more, closing its connections and moving its generations away. Only the records after the
// announced position are applied.
TEST_F(store_follower_test, a_page_is_taken_from_what_is_known_on) {
    store_.log_ = {entry_of("b")};
    store_.newest_ = store_.log_;
    follower_.start(coordinator_);
    run_for(milliseconds(150));
    std::vector<std::string> gone;
    state_.on_backend_change([&gone](const registry_change& change) {
        if (change.event == registry_event::gone) {
            gone.push_back(change.backend.id.text());
        }
    });
    store_.log_.push_back({"b", ""});
    store_.log_.push_back(entry_of("b"));
    store_.log_.push_back(entry_of("c"));
    while (!store_.has_page_in_flight_) {
        run_for(milliseconds(1));
    }
    ASSERT_EQ(state_.entries().evaluate(1, 3), change_cursor::change_action::apply);
    run_for(milliseconds(150));
    EXPECT_TRUE(gone.empty());
    EXPECT_NE(forwarding_.registry.find(backend_id("c")), nullptr);
}

// The store has lost its newest records and answers with an earlier position. The follower accepts
// it, because the store's present content is the only authoritative state left.
TEST_F(store_follower_test, a_store_that_went_back_is_believed) {
    store_.log_ = {entry_of("b")};
    store_.newest_ = store_.log_;
    state_.entries().set_position(40);
    follower_.start(coordinator_);
    run_for(milliseconds(60));
    EXPECT_NE(forwarding_.registry.find(backend_id("b")), nullptr);
    EXPECT_EQ(state_.entries().position(), 1);
}

} // namespace
} // namespace bamboostream::test
