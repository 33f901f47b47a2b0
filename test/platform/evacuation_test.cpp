// The evacuation service with a scripted mover and scripted peers, without a network.

#include "bamboostream/Evacuation"
#include "bamboostream/src/Control/async_wait.h"
#include "platform/platform_request_codec.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
#include <set>
#include <utility>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

struct move_call {
    std::string source;
    std::string generation;
    std::string target;
    bool last = false;
};

/// Records moves and answers them with scripted results. Each move takes 5 ms, so that moves
/// overlap as real copies do.
class scripted_mover final : public generation_mover {
public:
    asio::awaitable<std::optional<bool>> is_leaving(std::string engine, milliseconds) override {
        ++leaving_queries_;
        co_return engine == leaving_;
    }

    asio::awaitable<std::optional<move_result>> move(std::string source, std::string generation,
                                                     std::string target, bool last,
                                                     milliseconds timeout,
                                                     move_failure& why) override {
        calls_.push_back({source, generation, target, last});
        const int concurrent_moves = ++active_moves_[target];
        max_moves_per_target_ = std::max(max_moves_per_target_, concurrent_moves);
        const bool hangs = target == dead_target_;
        co_await pause_for(hangs ? timeout : last ? last_part_time_ : milliseconds(5));
        --active_moves_[target];
        if (hangs) {
            why.set(move_error::unreachable, "timed out");
            co_return std::nullopt;
        }
        if (on_copied_) {
            on_copied_(target, last);
        }
        const auto error = errors_.find(generation + (last ? "/last" : "/first"));
        if (error != errors_.end()) {
            why.set(error->second, "scripted");
            co_return std::nullopt;
        }
        const bool copied = !(last && not_copied_);
        co_return move_result{generation + (last ? "-last" : "-first"), last, copied};
    }

    std::string leaving_;
    int leaving_queries_ = 0;
    std::vector<move_call> calls_;
    std::map<std::string, move_error> errors_;
    std::function<void(const std::string& target, bool last)> on_copied_;
    bool not_copied_ = false;
    milliseconds last_part_time_{5};
    /// Copies to this engine get no answer.
    std::string dead_target_;
    int max_moves_per_target_ = 0;

private:
    std::map<std::string, int> active_moves_;
};

struct sent_notice {
    std::string generation;
    move_notice notice;
};

