// Claims on calls that must run at most once: what an instance says of a call while the log is away
// or another request with the same key is under way.

#include "bamboostream/Control"
#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

namespace bamboostream {
namespace {

namespace asio = boost::asio;

/// A log in memory that may be away, or append a record without responding.
class memory_log final : public log_service {
public:
    asio::awaitable<std::optional<std::int64_t>> append(std::string /*stream*/, std::string data,
                                                        log_failure& why) override {
        records.push_back({static_cast<std::int64_t>(records.size()), wall_now(), std::move(data)});
        if (away) {
            why.set(log_error::unknown, "no response");
            co_return std::nullopt;
        }
        co_return records.back().offset;
    }
    asio::awaitable<std::optional<log_page>> read(std::string /*stream*/, std::int64_t from,
                                                  milliseconds wait, log_failure& why) override {
        co_await pause_for(wait);
        if (away) {
            why.set(log_error::unavailable, "away");
            co_return std::nullopt;
        }
        log_page page;
        page.next_offset = static_cast<std::int64_t>(records.size());
        page.records.assign(records.begin() + std::min(from, page.next_offset), records.end());
        co_return page;
    }

    std::vector<log_record> records;
    bool away = false;
};

class no_machines final : public instance_list {
public:
    asio::awaitable<std::optional<machine_list>> read(list_failure& /*why*/) override {
        co_return machine_list{};
    }
};

member_facts started_a_minute_ago() {
    member_facts self;
    self.id = {"127.0.0.1:1", wall_now() - 60'000};
    return self;
}

claim_service::timing short_times() {
    claim_service::timing times;
    times.poll_wait = milliseconds(2);
    times.retry_pause = milliseconds(2);
    times.append_interval_per_instance = milliseconds(1);
    times.clock_tolerance = milliseconds(1'000);
    return times;
}

/// The claims of one instance that has no peers.
class claim_service_test : public testing::Test {
protected:
    claim_service_test() {
        claims_.start();
        run_for(milliseconds(20));
    }
    void run_for(milliseconds time) {
        context_.restart();
        context_.run_for(time);
    }
    std::shared_ptr<std::optional<claim_result>> claim(const std::string& key) {
        auto out = std::make_shared<std::optional<claim_result>>();
        asio::co_spawn(
            context_,
            [this, key, out]() -> asio::awaitable<void> {
                *out =
                    co_await claims_.claim("w", key, "digest", monotonic_now() + milliseconds(400));
            },
            asio::detached);
        return out;
    }
    /// What this instance tells others of its claims on the call.
    wire::LedgerReplyT report(const std::string& key) {
        wire::LedgerReplyT out;
        asio::co_spawn(
            context_,
            [&]() -> asio::awaitable<void> {
                wire::LedgerQueryT query;
                query.workspace = "w";
                query.key = key;
                const auto reply = co_await claims_.handle_query(query);
                out = *reply->message.AsLedgerReply();
            },
            asio::detached);
        run_for(milliseconds(5));
        return out;
    }

    asio::io_context context_{1};
    memory_log log_;
    peer_links links_{context_, nullptr};
    membership_service membership_{
        context_, links_, std::make_unique<no_machines>(), started_a_minute_ago(), {}, 1};
    claim_service claims_{context_, log_, membership_, links_, short_times()};
    const std::string key_ = make_uuid_v7(wall_now());
};

// Guards against "not run" for a call that this instance sends afterwards for an earlier request
// with the same key, once the log is back and shows its claim.
TEST_F(claim_service_test, call_that_may_still_be_sent_is_not_denied) {
    log_.away = true;
    const auto first = claim(key_);
    run_for(milliseconds(30));
    const auto second = claim(key_);
    run_for(milliseconds(30));
    log_.away = false;
    run_for(milliseconds(100));
    ASSERT_TRUE(*first && *second);
    EXPECT_EQ((*first)->decision, claim_result::kind::dispatch);
    EXPECT_EQ((*second)->decision, claim_result::kind::unknown) << (*second)->reason;
}

// Guards against a claim that is reported as never sent because a later claim of the same instance
// on the same call was abandoned.
TEST_F(claim_service_test, sent_claim_is_reported_beside_an_abandoned_one) {
    const auto first = claim(key_);
    const auto second = claim(key_);
    run_for(milliseconds(50));
    ASSERT_TRUE(*first);
    EXPECT_EQ((*first)->decision, claim_result::kind::dispatch);
    EXPECT_FALSE(report(key_).abandoned);
    run_for(milliseconds(500));
    EXPECT_EQ((*second)->decision, claim_result::kind::unknown);
}

TEST_F(claim_service_test, call_that_was_never_sent_is_reported_so) {
    EXPECT_TRUE(report(key_).abandoned);
    log_.away = true;
    run_for(milliseconds(10));
    const auto first = claim(key_);
    run_for(milliseconds(500));
    EXPECT_EQ((*first)->decision, claim_result::kind::not_run);
    EXPECT_TRUE(report(key_).abandoned);
}

// Guards against "not run" for a call that has run, at an instance whose clock is behind.
TEST_F(claim_service_test, key_of_the_future_whose_call_ran_is_answered) {
    const std::string future = make_uuid_v7(wall_now() + 10'000);
    ledger_entry claimed{ledger_kind::claim, "w", future, "c", {"127.0.0.1:2", 1}, "digest", 0, ""};
    ledger_entry decided = claimed;
    decided.kind = ledger_kind::outcome;
    decided.status = 200;
    decided.body = "done";
    const std::vector<ledger_entry> entries = {claimed, decided};
    log_.records.push_back({0, wall_now(), encode_ledger_record(entries)});
    run_for(milliseconds(20));
    const auto ran = claim(future);
    const auto not_sent = claim(make_uuid_v7(wall_now() + 10'000));
    run_for(milliseconds(50));
    ASSERT_TRUE(*ran && *not_sent);
    EXPECT_EQ((*ran)->decision, claim_result::kind::decided);
    EXPECT_EQ((*ran)->body, "done");
    EXPECT_EQ((*not_sent)->decision, claim_result::kind::not_run);
}

} // namespace
} // namespace bamboostream
