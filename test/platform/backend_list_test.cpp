// Tests the transfer of lists of backend servers between instances over slow links.

#include "test/platform/peer_group.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

constexpr double link_mbps = 10.0;
constexpr int servers = 11'000;

keyed_record server_record(int i) {
    return {
        fmt::format("i-{:08x}", i),
        fmt::format(R"({{"service":"s","address":"10.{}.{}.{}:8681","zone":"d{}","version":"v",)"
                    R"("slots":6,"state":"ready","cold_left_ms":0,"sequence":1}})",
                    i / 40'000, i / 200 % 200, i % 200, i % 4)};
}

// The store turns an instance away, and it asks a peer for the list of 11,000 servers, which takes
// 0.9 s over its link. The list used to be requested in one answer with a timeout of half a second
// and never arrived, so the instance refused its callers because it knew no servers. The cause is
// the same as with configurations: one answer whose size grows with the deployment.
TEST(backend_list_test, a_long_list_comes_over_a_small_link) {
    peer_group group(1, 2, link_mbps);
    for (int i = 0; i < servers; ++i) {
        group.records.append(record_topic::backend_entries, server_record(i));
    }
    peer_instance* source = group.owners("store")[0];
    peer_instance* requester = group.owners("store")[1];
    requester->store.turned_away = true;
    const auto start = [](peer_instance& it) {
        it.distributor->start();
        it.news->start();
        it.follower.start(*it.news);
    };
    // Changes are announced when they happen; an instance that starts later requests the list.
    requester->drops_store_news = true;
    start(*source);
    group.run_for(milliseconds(2'500));
    // Nor may an announcement contain the whole deployment: probes queued behind a megabyte arrive
    // a second late, and the receiver of such an announcement suspects its sender.
    EXPECT_LT(requester->link->carried(), 300'000u);
    requester->drops_store_news = false;
    start(*requester);
    const time_point limit = monotonic_now() + seconds(6);
    while (requester->forwarding.registry.all().size() < servers && monotonic_now() < limit) {
        group.run_for(milliseconds(50));
    }
    EXPECT_EQ(source->forwarding.registry.all().size(), static_cast<std::size_t>(servers));
    EXPECT_EQ(requester->forwarding.registry.all().size(), static_cast<std::size_t>(servers));
}

} // namespace
} // namespace bamboostream::test