class scripted_peers final : public evacuation_peers {
public:
    bool coordinates(const service_id&) const override { return coordinates_; }
    asio::awaitable<std::vector<move_candidate>> collect_movable(backend_id backend) override {
        std::vector<move_candidate> out;
        for (const auto& [generation, at] : running_) {
            if (at == backend) {
                out.push_back({{generation, 3'000, 500}, "peer"});
            }
        }
        co_return out;
    }
    asio::awaitable<bool> expect_stop(std::string, backend_id backend, std::string generation,
                                      milliseconds) override {
        announced_.push_back(generation);
        const auto found = running_.find(generation);
        co_return found != running_.end() && found->second == backend;
    }
    void cancel_stop(const std::string&, const std::string& generation) override {
        cancelled_.push_back(generation);
    }
    void send_move_notice(const std::string&, const std::string& generation,
                          const move_notice& notice) override {
        notices_.push_back({generation, notice});
        running_.erase(generation);
    }

    bool coordinates_ = true;
    std::map<std::string, backend_id> running_;
    std::vector<sent_notice> notices_;
    std::vector<std::string> announced_;
    std::vector<std::string> cancelled_;
};

class evacuation_test : public testing::Test {
protected:
    evacuation_test()
        : state_(codec_, failure_domain_id("norra"), {}, 1),
          service_(context_, state_, mover_, peers_) {
        routing_configuration c;
        c.version = 1;
        service_rule engines;
        engines.id = service_id("engines");
        engines.engine = engine_rule{24, 30'000, 96'256.0, 14'000.0, true, 4};
        c.services = {engines};
        state_.routes = std::make_shared<const route_table>(c);
        for (int i = 1; i <= 5; ++i) {
            registered_backend b;
            b.id = backend_id(fmt::format("i-{}", i));
            b.address = fmt::format("10.0.0.{}:80", i);
            b.service = service_id("engines");
            b.version = software_version("v1");
            b.failure_domain = failure_domain_id("norra");
            state_.registry.update(b, monotonic_now());
        }
    }

    void set_version(const std::string& id, const std::string& version) {
        registered_backend changed = *state_.registry.find(backend_id(id));
        changed.version = software_version(version);
        state_.registry.update(changed, monotonic_now());
    }

    void leave(const std::string& id) {
        state_.registry.confirm(monotonic_now());
        learn_of_departure(id);
    }

    void learn_of_departure(const std::string& id) {
        state_.registry.mark_leaving(backend_id(id));
        service_.on_leaving(*state_.registry.find(backend_id(id)));
    }

    void run_for(milliseconds time) {
        context_.restart();
        context_.run_for(time);
    }

    asio::io_context context_{1};
    platform::platform_request_codec codec_;
    forwarding_state state_;
    scripted_mover mover_;
    scripted_peers peers_;
    evacuation_service service_;
};

TEST_F(evacuation_test, copies_then_stops_and_tells_where_it_goes_on) {
    peers_.running_ = {{"g1", backend_id("i-1")}};
    leave("i-1");
    run_for(milliseconds(60));
    ASSERT_EQ(mover_.calls_.size(), 2u);
    EXPECT_FALSE(mover_.calls_[0].last);
    EXPECT_TRUE(mover_.calls_[1].last);
    ASSERT_EQ(peers_.notices_.size(), 1u);
    EXPECT_EQ(peers_.notices_[0].notice.copy.handle, "g1-last");
    EXPECT_EQ(peers_.notices_[0].notice.copy.holder, "10.0.0.1:80");
    EXPECT_EQ(peers_.notices_[0].notice.target_address, mover_.calls_[0].target);
}

/// The versions of the engines "i-1", which leaves, to "i-5", and where its generation may move.
struct version_row {
    std::string name;
    std::vector<std::string> versions;
    std::set<std::string> allowed;
};

void PrintTo(const version_row& row, std::ostream* out) {
    *out << row.name;
}

class evacuated_version : public evacuation_test,
                          public testing::WithParamInterface<version_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, evacuated_version,
    testing::Values(version_row{"others_only", {"v1", "v1.10", "blue", "v1.10", "v1 "}, {}},
                    version_row{
                        "one_of_its_own", {"v1", "v1.10", "blue", "v1", "v2"}, {"10.0.0.4:80"}},
                    version_row{"back_to_an_older_one", {"v2", "v1", "v1", "v1", "v1"}, {}}),
    [](const auto& info) { return info.param.name; });

// Guards against a generation that is moved to an engine of another software version.
TEST_P(evacuated_version, is_kept_by_the_move) {
    for (std::size_t i = 0; i < GetParam().versions.size(); ++i) {
        set_version(fmt::format("i-{}", i + 1), GetParam().versions[i]);
    }
    peers_.running_ = {{"g1", backend_id("i-1")}};
    leave("i-1");
    run_for(milliseconds(60));
    for (const move_call& call : mover_.calls_) {
        EXPECT_TRUE(GetParam().allowed.contains(call.target)) << call.target;
    }
    EXPECT_EQ(peers_.notices_.size(), GetParam().allowed.size());
}

// Two engines leave at once. Copies that share the link of one target take as long as both
// together, and the final copy, during which the stream is paused, would wait behind the other one.
TEST_F(evacuation_test, engines_that_leave_together_never_copy_to_one_target) {
    for (int i = 0; i < 6; ++i) {
        peers_.running_[fmt::format("g{}", i)] = backend_id(i % 2 == 0 ? "i-1" : "i-2");
    }
    leave("i-1");
    leave("i-2");
    run_for(milliseconds(150));
    EXPECT_EQ(peers_.notices_.size(), 6u);
    EXPECT_EQ(mover_.max_moves_per_target_, 1);
}

// Guards against two copies to one target after another target has refused the first of them: the
// final copy of one would wait behind the other.
TEST_F(evacuation_test, a_refused_copy_never_shares_the_next_target) {
    for (int i = 0; i < 6; ++i) {
        const std::string id = fmt::format("g{}", i);
        peers_.running_[id] = backend_id(i % 2 == 0 ? "i-1" : "i-2");
        if (i % 2 == 0) {
            mover_.errors_[id + "/first"] = move_error::refused;
        }
    }
    leave("i-1");
    leave("i-2");
    run_for(milliseconds(150));
    EXPECT_EQ(mover_.max_moves_per_target_, 1);
}

/// A failure in one of the two steps of a move.
struct step_row {
    std::string name;
    std::string step;
    move_error error;
    /// The handle in the move notice; empty when no notice is sent.
    std::string handle;
    std::size_t calls;
};

class failed_step : public evacuation_test, public testing::WithParamInterface<step_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, failed_step,
    testing::Values(
        // The engine ends after the first copy: the stream continues from that copy.
        step_row{"gone_after_the_copy", "g1/last", move_error::unreachable, "g1-first", 2},
        step_row{"gone_during_the_copy", "g1/first", move_error::unreachable, "", 1},
        step_row{"ended_meanwhile", "g1/last", move_error::not_running, "", 2},
        step_row{"no_target_has_room", "g1/first", move_error::refused, "", 4}),
    [](const auto& info) { return info.param.name; });

TEST_P(failed_step, is_made_the_best_of) {
    peers_.running_ = {{"g1", backend_id("i-1")}};
    mover_.errors_ = {{GetParam().step, GetParam().error}};
    leave("i-1");
    run_for(milliseconds(60));
    EXPECT_EQ(mover_.calls_.size(), GetParam().calls);
    const std::string notified_handle =
        peers_.notices_.empty() ? "" : peers_.notices_[0].notice.copy.handle;
    EXPECT_EQ(notified_handle, GetParam().handle);
    EXPECT_EQ(peers_.cancelled_.size(), GetParam().step == "g1/last" && notified_handle.empty());
}

// Guards against an engine that is asked to stop a stream without its forwarder's knowledge, which
// would take the end of an unframed stream for that of the generation.
TEST_F(evacuation_test, a_stop_is_announced_before_it_is_asked_for) {
    peers_.running_ = {{"g1", backend_id("i-1")}};
    bool announced = false;
    mover_.on_copied_ = [&](const std::string&, bool last) {
        EXPECT_EQ(peers_.announced_.size(), last ? 1U : 0U);
        announced = announced || last;
    };
    leave("i-1");
    run_for(milliseconds(60));
    EXPECT_TRUE(announced);
    EXPECT_TRUE(peers_.cancelled_.empty());
}

// Guards against a stop of a stream that has ended while its first copy was made.
TEST_F(evacuation_test, a_stream_that_has_ended_is_not_stopped) {
    peers_.running_ = {{"g1", backend_id("i-1")}};
    mover_.on_copied_ = [&](const std::string&, bool) { peers_.running_.clear(); };
    leave("i-1");
    run_for(milliseconds(60));
    ASSERT_EQ(mover_.calls_.size(), 1U);
    EXPECT_FALSE(mover_.calls_.front().last);
    // The instance may have heard the announcement without its answer having arrived.
    EXPECT_EQ(peers_.cancelled_.size(), 1U);
    EXPECT_TRUE(peers_.notices_.empty());
}

// The target refuses the final copy after the source has stopped the generation. The source still
// has the generation's memory, so the stream continues there.
TEST_F(evacuation_test, a_generation_whose_rest_was_refused_goes_on_at_its_source) {
    peers_.running_ = {{"g1", backend_id("i-1")}};
    mover_.not_copied_ = true;
    leave("i-1");
    run_for(milliseconds(60));
    ASSERT_EQ(peers_.notices_.size(), 1u);
    EXPECT_EQ(peers_.notices_[0].notice.target, backend_id("i-1"));
}

// Guards against a generation that goes back to its source when that takes no more requests, and
// ends there.
TEST_F(evacuation_test, a_generation_does_not_go_back_long_after_the_announcement) {
    mover_.not_copied_ = true;
    leave("i-1");
    run_for(milliseconds(700));
    peers_.running_ = {{"g1", backend_id("i-1")}};
    run_for(milliseconds(300));
    ASSERT_EQ(peers_.notices_.size(), 1u);
    EXPECT_NE(peers_.notices_[0].notice.target, backend_id("i-1"));
    EXPECT_EQ(peers_.notices_[0].notice.copy.handle, "g1-first");
}

// Guards against an instance that takes the time at which it learns of a departure for the time of
// the announcement, because it has just started.
TEST_F(evacuation_test, a_generation_does_not_go_back_after_an_announcement_of_unknown_age) {
    peers_.running_ = {{"g1", backend_id("i-1")}};
    mover_.not_copied_ = true;
    learn_of_departure("i-1");
    run_for(milliseconds(60));
    ASSERT_EQ(peers_.notices_.size(), 1u);
    EXPECT_NE(peers_.notices_[0].notice.target, backend_id("i-1"));
}

// As above, but the source is in a cordoned failure domain, to which no request may be sent. The
// stream continues from the first copy, which lacks only the most recent tokens.
TEST_F(evacuation_test, a_generation_does_not_go_back_into_a_cordoned_domain) {
    peers_.running_ = {{"g1", backend_id("i-1")}};
    mover_.not_copied_ = true;
    registered_backend away = *state_.registry.find(backend_id("i-5"));
    away.failure_domain = failure_domain_id("verket");
    state_.registry.update(away, monotonic_now());
    state_.registry.set_cordoned({failure_domain_id("norra")});
    leave("i-1");
    run_for(milliseconds(60));
    ASSERT_EQ(peers_.notices_.size(), 1u);
    EXPECT_EQ(peers_.notices_[0].notice.target, backend_id("i-5"));
    EXPECT_EQ(peers_.notices_[0].notice.copy.handle, "g1-first");
}

// While the store is unavailable, no instance is notified that an engine leaves. The owner polls
// the engines instead and moves the generations of those that leave. While the store is available
// it doesn't poll, because each query has a cost.
TEST_F(evacuation_test, engines_are_asked_only_while_the_store_is_away) {
    state_.on_registry_change = [this] {
        for (const registry_change& change : state_.registry.take_changes()) {
            if (change.event == registry_event::leaving) {
                service_.on_leaving(change.backend);
            }
        }
    };
    peers_.running_ = {{"g1", backend_id("i-1")}};
    mover_.leaving_ = "10.0.0.1:80";
    service_.start();
    run_for(milliseconds(500));
    EXPECT_EQ(mover_.leaving_queries_, 0);
    state_.registry.store_failed(monotonic_now());
    run_for(milliseconds(600));
    EXPECT_GT(mover_.leaving_queries_, 0);
    EXPECT_EQ(peers_.notices_.size(), 1u);
}

// Engines leave one after another: the target of a copy announces that it leaves during the copy.
// If the generation were stopped then, its stream would reach a leaving engine up to three seconds
// after the announcement and be interrupted there. It keeps running at its source and moves to
// another target.
TEST_F(evacuation_test, a_target_that_begins_to_leave_is_given_up_before_the_stream_stops) {
    peers_.running_ = {{"g1", backend_id("i-1")}};
    std::string leaving_target;
    mover_.on_copied_ = [&](const std::string& target, bool) {
        if (leaving_target.empty()) {
            leaving_target = target;
            state_.registry.mark_leaving(backend_id("i-" + target.substr(7, 1)));
        }
    };
    leave("i-1");
    run_for(milliseconds(60));
    ASSERT_EQ(peers_.notices_.size(), 1u);
    EXPECT_NE(peers_.notices_[0].notice.target_address, leaving_target);
    for (const move_call& call : mover_.calls_) {
        EXPECT_FALSE(call.last && call.target == leaving_target);
    }
}

// The instance that evacuates an engine dies before it has finished, while the engine still runs.
// The next owner moves the remaining generations, without an interruption for their callers.
TEST_F(evacuation_test, the_next_owner_takes_over_from_a_dead_one) {
    peers_.coordinates_ = false;
    peers_.running_ = {{"g1", backend_id("i-1")}};
    service_.start();
    leave("i-1");
    run_for(milliseconds(500));
    EXPECT_TRUE(mover_.calls_.empty());
    peers_.coordinates_ = true;
    run_for(milliseconds(600));
    ASSERT_EQ(peers_.notices_.size(), 1u);
    EXPECT_EQ(peers_.notices_[0].notice.copy.handle, "g1-last");
}

// Guards against generations that are cut off although their engine is known to leave: an instance
// that had just started learned of that before it had a configuration, and moved none of them.
TEST_F(evacuation_test, an_engine_that_leaves_before_the_configuration_is_known_is_evacuated) {
    const auto routes = std::exchange(state_.routes, nullptr);
    peers_.running_ = {{"g1", backend_id("i-1")}};
    service_.start();
    leave("i-1");
    run_for(milliseconds(100));
    EXPECT_TRUE(mover_.calls_.empty());
    state_.routes = routes;
    run_for(milliseconds(600));
    ASSERT_EQ(peers_.notices_.size(), 1u);
    EXPECT_EQ(peers_.notices_[0].notice.copy.handle, "g1-last");
}

/// Engines whose service reports the load of their host, so that moves are planned for the end of
/// the notice.
class evacuation_before_end : public evacuation_test {
protected:
    evacuation_before_end() { state_.server_loads.set_reports_host_load(service_id("engines")); }
};

TEST_F(evacuation_before_end, moves_all_generations_one_copy_a_target) {
    for (int i = 0; i < 6; ++i) {
        peers_.running_[fmt::format("g{}", i)] = backend_id(i % 2 == 0 ? "i-1" : "i-2");
    }
    leave("i-1");
    leave("i-2");
    run_for(milliseconds(200));
    EXPECT_EQ(peers_.notices_.size(), 6u);
    EXPECT_EQ(mover_.max_moves_per_target_, 1);
    EXPECT_EQ(mover_.calls_.size(), 12u);
}

// Guards against a link that is idle while the last part of a move is under way.
TEST_F(evacuation_before_end, the_next_copy_begins_during_the_last_part) {
    mover_.last_part_time_ = milliseconds(100);
    peers_.running_ = {{"g1", backend_id("i-1")}, {"g2", backend_id("i-1")}};
    leave("i-1");
    run_for(milliseconds(60));
    ASSERT_EQ(mover_.calls_.size(), 4u);
    EXPECT_NE(mover_.calls_[0].target, mover_.calls_[2].target);
    EXPECT_TRUE(peers_.notices_.empty());
    run_for(milliseconds(200));
    EXPECT_EQ(peers_.notices_.size(), 2u);
    EXPECT_EQ(mover_.calls_.size(), 4u);
}

// Guards against an evacuation that ends because a target, not the source, gives no answer.
TEST_F(evacuation_before_end, a_target_that_dies_is_replaced_by_the_next) {
    peers_.running_ = {{"g1", backend_id("i-1")}};
    leave("i-1");
    mover_.dead_target_ = "10.0.0.2:80";
    run_for(milliseconds(1'000));
    ASSERT_EQ(peers_.notices_.size(), 1u);
    EXPECT_NE(peers_.notices_[0].notice.target_address, mover_.dead_target_);
    EXPECT_EQ(state_.reserve.incoming(backend_id("i-2")), backend_work{});
}

// The coordinator dies while it copies the second of two generations. The next one finds that copy
// still under way at the source, and moves the generation as soon as it has ended.
TEST_F(evacuation_before_end, the_next_coordinator_finishes_what_a_dead_one_has_begun) {
    peers_.coordinates_ = false;
    peers_.running_ = {{"g2", backend_id("i-1")}};
    mover_.errors_ = {{"g2/first", move_error::busy}};
    service_.start();
    leave("i-1");
    peers_.coordinates_ = true;
    run_for(milliseconds(500));
    EXPECT_FALSE(mover_.calls_.empty());
    EXPECT_TRUE(peers_.notices_.empty());
    mover_.errors_.clear();
    run_for(milliseconds(200));
    EXPECT_EQ(peers_.notices_.size(), 1u);
}

// Guards against a generation that is given up because no engine has room at first.
TEST_F(evacuation_before_end, a_generation_without_target_moves_when_room_appears) {
    peers_.running_ = {{"g1", backend_id("i-1")}};
    for (int i = 2; i <= 5; ++i) {
        state_.loads.add(backend_id(fmt::format("i-{}", i)), {8, 32'000, 0});
    }
    leave("i-1");
    run_for(milliseconds(100));
    EXPECT_TRUE(mover_.calls_.empty());
    EXPECT_EQ(state_.counters.without_target, 1u);
    state_.loads.subtract(backend_id("i-4"), {1, 4'000, 0});
    run_for(milliseconds(100));
    ASSERT_EQ(peers_.notices_.size(), 1u);
    EXPECT_EQ(peers_.notices_[0].notice.target, backend_id("i-4"));
    EXPECT_EQ(state_.counters.without_target, 0u);
}

// Streams that are open when their engine goes away are counted by what kept them there.
TEST_F(evacuation_before_end, what_was_not_moved_is_counted_by_cause) {
    peers_.running_ = {{"g1", backend_id("i-1")}, {"g2", backend_id("i-1")}};
    mover_.errors_ = {{"g1/first", move_error::unreachable}};
    leave("i-1");
    run_for(milliseconds(60));
    EXPECT_EQ(state_.counters.not_moved[static_cast<std::size_t>(no_move_cause::time)], 2u);
    EXPECT_EQ(state_.reserve.time_left(service_id("engines"), monotonic_now()), duration{});
}

TEST_F(evacuation_test, only_the_owner_drives) {
    peers_.coordinates_ = false;
    peers_.running_ = {{"g1", backend_id("i-1")}};
    leave("i-1");
    run_for(milliseconds(30));
    EXPECT_TRUE(mover_.calls_.empty());
}

} // namespace
} // namespace bamboostream::test
