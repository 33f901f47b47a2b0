// Tests which instances read the store, how old a view may become, and which source of backend
// entries takes precedence. No network is used.

#include "bamboostream/Gateway"
#include "bamboostream/src/Gateway/peer_frames.h"
#include "platform/platform_record_codec.h"
#include "platform/platform_request_codec.h"
#include "test/platform/decision_helpers.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream {
namespace {

constexpr record_topic entries = record_topic::backend_entries;
constexpr record_topic documents = record_topic::operator_documents;

// --- who reads the store

const std::vector<std::string> common_order = {"r1", "r2", "s1", "s2"};

/// Ages of the views that `self` was told of, in milliseconds (-1: never told), and whether it must
/// read the store.
struct duty_row {
    std::string name;
    std::string self;
    int first_reader_age;
    int second_reader_age;
    int substitute_age;
    bool must_read;
};

class reading_duty : public testing::TestWithParam<duty_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, reading_duty,
    testing::Values(duty_row{"reader", "r2", 0, 0, 0, true},
                    duty_row{"substitute_told", "s1", 600, -1, -1, false},
                    duty_row{"substitute_told_by_the_second", "s1", -1, 600, -1, false},
                    duty_row{"substitute_told_of_old_views", "s1", 700, 700, -1, true},
                    duty_row{"substitute_told_by_one_behind", "s1", 700, 700, 0, true},
                    duty_row{"next_substitute_rests", "s2", 700, 700, 0, false},
                    duty_row{"other_told", "x", 800, -1, -1, false},
                    duty_row{"other_told_by_a_substitute", "x", -1, -1, 800, false},
                    duty_row{"other_told_of_old_views", "x", 900, 900, 900, true},
                    duty_row{"other_never_told", "x", -1, -1, -1, true}),
    [](const auto& info) { return info.param.name; });

// Two instances read the store and announce the age of their view. When they crash, freeze or lose
// the store, their views age and the next instance in the order takes over, without waiting for
// failure detection.
TEST_P(reading_duty, passes_to_the_next_when_views_grow_old) {
    const duty_row& row = GetParam();
    store_read_policy policy;
    const auto record_view = [&](const std::string& announcer, int age_ms) {
        if (age_ms >= 0) {
            policy.record_view(announcer, entries, start - milliseconds(age_ms));
        }
    };
    record_view("r1", row.first_reader_age);
    record_view("r2", row.second_reader_age);
    record_view("s1", row.substitute_age);
    EXPECT_EQ(policy.must_read(entries, common_order, row.self, start), row.must_read);
}

// While the first reader announces a fresh view, the second one uses a longer wait for its reads; a
// new record still arrives as soon. When the first reader is silent, the others rely on the second
// one's view, which must not look old while the store answers.
TEST(store_read_policy_test, only_one_proves_all_the_time_that_the_store_answers) {
    store_read_policy policy;
    const auto wait_of = [&](const char* self, int ms) {
        return policy.read_wait(entries, common_order, self, start + milliseconds(ms));
    };
    EXPECT_EQ(wait_of("r2", 0), read_timing_of(entries).wait);
    policy.record_view("r1", entries, start);
    policy.record_view("r2", entries, start);
    EXPECT_EQ(wait_of("r1", 600), read_timing_of(entries).wait);
    EXPECT_EQ(wait_of("r2", 600), relaxed_wait);
    EXPECT_EQ(wait_of("r2", 700), read_timing_of(entries).wait);
    EXPECT_EQ(wait_of("s1", 700), read_timing_of(entries).wait);
}

// A delayed announcement with an older view must not replace a fresher one, and a view of one topic
// says nothing about another topic.
TEST(store_read_policy_test, the_freshest_view_of_an_announcer_is_kept_per_topic) {
    store_read_policy policy;
    policy.record_view("r1", entries, start);
    policy.record_view("r1", entries, start - seconds(5));
    EXPECT_FALSE(policy.must_read(entries, common_order, "s1", start));
    EXPECT_TRUE(policy.must_read(documents, common_order, "s1", start));
}

/// Number of consecutive failed calls to the store, and the pause after the last one.
struct pause_row {
    std::string name;
    store_read_role role;
    int failures;
    int pause_ms;
};

