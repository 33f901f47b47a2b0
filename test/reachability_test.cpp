// Tests, in virtual time, how an instance tells servers that only it can't reach from servers that
// are down.

#include "bamboostream/Routing"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <set>

namespace bamboostream {
namespace {

const service_id service("s");

backend_id server(int number) {
    return backend_id(fmt::format("i-{}", number));
}

class reachability_test : public testing::Test {
protected:
    reachability_test() {
        for (int i = 0; i < 6; ++i) {
            servers_[i].id = server(i);
            servers_[i].service = service;
            usable_.push_back(&servers_[i]);
        }
    }
    bool reached_by_peer(int number) {
        return tracker_.on_reached_by_peer(service, server(number), usable_, now_);
    }
    /// Runs all due checks for `time`; those of servers in `reachable_` succeed.
    void run_checks_for(milliseconds time) {
        const time_point end = now_ + time;
        for (; now_ < end; now_ += milliseconds(10)) {
            for (const auto& due : tracker_.take_due_checks(now_)) {
                ++checks_;
                if (reachable_.contains(due.server)) {
                    tracker_.on_connected(due.service, due.server, now_);
                }
            }
        }
    }

    std::array<registered_backend, 6> servers_;
    std::vector<const registered_backend*> usable_;
    reachability_tracker tracker_;
    time_point now_ = time_point(std::chrono::hours(1));
    std::set<backend_id> reachable_;
    int checks_ = 0;
};

TEST_F(reachability_test, one_server_does_not_cut_off_its_service) {
    EXPECT_FALSE(reached_by_peer(0));
    EXPECT_TRUE(tracker_.is_cut_off(service, server(0)));
    EXPECT_FALSE(tracker_.is_cut_off(service, server(1)));
    EXPECT_FALSE(reached_by_peer(0));
    EXPECT_FALSE(tracker_.is_cut_off(service));
}

TEST_F(reachability_test, two_servers_cut_off_their_service) {
    reached_by_peer(0);
    EXPECT_TRUE(reached_by_peer(1));
    EXPECT_TRUE(tracker_.is_cut_off(service, server(5)));
    EXPECT_FALSE(tracker_.is_cut_off(service_id("other"), server(5)));
    EXPECT_FALSE(reached_by_peer(2)) << "reported once";
}

// Guards against a service being taken for cut off because some of its servers are, while this
// instance connects to others.
TEST_F(reachability_test, a_connection_to_another_server_is_evidence_against_it) {
    reached_by_peer(0);
    now_ += milliseconds(10);
    tracker_.on_connected(service, server(2), now_);
    now_ += milliseconds(10);
    EXPECT_FALSE(reached_by_peer(1));
    EXPECT_TRUE(tracker_.is_cut_off(service, server(0)));
    EXPECT_TRUE(tracker_.is_cut_off(service, server(1)));
    EXPECT_FALSE(tracker_.is_cut_off(service, server(2)));
}

// Guards against servers that are only assumed to be cut off never being tried.
TEST_F(reachability_test, a_partial_failure_is_found_out_by_the_first_check) {
    reached_by_peer(0);
    reached_by_peer(1);
    reachable_ = {server(2), server(3), server(4), server(5)};
    run_checks_for(milliseconds(600));
    for (int i = 0; i < 6; ++i) {
        EXPECT_EQ(tracker_.is_cut_off(service, server(i)), i < 2) << i;
    }
}

TEST_F(reachability_test, only_what_a_peer_has_reached_is_found_cut_off) {
    reached_by_peer(0);
    reached_by_peer(1);
    EXPECT_TRUE(tracker_.is_found_cut_off(service, server(0)));
    EXPECT_FALSE(tracker_.is_found_cut_off(service, server(2)));
    EXPECT_TRUE(tracker_.is_cut_off(service, server(2)));
    reached_by_peer(2);
    EXPECT_TRUE(tracker_.is_found_cut_off(service, server(2)));
    EXPECT_FALSE(tracker_.is_found_cut_off(service_id("other"), server(0)));
}

TEST_F(reachability_test, ends_within_a_second_of_the_failure) {
    reached_by_peer(0);
    reached_by_peer(1);
    run_checks_for(seconds(5));
    EXPECT_TRUE(tracker_.is_cut_off(service));
    EXPECT_EQ(checks_, 9) << "one per service and period";
    reachable_ = {server(0), server(1), server(2), server(3), server(4), server(5)};
    run_checks_for(seconds(1));
    EXPECT_EQ(tracker_.servers_cut_off(), 0u);
}

// Guards against many connections at once when a failure ends.
TEST_F(reachability_test, checks_follow_one_another) {
    for (int i = 0; i < 6; ++i) {
        reached_by_peer(i);
    }
    reachable_ = {server(0), server(1), server(2), server(3), server(4), server(5)};
    std::size_t most = 0;
    for (const time_point end = now_ + seconds(1); now_ < end; now_ += milliseconds(10)) {
        const auto due = tracker_.take_due_checks(now_);
        most = std::max(most, due.size());
        for (const auto& it : due) {
            tracker_.on_connected(it.service, it.server, now_);
        }
    }
    EXPECT_EQ(most, 1u);
    EXPECT_EQ(tracker_.servers_cut_off(), 0u);
}

TEST_F(reachability_test, a_server_that_leaves_is_forgotten) {
    reached_by_peer(0);
    tracker_.forget(service, server(0));
    EXPECT_FALSE(tracker_.is_cut_off(service, server(0)));
    EXPECT_EQ(tracker_.servers_cut_off(), 0u);
    EXPECT_TRUE(tracker_.take_due_checks(now_ + seconds(1)).empty());
}

} // namespace
} // namespace bamboostream
