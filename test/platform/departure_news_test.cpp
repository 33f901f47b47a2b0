// Tests how all instances learn that a backend server leaves.

#include "test/platform/peer_group.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

/// Twelve instances, eight of which are readers of the store or their standbys, and one server.
class departure_news : public testing::TestWithParam<bool> {
protected:
    departure_news() {
        group_.records.append(record_topic::operator_documents,
                              {"config", R"({"version":1,"routes":[],"services":[],"limits":{}})"});
        write_entry("ready");
        for (const auto& it : group_.all) {
            it->distributor->start();
            it->news->start();
            it->follower.start(*it->news);
        }
        group_.run_for(milliseconds(1'500));
    }

    void write_entry(const std::string& state) {
        group_.records.append(
            record_topic::backend_entries,
            {server_.text(),
             fmt::format(R"({{"service":"s","address":"10.0.0.1:80","zone":"norra",)"
                         R"("version":"v","slots":6,"state":"{}",)"
                         R"("cold_left_ms":0,"sequence":1}})",
                         state)});
    }

    bool all_know_it() const {
        return std::ranges::none_of(group_.all, [this](const auto& it) {
            return it->forwarding.registry.takes_work(server_);
        });
    }

    const backend_id server_{"i-1"};
    peer_group group_{3, 4};
};

INSTANTIATE_TEST_SUITE_P(table, departure_news, testing::Bool(), [](const auto& info) {
    return info.param ? "entry_removed" : "announced";
});

// Guards against an instance that never learns of a departure: it missed what the readers had from
// the server itself, and they announced the record of it without what they knew already.
TEST_P(departure_news, reaches_an_instance_that_missed_what_the_readers_knew_before) {
    peer_instance& other = *group_.owners("store").back();
    other.drops_store_news = true;
    for (const auto& it : group_.all) {
        if (it.get() != &other) {
            it->forwarding.registry.mark_leaving(server_);
            if (GetParam()) {
                it->forwarding.registry.forget(server_);
            }
            it->state.report_changes(update_source::server, monotonic_now());
        }
    }
    group_.run_for(milliseconds(100));
    other.drops_store_news = false;
    group_.run_for(milliseconds(50));
    ASSERT_TRUE(other.forwarding.registry.takes_work(server_));
    if (GetParam()) {
        group_.records.append(record_topic::backend_entries, {server_.text(), ""});
    } else {
        write_entry("draining");
    }
    const time_point began = monotonic_now();
    while (!all_know_it() && monotonic_now() - began < milliseconds(1'500)) {
        group_.run_for(milliseconds(5));
    }
    EXPECT_TRUE(all_know_it());
}

} // namespace
} // namespace bamboostream::test