class store_pause : public testing::TestWithParam<pause_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, store_pause,
    testing::Values(pause_row{"reader_first", store_read_role::reader, 1, 250},
                    pause_row{"reader_later", store_read_role::reader, 40, 250},
                    pause_row{"substitute_first", store_read_role::standby, 1, 500},
                    pause_row{"substitute_later", store_read_role::standby, 40, 500},
                    pause_row{"other_first", store_read_role::other, 1, 700},
                    pause_row{"other_second", store_read_role::other, 2, 1'400},
                    pause_row{"other_third", store_read_role::other, 3, 2'800},
                    pause_row{"other_much_later", store_read_role::other, 1'000, 2'800}),
    [](const auto& info) { return info.param.name; });

// The store is unavailable for long. Instances in the order keep trying at a constant rate and
// announce its return to all others. The other instances, whose calls would be refused and still
// cost, back off.
TEST_P(store_pause, only_those_in_the_order_try_often_while_the_store_is_away) {
    const pause_row& row = GetParam();
    EXPECT_EQ(store_read_policy::failure_backoff(row.role, row.failures),
              milliseconds(row.pause_ms));
}

// --- how long a new record takes to reach all instances

/// How the store treats the calls of the instances that it turns away.
enum class rejection_mode : std::uint8_t { silent, refused };

/// An outage during which the store turns some instances away.
struct budget_row {
    std::string name;
    int instances;
    /// Positions in the common order.
    std::vector<int> turned_away;
    rejection_mode mode;
    int answer_ms;
    /// Limits for backend entries and for a configuration.
    int bound_ms;
    int documents_bound_ms;
};

/// Simulates instances that read the store according to the real `store_read_policy`, in steps of
/// five milliseconds. The outage begins at 2 s.
class read_simulation {
public:
    read_simulation(const budget_row& row, record_topic topic) : row_(row), topic_(topic) {
        for (int i = 0; i < row.instances; ++i) {
            names_.push_back(fmt::format("{}", i));
            readers_.emplace_back();
            // Staggers the reads.
            readers_.back().next = start + milliseconds(i * 37 % 300);
        }
        const std::size_t length = std::min(names_.size(), store_read_policy::order_length);
        order_.assign(names_.begin(), names_.begin() + static_cast<std::ptrdiff_t>(length));
    }

    /// Returns the time from a record's arrival in the store at `recorded_at` until the last
    /// instance learns of it, from the store or a peer.
    duration run(time_point recorded_at) {
        recorded_at_ = recorded_at;
        for (time_point now = start; now < recorded_at + seconds(5); now += milliseconds(5)) {
            for (std::size_t i = 0; i < readers_.size(); ++i) {
                step(i, now);
            }
        }
        duration longest{};
        for (const reader& r : readers_) {
            longest = std::max(longest, r.learned_at.value_or(time_point::max()) - recorded_at);
        }
        return longest;
    }

private:
    struct reader {
        store_read_policy policy;
        time_point next;
        time_point began;
        milliseconds wait{0};
        bool reading = false;
        bool follows = false;
        int failures = 0;
        /// The time of the newest store view that it knows of.
        time_point known_until = start;
        /// When it may query a peer next.
        time_point next_query = start;
        std::optional<time_point> learned_at;
    };

    bool is_turned_away(std::size_t i) const {
        const auto& all = row_.turned_away;
        return std::find(all.begin(), all.end(), static_cast<int>(i)) != all.end();
    }
    bool is_served(std::size_t i, time_point now) const {
        return now < start + seconds(2) || !is_turned_away(i);
    }

    void step(std::size_t i, time_point now) {
        reader& r = readers_[i];
        query_peer_when_stale(i, now);
        if (r.reading) {
            continue_read(i, now);
        } else if (now >= r.next && r.policy.must_read(topic_, order_, names_[i], now)) {
            r.reading = true;
            r.began = now;
            r.wait =
                r.follows ? r.policy.read_wait(topic_, order_, names_[i], now) : milliseconds(0);
        } else if (now >= r.next) {
            r.next = now + recheck_period;
            r.follows = false;
            r.failures = 0;
        }
    }

    /// Queries a different peer in each period.
    void query_peer_when_stale(std::size_t i, time_point now) {
        reader& r = readers_[i];
        if (now < r.next_query || now - r.known_until <= read_timing_of(topic_).max_view_age) {
            return;
        }
        r.next_query = now + query_period;
        const auto round = static_cast<std::size_t>((now - start) / query_period);
        const reader& peer = readers_[(i + 1 + round) % readers_.size()];
        if (peer.learned_at) {
            update(i, now + milliseconds(2));
        }
        r.known_until = std::max(r.known_until, peer.known_until);
    }

    void continue_read(std::size_t i, time_point now) {
        reader& r = readers_[i];
        const bool has_record = now >= recorded_at_ && !r.learned_at;
        const time_point answered =
            (has_record ? std::min(std::max(r.began, recorded_at_), r.began + r.wait)
                        : r.began + r.wait) +
            milliseconds(row_.answer_ms);
        if (is_served(i, now)) {
            if (now >= answered) {
                r.follows = true;
                finish(i, now, pause_between_reads);
                update(i, now);
                r.known_until = now;
                announce(i, now);
            }
        } else if (row_.mode == rejection_mode::refused ||
                   now >= r.began + r.wait + answer_timeout) {
            ++r.failures;
            finish(i, now,
                   store_read_policy::failure_backoff(store_read_policy::role_of(order_, names_[i]),
                                                      r.failures));
        }
    }

    void finish(std::size_t i, time_point now, milliseconds pause) {
        readers_[i].reading = false;
        readers_[i].next = now + pause;
    }

    void update(std::size_t i, time_point now) {
        if (now >= recorded_at_ && !readers_[i].learned_at) {
            readers_[i].learned_at = now;
        }
    }

    void announce(std::size_t i, time_point now) {
        if (i >= order_.size()) {
            return;
        }
        for (std::size_t other = 0; other < readers_.size(); ++other) {
            readers_[other].policy.record_view(names_[i], topic_, now);
            readers_[other].known_until = now;
            if (readers_[i].learned_at) {
                update(other, now + milliseconds(2));
            }
        }
    }

    static constexpr milliseconds query_period{300};
    /// The values that the store client and the follower use.
    static constexpr milliseconds answer_timeout{600};
    static constexpr milliseconds pause_between_reads{60};

    const budget_row& row_;
    record_topic topic_;
    time_point recorded_at_;
    std::vector<std::string> names_;
    std::vector<std::string> order_;
    std::vector<reader> readers_;
};

class learning_budget : public testing::TestWithParam<budget_row> {
protected:
    /// Returns the longest propagation time over records that arrive 0 to 1.5 s after the outage
    /// began, that is, in any phase of the pending reads.
    static duration longest_of(const budget_row& row, record_topic topic) {
        duration longest{};
        for (int after = 0; after < 1'500; after += 25) {
            read_simulation simulation(row, topic);
            longest = std::max(longest, simulation.run(start + seconds(2) + milliseconds(after)));
        }
        return longest;
    }
};

const std::vector<int> whole_order = {0, 1, 2, 3, 4, 5, 6, 7};

INSTANTIATE_TEST_SUITE_P(
    table, learning_budget,
    testing::Values(
        budget_row{"all_served", 8, {}, rejection_mode::silent, 4, 100, 100},
        budget_row{"one_reader_silent", 8, {0}, rejection_mode::silent, 4, 100, 100},
        budget_row{"both_readers_silent", 8, {0, 1}, rejection_mode::silent, 4, 1'000, 1'250},
        budget_row{"both_readers_refused", 8, {0, 1}, rejection_mode::refused, 4, 1'000, 1'250},
        budget_row{
            "readers_and_third_silent", 8, {0, 1, 2}, rejection_mode::silent, 4, 1'000, 1'250},
        budget_row{"reader_substitute_and_last", 8, {0, 2, 7}, rejection_mode::silent, 4, 100, 100},
        budget_row{
            "all_but_the_last", 8, {0, 1, 2, 3, 4, 5, 6}, rejection_mode::silent, 4, 1'000, 1'250},
        budget_row{
            "both_readers_silent_slow_store", 8, {0, 1}, rejection_mode::silent, 240, 1'190, 1'440},
        budget_row{"many_both_readers_silent", 70, {0, 1}, rejection_mode::silent, 4, 1'000, 1'250},
        budget_row{"many_whole_order_silent", 70, whole_order, rejection_mode::silent, 4, 1'800,
                   2'000},
        budget_row{"many_whole_order_silent_slow_store", 70, whole_order, rejection_mode::silent,
                   240, 1'800, 2'000},
        budget_row{"two_instances_one_silent", 2, {0}, rejection_mode::silent, 4, 100, 100},
        budget_row{
            "three_instances_two_silent", 3, {0, 1}, rejection_mode::silent, 4, 1'000, 1'250}),
    [](const auto& info) { return info.param.name; });

// The store turns some instances away; then a server announces that it leaves, or the operator
// writes a configuration, in any phase of the pending reads. The sum of all waits until the last
// instance learns of it must stay within the bound after which no request may reach the leaving
// server. No single wait shows that the sum is too long.
TEST_P(learning_budget, is_kept_whoever_is_turned_away) {
    const budget_row& row = GetParam();
    EXPECT_LE(to_milliseconds(longest_of(row, entries)), row.bound_ms);
    EXPECT_LE(to_milliseconds(longest_of(row, documents)), row.documents_bound_ms);
}

// Callers rely on two seconds for both topics, including CPU load and sending. The margin for these
// is half a second.
TEST(learning_budget_test, the_sum_of_all_waits_leaves_half_a_second) {
    EXPECT_LE(max_propagation_time(entries), milliseconds(1'200));
    EXPECT_LE(max_propagation_time(documents), milliseconds(1'500));
}

// --- which source takes precedence

/// A peer's list, received by an instance that knows servers a and b up to position 10.
struct list_row {
    std::string name;
    std::int64_t position;
    std::vector<std::string> listed;
    std::vector<std::string> lapsed;
    std::string known_after;
};

/// An instance that knows servers a and b up to position 10.
class known_servers : public testing::Test {
protected:
    known_servers()
        : forwarding_(requests_, failure_domain_id("z"), {}, 1), state_(forwarding_, records_) {
        state_.entries().set_position(10);
        for (const char* id : {"a", "b"}) {
            forwarding_.registry.update(backend(id), start);
        }
        state_.report_changes(update_source::store, start);
    }

    std::string known() const {
        std::string out;
        for (const registered_backend& b : forwarding_.registry.all()) {
            out += b.id.text();
        }
        return out;
    }

    const platform::platform_request_codec requests_;
    const platform::platform_record_codec records_;
    forwarding_state forwarding_;
    deployment_state state_;
};

class peer_list : public known_servers, public testing::WithParamInterface<list_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, peer_list,
    testing::Values(list_row{"older_without_one", 9, {"a"}, {}, "ab"},
                    list_row{"older_with_one_gone", 9, {"a", "c"}, {}, "ab"},
                    list_row{"no_further", 10, {"a", "c"}, {}, "ab"},
                    list_row{"newer", 11, {"a", "c"}, {}, "ac"},
                    list_row{"newer_that_waits_for_an_entry", 11, {"a", "b"}, {"c"}, "ab"},
                    list_row{"newer_that_waits_for_a_known_one", 11, {"a"}, {"b"}, "a"},
                    list_row{"empty", 11, {}, {}, "ab"}),
    [](const auto& info) { return info.param.name; });

// An instance asks a peer for its list. Applying an older list would bring back servers that are
// gone, so that requests are sent to them, and drop new ones. The position in the store's topic
// tells which of the two lists is newer.
TEST_P(peer_list, changes_only_what_is_older_here) {
    const list_row& row = GetParam();
    std::vector<peer_backend> peer_backends;
    for (const std::string& id : row.listed) {
        peer_backends.push_back({backend(id), false});
    }
    for (const std::string& id : row.lapsed) {
        peer_backends.push_back({backend(id), true});
    }
    state_.apply_peer_backends(peer_backends, row.position, start);
    EXPECT_EQ(known(), row.known_after);
}

// A server that a peer lists as leaving is marked as leaving whatever the position of that list.
TEST_F(known_servers, an_older_list_still_tells_who_leaves) {
    peer_backend leaver{backend("a"), false};
    leaver.backend.leaving = true;
    state_.apply_peer_backends(std::vector{leaver}, 3, start);
    EXPECT_EQ(forwarding_.registry.usable(service_id("s")).size(), 1u);
}

// An instance starts while the store is unavailable. It uses the entries that its peers still know,
// including lapsed ones, for whose return it waits as long as its peers do.
TEST(peer_list_test, an_instance_that_knows_nothing_takes_lapsed_entries) {
    backend_registry registry;
    registry.update_from_peer(std::vector{peer_backend{backend("a"), true}}, start);
    EXPECT_EQ(registry.usable(service_id("s")).size(), 1u);
    EXPECT_TRUE(registry.has_lapsed(backend_id("a")));
    registry.expire(start + backend_registry::return_grace);
    EXPECT_TRUE(registry.empty());
}

// Guards against a removal that is deferred anew at each instance that starts: requests were sent
// to a server that had long been gone.
TEST(backend_registry_test, a_lapsed_entry_of_a_peer_s_list_stays_no_longer_than_at_the_peer) {
    backend_registry registry;
    registry.update_from_peer(std::vector{peer_backend{backend("a"), true, milliseconds(300)}},
                              start);
    EXPECT_EQ(registry.time_to_removal(backend_id("a"), start + milliseconds(100)),
              milliseconds(200));
    registry.expire(start + milliseconds(299));
    EXPECT_FALSE(registry.empty());
    registry.expire(start + milliseconds(300));
    EXPECT_TRUE(registry.empty());
}

// Guards against memory that grows with each server that is replaced.
TEST(backend_registry_test, a_removal_is_forgotten_after_a_while) {
    backend_registry registry;
    registry.update(backend("a"), start);
    registry.confirm(start);
    registry.remove(backend_id("a"), start);
    registry.expire(start + seconds(1));
    ASSERT_NE(registry.find_departure(backend_id("a")), nullptr);
    EXPECT_TRUE(registry.find_departure(backend_id("a"))->accepts_copies(start + seconds(1)));
    EXPECT_FALSE(registry.find_departure(backend_id("a"))->accepts_copies(start + seconds(2)));
    registry.expire(start + seconds(70));
    EXPECT_EQ(registry.find_departure(backend_id("a")), nullptr);
}

/// How long this instance had no own view of the store, and when a peer last announced one, before
/// it reads a removal.
struct outage_row {
    std::string name;
    int own_silence_ms;
    int told_ms_ago;
    bool is_deferred;
};

class outage : public known_servers, public testing::WithParamInterface<outage_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, outage,
    testing::Values(outage_row{"none", 300, 300, false}, outage_row{"own_only", 9'000, 300, false},
                    outage_row{"own_until_a_substitute_reads", 9'000, 900, false},
                    outage_row{"of_all_in_which_no_entry_expires", 9'000, 1'100, false},
                    outage_row{"of_all", 9'000, 2'500, true}),
    [](const auto& info) { return info.param.name; });

// The entry of a server is missing when an instance reads the store again. If only this instance
// could not reach the store, the server is gone, and deferring the removal sends requests to it. If
// no instance could, entries have lapsed, and removing them would leave no server to use.
TEST_P(outage, only_one_of_all_puts_removals_off) {
    const outage_row& row = GetParam();
    const time_point now = start + seconds(20);
    state_.update_view(entries, now - milliseconds(row.own_silence_ms),
                       now - milliseconds(row.own_silence_ms));
    const time_point announced_at = now - milliseconds(row.told_ms_ago);
    for (time_point t = now - milliseconds(row.own_silence_ms); t < announced_at;
         t += milliseconds(300)) {
        state_.update_view(entries, t, t);
    }
    state_.update_view(entries, announced_at, announced_at);
    state_.update_outage(now);
    state_.update_view(entries, now, now);
    forwarding_.registry.remove(backend_id("a"), now);
    EXPECT_EQ(forwarding_.registry.has_lapsed(backend_id("a")), row.is_deferred);
    EXPECT_EQ(known(), row.is_deferred ? "ab" : "b");
}

// An instance that has read nothing yet sends an announcement or answers a query. Its view age is
// unknown; interpreting it as a time long ago would look like an outage and defer removals at every
// start.
TEST(peer_frames_test, an_age_that_was_never_known_names_no_moment) {
    const view_age never;
    EXPECT_EQ(time_from_age(age_to_wire(never.age(start)), start), std::nullopt);
    EXPECT_EQ(time_from_age(age_to_wire(milliseconds(250)), start), start - milliseconds(250));
}

// --- up to which position the entries are known

// An announcement is lost. Applying only the later ones would miss its change for good: a leaving
// server would get work until it is gone. The positions reveal the gap, and all entries are
// requested. An instance that has read the store itself continues with any reader's announcements.
TEST(change_cursor_test, asks_for_all_after_a_gap) {
    using change_action = change_cursor::change_action;
    change_cursor follower;
    EXPECT_EQ(follower.evaluate(2, 3), change_action::resync);
    follower.set_position(3);
    EXPECT_EQ(follower.evaluate(3, 5), change_action::apply);
    EXPECT_EQ(follower.evaluate(5, 5), change_action::known);
    EXPECT_EQ(follower.evaluate(6, 7), change_action::resync);
    // Another reader, whose announcements start at other positions.
    EXPECT_EQ(follower.evaluate(4, 6), change_action::apply);
    EXPECT_EQ(follower.evaluate(2, 6), change_action::known);
    EXPECT_EQ(follower.evaluate(7, 8), change_action::resync);
    follower.set_position(9);
    EXPECT_EQ(follower.evaluate(7, 8), change_action::known);
    EXPECT_EQ(follower.position(), 9);
}

// A reader removes a server whose lapsed entry did not return in time. No record comes with that,
// so the position is unchanged. Instances that know no later record than the reader must remove it
// too; those that know later ones may have seen the server register again.
TEST(change_cursor_test, a_removal_without_a_record_holds_unless_later_records_are_known) {
    change_cursor follower;
    follower.set_position(5);
    EXPECT_TRUE(follower.accepts_removal(5));
    EXPECT_TRUE(follower.accepts_removal(6));
    EXPECT_FALSE(follower.accepts_removal(4));
}

} // namespace
} // namespace bamboostream
