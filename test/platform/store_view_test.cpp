// Who reads the store for whom, how old a view may grow, and whose word on backend servers holds;
// without a network.

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

/// What `self` has been told, and whether it must read; ages in milliseconds, -1 for never.
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

// Two instances read the store and tell the others how old their view is. When they die, freeze or
// are cut off from the store their views grow old; the next in order takes their place, without
// waiting for anybody to notice a failure.
TEST_P(reading_duty, passes_to_the_next_when_views_grow_old) {
    const duty_row& row = GetParam();
    store_read_policy duty;
    const auto record_view = [&](const std::string& teller, int age_ms) {
        if (age_ms >= 0) {
            duty.record_view(teller, entries, start - milliseconds(age_ms));
        }
    };
    record_view("r1", row.first_reader_age);
    record_view("r2", row.second_reader_age);
    record_view("s1", row.substitute_age);
    EXPECT_EQ(duty.must_read(entries, common_order, row.self, start), row.must_read);
}

// The second reader hears that the first one's view is fresh, and lets its own reads wait longer: a
// record arrives as soon. When the first is silent the others go by the second's view, which must
// not look old while all is well.
TEST(store_duty_test, only_one_proves_all_the_time_that_the_store_answers) {
    store_read_policy duty;
    const auto wait_of = [&](const char* self, int ms) {
        return duty.read_wait(entries, common_order, self, start + milliseconds(ms));
    };
    EXPECT_EQ(wait_of("r2", 0), read_timing_of(entries).wait);
    duty.record_view("r1", entries, start);
    duty.record_view("r2", entries, start);
    EXPECT_EQ(wait_of("r1", 600), read_timing_of(entries).wait);
    EXPECT_EQ(wait_of("r2", 600), relaxed_wait);
    EXPECT_EQ(wait_of("r2", 700), read_timing_of(entries).wait);
    EXPECT_EQ(wait_of("s1", 700), read_timing_of(entries).wait);
}

// A telling that was on its way for long says less than an earlier one; a topic says nothing of
// another.
TEST(store_duty_test, the_best_word_of_a_teller_holds_for_its_topic) {
    store_read_policy duty;
    duty.record_view("r1", entries, start);
    duty.record_view("r1", entries, start - seconds(5));
    EXPECT_FALSE(duty.must_read(entries, common_order, "s1", start));
    EXPECT_TRUE(duty.must_read(documents, common_order, "s1", start));
}

/// Tries in a row that the store didn't answer, and the pause after them.
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

// The store is away for long. Those in the order go on trying and tell everybody of its return; the
// others, whose calls would be refused and paid for, try ever more rarely.
TEST_P(store_pause, only_those_in_the_order_try_often_while_the_store_is_away) {
    const pause_row& row = GetParam();
    EXPECT_EQ(store_read_policy::failure_backoff(row.role, row.failures),
              milliseconds(row.pause_ms));
}

// --- how long the store's word takes

/// How the store treats the instances that it turns away.
enum class treatment : std::uint8_t { silent, refused };

/// Some instances are turned away from the outage's begin on; places in the common order.
struct budget_row {
    std::string name;
    int instances;
    std::vector<int> turned_away;
    treatment manner;
    int answer_ms;
    /// For what servers say, and for a configuration.
    int bound_ms;
    int documents_bound_ms;
};

/// Instances that read by the real duty, in steps of five milliseconds. The outage begins at 2 s.
class reading_play {
public:
    reading_play(const budget_row& row, record_topic topic) : row_(row), topic_(topic) {
        for (int i = 0; i < row.instances; ++i) {
            names_.push_back(fmt::format("{}", i));
            readers_.emplace_back();
            // They begin at different moments of their reads.
            readers_.back().next = start + milliseconds(i * 37 % 300);
        }
        const std::size_t length = std::min(names_.size(), store_read_policy::order_length);
        order_.assign(names_.begin(), names_.begin() + static_cast<std::ptrdiff_t>(length));
    }

