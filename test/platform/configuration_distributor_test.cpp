// A configuration that takes long on small machines' links reaches every instance, over real links.

#include "bamboostream/src/Control/async_wait.h"
#include "test/platform/peer_group.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <random>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

constexpr double link_mbps = 10.0;
/// Deployments want a configuration in force everywhere within 2 to 4 s of the store's word.
constexpr milliseconds in_force_within{3'000};

/// A route as operators write them; names that no compression makes short.
std::string route_text(std::mt19937_64& random) {
    const auto name = [&] { return fmt::format("{:016x}", random()); };
    return fmt::format(
        R"({{"name":"r-{}","host":"{}.example","path_prefix":"/{}/","kind":"streaming",)"
        R"("timeout_ms":39000,"slo_ms":1800,"priority":0,"service":"s","max_attempts":1,)"
        R"("anonymous":false,"sticky":true,"resumable":false,"gap_slo_ms":180}})",
        name(), name(), name());
}

std::string document_text(int version, const std::vector<std::string>& routes) {
    return fmt::format(R"({{"version":{},"routes":[{}],"services":[],"limits":{{}}}})", version,
                       fmt::join(routes, ","));
}

class configuration_distributor : public testing::Test {
protected:
    void start(peer_group& group) {
        write(group, 1, 10);
        for (const auto& it : group.all) {
            it->spread->start();
            it->news->start();
            it->follower.start(*it->news);
        }
        group.run_for(milliseconds(1'500));
    }
    void write(peer_group& group, int version, std::size_t routes) {
        while (routes_.size() < routes) {
            routes_.push_back(route_text(random_));
        }
        document_ = document_text(version, routes_);
        group.records.append(
            record_topic::operator_documents,
            {std::string(group.all.front()->documents.configuration_key()), document_});
        written_ = monotonic_now();
    }
    static std::size_t holding(const peer_group& group, int version) {
        return static_cast<std::size_t>(
            std::count_if(group.all.begin(), group.all.end(),
                          [&](const auto& it) { return it->state.version() == version; }));
    }
    /// How long it took until all had the version; the limit when they hadn't by then.
    duration until_all_hold(peer_group& group, int version, duration limit) const {
        while (holding(group, version) < group.all.size() && monotonic_now() < written_ + limit) {
            group.run_for(milliseconds(10));
        }
        return monotonic_now() - written_;
    }

    std::mt19937_64 random_{11};
    std::vector<std::string> routes_;
    std::string document_;
    time_point written_{};
};

// Callers of an instance that the store turns away go by its old routes and get 404 on new ones,
// without end. The operator writes 8,000 routes. The instance is told of the version and asks a
// peer for it; over its link the document takes longer than it waits for an answer, and an answer
// that comes late was thrown away and asked for again.
TEST_F(configuration_distributor, an_instance_without_the_store_takes_it_over_a_narrow_link) {
    peer_group group(1, 2, link_mbps);
    start(group);
    peer_instance* reader = group.owners("store")[0];
    peer_instance* other = group.owners("store")[1];
    other->store.turned_away = true;
    group.run_for(milliseconds(100));
    write(group, 2, 8'000);
    until_all_hold(group, 2, in_force_within);
    EXPECT_EQ(reader->state.version(), 2);
    EXPECT_EQ(other->state.version(), 2);
}

// Many instances are told of a large configuration at the same moment, and the store serves its
// readers only. Callers at most of them went by the old one for as long as it took: whoever had it
// sent it whole to all that asked, each answer came later than its asker waited, and all asked
// again, so that the links were full and nobody got on.
// Cause: nothing bounded what was under way to askers that had given up. Evidence: the readers'
// links carried 25 MB a second and their memory grew from 24 to 520 MB, until they were ended.
TEST_F(configuration_distributor, all_take_it_at_the_same_moment) {
    constexpr int domains = 3;
    constexpr int instances_a_domain = 4;
    peer_group group(domains, instances_a_domain, link_mbps);
    start(group);
    const std::vector<peer_instance*> order = group.owners("store");
    for (std::size_t i = store_read_policy::reader_count; i < order.size(); ++i) {
        order[i]->store.turned_away = true;
    }
    group.run_for(milliseconds(100));
    std::uint64_t before = 0;
    for (const auto& it : group.all) {
        before += it->link->carried();
    }
    write(group, 2, 4'000);
    until_all_hold(group, 2, in_force_within);
    EXPECT_EQ(holding(group, 2), group.all.size());
    std::uint64_t carried = 0;
    for (const auto& it : group.all) {
        carried += it->link->carried();
    }
    // Each needs it once. What is told besides takes some hundred kilobytes in this time.
    EXPECT_LT(carried - before, group.all.size() * document_.size());
}

// All instances start at the same moment, after all were lost. Those that read for all read the
// configuration; the others, which had all read it whole while they should serve again, have it
// from them.
TEST_F(configuration_distributor, a_start_of_all_reads_it_at_few) {
    constexpr int domains = 4;
    constexpr int instances_a_domain = 6;
    peer_group group(domains, instances_a_domain, link_mbps);
    write(group, 1, 4'000);
    for (const auto& it : group.all) {
        it->spread->start();
        it->news->start();
        it->follower.start(*it->news);
    }
    until_all_hold(group, 1, in_force_within);
    EXPECT_EQ(holding(group, 1), group.all.size());
    group.run_for(milliseconds(1'000));
    int reads = 0;
    for (const auto& it : group.all) {
        reads += it->store.whole_documents();
    }
    EXPECT_LE(reads, static_cast<int>(store_read_policy::order_length));
}

// The store is being read for a version that others have told of, or one that has come is being
// read beside the requests. Callers of an instance that looks again and again meanwhile wait for
// its processor.
TEST_F(configuration_distributor, an_instance_that_waits_is_idle) {
    peer_group group(1, 2);
    start(group);
    peer_instance* other = group.owners("store")[1];
    other->store.turned_away = true;
    int looks = 0;
    other->spread->set_pause_condition([&looks] {
        ++looks;
        return true;
    });
    group.run_for(milliseconds(100));
    write(group, 2, 10);
    looks = 0;
    group.run_for(milliseconds(500));
    EXPECT_EQ(other->state.version(), 1);
    EXPECT_LT(looks, 30);
}

// Nobody else is there: callers of the only instance don't wait for one to hand anything on.
TEST_F(configuration_distributor, an_instance_alone_reads_at_once) {
    peer_group group(1, 1);
    write(group, 1, 10);
    group.all.front()->spread->start();
    group.all.front()->news->start();
    group.all.front()->follower.start(*group.all.front()->news);
    EXPECT_LT(until_all_hold(group, 1, seconds(2)), milliseconds(400));
}

// A large document is handed on over a small link. What comes behind it on that link is a probe
// whose sender suspects who is late by 300 ms, or a choice of an engine that a caller waits for; in
// one frame the document would hold it up for a second.
TEST_F(configuration_distributor, nothing_waits_behind_it) {
    peer_group group(1, 2, link_mbps);
    start(group);
    peer_instance* reader = group.owners("store")[0];
    peer_instance* other = group.owners("store")[1];
    other->store.turned_away = true;
    group.run_for(milliseconds(100));
    write(group, 2, 30'000);
    duration longest{};
    bool done = false;
    asio::co_spawn(
        group.context,
        [&]() -> asio::awaitable<void> {
            while (other->state.version() < 2 && monotonic_now() < written_ + seconds(6)) {
                link_failure why;
                const time_point asked = monotonic_now();
                co_await reader->links.call(other->address(), make_frame(wire::ProbeT{}),
                                            seconds(2), why);
                longest = std::max(longest, monotonic_now() - asked);
                co_await pause_for(milliseconds(10));
            }
            done = true;
        },
        asio::detached);
    while (!done) {
        group.run_for(milliseconds(20));
    }
    EXPECT_EQ(other->state.version(), 2);
    EXPECT_GT(monotonic_now() - written_, milliseconds(700));
    EXPECT_LT(longest, membership_timing{}.probe_timeout);
}

} // namespace
} // namespace bamboostream::test
