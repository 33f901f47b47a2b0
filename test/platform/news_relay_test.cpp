// Tests, over real connections, that the announcements of store readers reach many instances
// through relays.

#include "test/platform/peer_group.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <numeric>
#include <set>

namespace bamboostream::test {
namespace {

constexpr int domains = 3;
constexpr int instances_a_domain = 4;
/// Well below 650 ms, after which a view that was fresh when the relay was lost counts as old and a
/// substitute reads the store.
constexpr milliseconds max_failover_time{300};

class news_relay : public testing::Test {
protected:
    news_relay() {
        add_server("i-0");
        write_configuration(1);
        for (const auto& it : group_.all) {
            it->distributor->start();
            it->news->start();
            it->follower.start(*it->news);
        }
        group_.run_for(milliseconds(1'500));
    }
    void add_server(const std::string& id) {
        group_.records.append(record_topic::backend_entries,
                              {id, fmt::format(R"({{"service":"s","address":"10.0.0.1:80",
"zone":"z","version":"v","slots":6,"state":"ready","cold_left_ms":0,"sequence":1}})")});
    }
    void write_configuration(int version) {
        group_.records.append(
            record_topic::operator_documents,
            {std::string(group_.all.front()->documents.configuration_key()),
             fmt::format(R"({{"version":{},"routes":[],"services":[],"limits":{{}}}})", version)});
    }
    int holding_configuration(int version) const {
        return static_cast<int>(
            std::count_if(group_.all.begin(), group_.all.end(),
                          [&](const auto& it) { return it->state.version() == version; }));
    }
    bool knows(const peer_instance& it, const std::string& id) const {
        return it.forwarding.registry.find(backend_id(id)) != nullptr;
    }
    /// Returns how many instances know the server, not counting the lost one.
    int knowing(const std::string& id) const {
        return static_cast<int>(
            std::count_if(group_.all.begin(), group_.all.end(),
                          [&](const auto& it) { return it.get() != lost_ && knows(*it, id); }));
    }
    std::vector<peer_instance*> relays(const std::string& domain) const {
        std::vector<peer_instance*> out;
        for (const std::string& address :
             group_.all.front()->membership->owners_in(domain, "relay", 2)) {
            out.push_back(&group_.at(address));
        }
        return out;
    }
    int calls() const {
        return std::accumulate(group_.all.begin(), group_.all.end(), 0,
                               [](int sum, const auto& it) { return sum + it->store.calls(); });
    }

    peer_group group_{domains, instances_a_domain};
    const peer_instance* lost_ = nullptr;
};

// A server registers. The readers learn of it from the store, and all other instances from the
// readers and their relays, without calling the store.
TEST_F(news_relay, all_learn_without_reading) {
    const std::vector<peer_instance*> order = group_.owners("store");
    const int before = calls();
    const int before_of_readers = order[0]->store.calls() + order[1]->store.calls();
    add_server("i-1");
    group_.run_for(milliseconds(300));
    EXPECT_EQ(knowing("i-1"), domains * instances_a_domain);
    const int of_readers = order[0]->store.calls() + order[1]->store.calls() - before_of_readers;
    EXPECT_EQ(calls() - before, of_readers);
    EXPECT_GT(of_readers, 0);
}

// The operator writes a configuration. It is passed from peer to peer; only the readers call the
// store.
TEST_F(news_relay, a_configuration_is_handed_on) {
    const std::vector<peer_instance*> order = group_.owners("store");
    const int before = calls() - order[0]->store.calls() - order[1]->store.calls();
    write_configuration(2);
    const time_point written = monotonic_now();
    const int all = domains * instances_a_domain;
    while (holding_configuration(2) < all && monotonic_now() < written + seconds(3)) {
        group_.run_for(milliseconds(10));
    }
    EXPECT_EQ(holding_configuration(2), all);
    EXPECT_LT(monotonic_now() - written, peer_answer_timeout + milliseconds(150));
    EXPECT_EQ(calls() - order[0]->store.calls() - order[1]->store.calls(), before);
}

/// How the relay of the first reader's announcements in a failure domain is lost: it dies, or it no
/// longer receives announcements.
struct relay_loss {
    std::string name;
    bool dies;
    friend void PrintTo(const relay_loss& row, std::ostream* out) { *out << row.name; }
};
class lost_relay : public news_relay, public testing::WithParamInterface<relay_loss> {};

INSTANTIATE_TEST_SUITE_P(table, lost_relay,
                         testing::Values(relay_loss{"dead", true}, relay_loss{"deaf", false}),
                         [](const auto& info) { return info.param.name; });

// A relay dies, or stops receiving the reader's announcements while all other frames reach it, so
// that failure detection doesn't suspect it. The instances of its failure domain still receive the
// second reader's announcements through another relay. They learn of changes before their views are
// old and they read the store themselves.
TEST_P(lost_relay, is_made_up_for) {
    // The readers announce directly in their own failure domains.
    std::set<std::string> without_reader = group_.all.front()->membership->failure_domains();
    for (const peer_instance* reader : {group_.owners("store")[0], group_.owners("store")[1]}) {
        without_reader.erase(reader->membership->own_failure_domain().text());
    }
    ASSERT_EQ(without_reader.size(), 1u);
    const std::string& domain = *without_reader.begin();
    const std::vector<peer_instance*> in_order = relays(domain);
    peer_instance* relay = in_order.front();
    const time_point limit = monotonic_now() + seconds(3);
    while (in_order.back()->forwarding.entries_view.age(monotonic_now()) > milliseconds(40) &&
           monotonic_now() < limit) {
        group_.run_for(milliseconds(5));
    }
    lost_ = relay;
    relay->drops_store_news = true;
    if (GetParam().dies) {
        group_.kill(*relay);
    }
    add_server("i-1");
    const time_point added_at = monotonic_now();
    const int others = domains * instances_a_domain - 1;
    while (knowing("i-1") < others && monotonic_now() < added_at + seconds(3)) {
        group_.run_for(milliseconds(10));
    }
    EXPECT_EQ(knowing("i-1"), others);
    EXPECT_LT(monotonic_now() - added_at, max_failover_time);
}

} // namespace
} // namespace bamboostream::test