    /// From the store's word at `word` to the last instance that the store or a peer told of it.
    duration play(time_point word) {
        word_ = word;
        for (time_point now = start; now < word + seconds(5); now += milliseconds(5)) {
            for (std::size_t i = 0; i < readers_.size(); ++i) {
                step(i, now);
            }
        }
        duration longest{};
        for (const reader& r : readers_) {
            longest = std::max(longest, r.learned.value_or(time_point::max()) - word);
        }
        return longest;
    }

private:
    struct reader {
        store_read_policy duty;
        time_point next;
        time_point began;
        milliseconds wait{0};
        bool reading = false;
        bool follows = false;
        int failures = 0;
        /// Until when it knows what the store says, and when it asks a peer next.
        time_point known_until = start;
        time_point next_question = start;
        std::optional<time_point> learned;
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
        ask_when_stale(i, now);
        if (r.reading) {
            go_on_reading(i, now);
        } else if (now >= r.next && r.duty.must_read(topic_, order_, names_[i], now)) {
            r.reading = true;
            r.began = now;
            r.wait = r.follows ? r.duty.read_wait(topic_, order_, names_[i], now) : milliseconds(0);
        } else if (now >= r.next) {
            r.next = now + recheck_period;
            r.follows = false;
            r.failures = 0;
        }
    }

    /// Another peer each time.
    void ask_when_stale(std::size_t i, time_point now) {
        reader& r = readers_[i];
        if (now < r.next_question || now - r.known_until <= read_timing_of(topic_).max_view_age) {
            return;
        }
        r.next_question = now + question_period;
        const auto round = static_cast<std::size_t>((now - start) / question_period);
        const reader& peer = readers_[(i + 1 + round) % readers_.size()];
        if (peer.learned) {
            update(i, now + milliseconds(2));
        }
        r.known_until = std::max(r.known_until, peer.known_until);
    }

