// What an instance that reads the store does with answers that others' tellings have overtaken.

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
/// Answers are on their way for so long.
constexpr milliseconds on_the_way{20};

keyed_record entry_of(const std::string& id) {
    return {id, fmt::format(R"({{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v",
"slots":6,"state":"ready","cold_left_ms":0,"sequence":1}})")};
}

/// Holds records of entries; what it answers is settled when it is asked and arrives later.
class slow_store final : public record_store {
public:
    asio::awaitable<std::optional<record_page>> newest(record_topic topic,
                                                       store_failure&) override {
        record_page page;
        if (topic == entries) {
            page = {newest_, static_cast<std::int64_t>(log_.size())};
        }
        co_await pause_for(on_the_way);
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
        has_page_on_the_way_ = !page.records.empty();
        co_await pause_for(page.records.empty() ? wait : on_the_way);
        co_return page;
    }

    std::vector<keyed_record> log_;
    std::vector<keyed_record> newest_;
    bool has_page_on_the_way_ = false;
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

    /// Another instance tells that the server is gone at that position.
    void tell_gone(const std::string& id, std::int64_t position) {
        ASSERT_EQ(state_.entries().evaluate(state_.entries().position(), position),
                  change_cursor::change_action::apply);
        forwarding_.registry.forget(backend_id(id));
    }

    /// Whether the server was ever listed again while time passes.
    bool came_back(const std::string& id, milliseconds time) {
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
    sole_reader plan_;
    store_follower follower_;
};

// The newest records of all keys are on their way here when another instance tells that a server
// has gone. The answer still lists it; taken as it is, requests would be sent to it again.
TEST_F(store_follower_test, a_list_that_a_telling_has_overtaken_brings_nothing_back) {
    store_.log_ = {entry_of("a"), entry_of("b")};
    store_.newest_ = store_.log_;
    state_.entries().set_position(2);
    follower_.start(plan_);
    run_for(milliseconds(5));
    store_.log_.push_back({"a", ""});
    store_.newest_ = {entry_of("b")};
    tell_gone("a", 3);
    EXPECT_FALSE(came_back("a", milliseconds(200)));
}

// A page is on its way with the entry of a server that another instance has told to be gone since.
// Nothing of it is taken; the next page has what follows the telling.
TEST_F(store_follower_test, a_page_that_a_telling_has_overtaken_brings_nothing_back) {
    store_.log_ = {entry_of("b")};
    store_.newest_ = store_.log_;
    follower_.start(plan_);
    run_for(milliseconds(150));
    store_.log_.push_back(entry_of("a"));
    // The next read begins within 65 ms and is under way for 20 ms.
    while (!store_.has_page_on_the_way_) {
        run_for(milliseconds(1));
    }
    store_.log_.push_back({"a", ""});
    store_.log_.push_back(entry_of("c"));
    tell_gone("a", 3);
    EXPECT_FALSE(came_back("a", milliseconds(200)));
    EXPECT_NE(forwarding_.registry.find(backend_id("c")), nullptr);
}

// A page on its way says that a server has gone and is back, which another instance has told
// already, and that one has come. Taken from its beginning it would take the server for gone once
// more: its connections are closed and its generations moved away. Only what follows the telling is
// taken.
TEST_F(store_follower_test, a_page_is_taken_from_what_is_known_on) {
    store_.log_ = {entry_of("b")};
    store_.newest_ = store_.log_;
    follower_.start(plan_);
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
    while (!store_.has_page_on_the_way_) {
        run_for(milliseconds(1));
    }
    ASSERT_EQ(state_.entries().evaluate(1, 3), change_cursor::change_action::apply);
    run_for(milliseconds(150));
    EXPECT_TRUE(gone.empty());
    EXPECT_NE(forwarding_.registry.find(backend_id("c")), nullptr);
}

// The store has lost its newest records and answers with an earlier position. It is believed: what
// it holds now is all that anybody can know.
TEST_F(store_follower_test, a_store_that_went_back_is_believed) {
    store_.log_ = {entry_of("b")};
    store_.newest_ = store_.log_;
    state_.entries().set_position(40);
    follower_.start(plan_);
    run_for(milliseconds(60));
    EXPECT_NE(forwarding_.registry.find(backend_id("b")), nullptr);
    EXPECT_EQ(state_.entries().position(), 1);
}

} // namespace
} // namespace bamboostream::test