    void go_on_reading(std::size_t i, time_point now) {
        reader& r = readers_[i];
        const bool has_record = now >= word_ && !r.learned;
        const time_point answered =
            (has_record ? std::min(std::max(r.began, word_), r.began + r.wait) : r.began + r.wait) +
            milliseconds(row_.answer_ms);
        if (is_served(i, now)) {
            if (now >= answered) {
                r.follows = true;
                finish(i, now, pause_between_reads);
                update(i, now);
                r.known_until = now;
                tell(i, now);
            }
        } else if (row_.manner == treatment::refused || now >= r.began + r.wait + answer_timeout) {
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
        if (now >= word_ && !readers_[i].learned) {
            readers_[i].learned = now;
        }
    }

    void tell(std::size_t i, time_point now) {
        if (i >= order_.size()) {
            return;
        }
        for (std::size_t other = 0; other < readers_.size(); ++other) {
            readers_[other].duty.record_view(names_[i], topic_, now);
            readers_[other].known_until = now;
            if (readers_[i].learned) {
                update(other, now + milliseconds(2));
            }
        }
    }

    static constexpr milliseconds question_period{300};
    /// Of the store's client and the follower.
    static constexpr milliseconds answer_timeout{600};
    static constexpr milliseconds pause_between_reads{60};

    const budget_row& row_;
    record_topic topic_;
    time_point word_;
    std::vector<std::string> names_;
    std::vector<std::string> order_;
    std::vector<reader> readers_;
};

class learning_budget : public testing::TestWithParam<budget_row> {
protected:
    /// The store's word comes at any moment of the reads that are under way.
    static duration longest_of(const budget_row& row, record_topic topic) {
        duration longest{};
        for (int after = 0; after < 1'500; after += 25) {
            reading_play play(row, topic);
            longest = std::max(longest, play.play(start + seconds(2) + milliseconds(after)));
        }
        return longest;
    }
};

const std::vector<int> whole_order = {0, 1, 2, 3, 4, 5, 6, 7};

INSTANTIATE_TEST_SUITE_P(
    table, learning_budget,
    testing::Values(
        budget_row{"all_served", 8, {}, treatment::silent, 4, 100, 100},
        budget_row{"one_reader_silent", 8, {0}, treatment::silent, 4, 100, 100},
        budget_row{"both_readers_silent", 8, {0, 1}, treatment::silent, 4, 1'000, 1'250},
        budget_row{"both_readers_refused", 8, {0, 1}, treatment::refused, 4, 1'000, 1'250},
        budget_row{"readers_and_third_silent", 8, {0, 1, 2}, treatment::silent, 4, 1'000, 1'250},
        budget_row{"reader_substitute_and_last", 8, {0, 2, 7}, treatment::silent, 4, 100, 100},
        budget_row{
            "all_but_the_last", 8, {0, 1, 2, 3, 4, 5, 6}, treatment::silent, 4, 1'000, 1'250},
        budget_row{
            "both_readers_silent_slow_store", 8, {0, 1}, treatment::silent, 240, 1'190, 1'440},
        budget_row{"many_both_readers_silent", 70, {0, 1}, treatment::silent, 4, 1'000, 1'250},
        budget_row{"many_whole_order_silent", 70, whole_order, treatment::silent, 4, 1'800, 2'000},
        budget_row{"many_whole_order_silent_slow_store", 70, whole_order, treatment::silent, 240,
                   1'800, 2'000},
        budget_row{"two_instances_one_silent", 2, {0}, treatment::silent, 4, 100, 100},
        budget_row{"three_instances_two_silent", 3, {0, 1}, treatment::silent, 4, 1'000, 1'250}),
    [](const auto& info) { return info.param.name; });

// The store turns some instances away, and then a server says that it leaves, or the operator
// writes a configuration, at any moment of anybody's read. The sum of the waits on the way to the
// last instance decides whether callers' requests still reach it after their bound; no single wait
// shows that it is too long.
TEST_P(learning_budget, is_kept_whoever_is_turned_away) {
    const budget_row& row = GetParam();
    EXPECT_LE(to_milliseconds(longest_of(row, entries)), row.bound_ms);
    EXPECT_LE(to_milliseconds(longest_of(row, documents)), row.documents_bound_ms);
}

// Callers may count on two seconds for both topics, a busy processor and the sending included.
TEST(learning_budget_test, the_sum_of_all_waits_leaves_half_a_second) {
    EXPECT_LE(max_propagation_time(entries), milliseconds(1'200));
    EXPECT_LE(max_propagation_time(documents), milliseconds(1'500));
}

// --- whose word holds

/// What another instance lists, seen from one that knows servers a and b up to position 10.
struct list_row {
    std::string name;
    std::int64_t position;
    std::vector<std::string> listed;
    std::vector<std::string> lapsed;
    std::string known_after;
};

/// Servers a and b are known up to position 10.
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

// An instance asks another for its list. What callers feel of an older list: servers that have gone
// come back and requests are sent to them, servers that have come are not used. The position in the
// store's topic says which of the two knows more.
TEST_P(peer_list, changes_only_what_is_older_here) {
    const list_row& row = GetParam();
    std::vector<peer_backend> told;
    for (const std::string& id : row.listed) {
        told.push_back({backend(id), false});
    }
    for (const std::string& id : row.lapsed) {
        told.push_back({backend(id), true});
    }
    state_.apply_peer_backends(told, row.position, start);
    EXPECT_EQ(known(), row.known_after);
}

// Whatever position the other's list has, a server that it knows to leave leaves.
TEST_F(known_servers, an_older_list_still_tells_who_leaves) {
    peer_backend leaver{backend("a"), false};
    leaver.backend.leaving = true;
    state_.apply_peer_backends(std::vector{leaver}, 3, start);
    EXPECT_EQ(forwarding_.registry.usable(service_id("s")).size(), 1u);
}

// An instance starts while the store is away. What it may use is what others still know, entries
// that have lapsed meanwhile among it; it waits for these as the others do.
TEST(peer_list_test, an_instance_that_knows_nothing_takes_lapsed_entries) {
    backend_registry registry;
    registry.update_from_peer(std::vector{peer_backend{backend("a"), true}}, start);
    EXPECT_EQ(registry.usable(service_id("s")).size(), 1u);
    EXPECT_TRUE(registry.has_lapsed(backend_id("a")));
    registry.expire(start + backend_registry::return_grace);
    EXPECT_TRUE(registry.empty());
}

/// How long nobody told this instance what the store says, before a removal is read.
struct outage_row {
    std::string name;
    int own_silence_ms;
    int told_ms_ago;
    bool put_off;
};

class outage : public known_servers, public testing::WithParamInterface<outage_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, outage,
    testing::Values(outage_row{"none", 300, 300, false}, outage_row{"own_only", 9'000, 300, false},
                    outage_row{"own_until_a_substitute_reads", 9'000, 900, false},
                    outage_row{"of_all", 9'000, 1'100, true}),
    [](const auto& info) { return info.param.name; });

// The entry of a server is missing when an instance reads again. If it was alone in not reaching
// the store, the server has gone, and putting that off sends callers' requests to it. If nobody
// reached the store, entries have lapsed, and believing it leaves no server to use.
TEST_P(outage, only_one_of_all_puts_removals_off) {
    const outage_row& row = GetParam();
    const time_point now = start + seconds(20);
    state_.update_view(entries, now - milliseconds(row.own_silence_ms),
                       now - milliseconds(row.own_silence_ms));
    const time_point told = now - milliseconds(row.told_ms_ago);
    for (time_point t = now - milliseconds(row.own_silence_ms); t < told; t += milliseconds(300)) {
        state_.update_view(entries, t, t);
    }
    state_.update_view(entries, told, told);
    state_.update_outage(now);
    state_.update_view(entries, now, now);
    forwarding_.registry.remove(backend_id("a"), now);
    EXPECT_EQ(forwarding_.registry.has_lapsed(backend_id("a")), row.put_off);
    EXPECT_EQ(known(), row.put_off ? "ab" : "b");
}

// An instance that has read nothing yet tells something, or is asked. Its word on ages says
// nothing: taken as a moment long ago it would look like an outage, and removals would wait at
// every start.
TEST(peer_frames_test, an_age_that_was_never_known_names_no_moment) {
    const view_age never;
    EXPECT_EQ(time_from_age(age_to_wire(never.age(start)), start), std::nullopt);
    EXPECT_EQ(time_from_age(age_to_wire(milliseconds(250)), start), start - milliseconds(250));
}

// --- how far the entries are known

// A telling is lost. Applying later ones would leave out the lost change for good: a server that
// leaves would get work until it is gone. The gap shows in the positions, and all entries are asked
// for. Whoever has read the store itself goes on with what any reader tells.
TEST(change_cursor_test, asks_for_all_after_a_gap) {
    using change_action = change_cursor::change_action;
    change_cursor follower;
    EXPECT_EQ(follower.evaluate(2, 3), change_action::resync);
    follower.set_position(3);
    EXPECT_EQ(follower.evaluate(3, 5), change_action::apply);
    EXPECT_EQ(follower.evaluate(5, 5), change_action::known);
    EXPECT_EQ(follower.evaluate(6, 7), change_action::resync);
    // Another reader, whose tellings begin elsewhere.
    EXPECT_EQ(follower.evaluate(4, 6), change_action::apply);
    EXPECT_EQ(follower.evaluate(2, 6), change_action::known);
    EXPECT_EQ(follower.evaluate(7, 8), change_action::resync);
    follower.set_position(9);
    EXPECT_EQ(follower.evaluate(7, 8), change_action::known);
    EXPECT_EQ(follower.position(), 9);
}

// A reader gives up a server for whose entry it has waited; no record came with that, so the
// position stays. Who knows no later record than the reader must give it up too; who knows later
// ones may have seen the server register again.
TEST(change_cursor_test, a_removal_without_a_record_holds_unless_later_records_are_known) {
    change_cursor follower;
    follower.set_position(5);
    EXPECT_TRUE(follower.accepts_removal(5));
    EXPECT_TRUE(follower.accepts_removal(6));
    EXPECT_FALSE(follower.accepts_removal(4));
}

} // namespace
} // namespace bamboostream
