// Tests, over real connections, that a configuration that is large for the links of small machines
// reaches every instance.

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
/// Deployments require a configuration to be in force everywhere within 2 to 4 s of its write to
/// the store.
constexpr milliseconds max_apply_time{3'000};

/// Returns a route as operators write them, with random names that don't compress.
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
            it->distributor->start();
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
    /// Runs until all instances have the version, at most until `limit` after the write. Returns
    /// the time since the write.
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

// Guards against an instance that the store turns away and that never gets a new configuration, so
// that callers get 404 on new routes. The operator writes 8,000 routes. Over the instance's link
// the document took longer than the answer timeout; late answers were discarded and requested
// again.
TEST_F(configuration_distributor, an_instance_without_the_store_takes_it_over_a_narrow_link) {
    peer_group group(1, 2, link_mbps);
    start(group);
    peer_instance* reader = group.owners("store")[0];
    peer_instance* other = group.owners("store")[1];
    other->store.turned_away = true;
    group.run_for(milliseconds(100));
    write(group, 2, 8'000);
    until_all_hold(group, 2, max_apply_time);
    EXPECT_EQ(reader->state.version(), 2);
    EXPECT_EQ(other->state.version(), 2);
}

// Many instances learn of a large configuration at the same moment, and the store serves only its
// readers. Holders used to send the whole document to every requester; each answer arrived after
// its requester's timeout and all asked again, which saturated the links, and most instances kept
// the old version. Nothing limited the data in flight to requesters that had given up: the readers'
// links carried 25 MB/s and their memory grew from 24 to 520 MB, until they were killed.
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
    until_all_hold(group, 2, max_apply_time);
    EXPECT_EQ(holding(group, 2), group.all.size());
    std::uint64_t carried = 0;
    for (const auto& it : group.all) {
        carried += it->link->carried();
    }
    // Each instance needs the document once. All other frames take some hundred kilobytes in this
    // time.
    EXPECT_LT(carried - before, group.all.size() * document_.size());
}

// All instances restart at the same moment. Only the instances in the reading order read the
// configuration from the store; the others get it from them. All used to read it whole from the
// store, at the time when they should resume serving.
TEST_F(configuration_distributor, a_start_of_all_reads_it_at_few) {
    constexpr int domains = 4;
    constexpr int instances_a_domain = 6;
    peer_group group(domains, instances_a_domain, link_mbps);
    write(group, 1, 4'000);
    for (const auto& it : group.all) {
        it->distributor->start();
        it->news->start();
        it->follower.start(*it->news);
    }
    until_all_hold(group, 1, max_apply_time);
    EXPECT_EQ(holding(group, 1), group.all.size());
    group.run_for(milliseconds(1'000));
    int reads = 0;
    for (const auto& it : group.all) {
        reads += it->store.full_document_reads();
    }
    EXPECT_LE(reads, static_cast<int>(store_read_policy::order_length));
}

// While the store is being read for an announced version, or a received version is being parsed,
// the distributor is paused. Polling the pause condition in a busy loop would take the CPU time
// that requests need.
TEST_F(configuration_distributor, an_instance_that_waits_is_idle) {
    peer_group group(1, 2);
    start(group);
    peer_instance* other = group.owners("store")[1];
    other->store.turned_away = true;
    int polls = 0;
    other->distributor->set_pause_condition([&polls] {
        ++polls;
        return true;
    });
    group.run_for(milliseconds(100));
    write(group, 2, 10);
    polls = 0;
    group.run_for(milliseconds(500));
    EXPECT_EQ(other->state.version(), 1);
    EXPECT_LT(polls, 30);
}

// An instance without peers reads the store at once, instead of waiting for a peer to provide the
// configuration.
TEST_F(configuration_distributor, an_instance_alone_reads_at_once) {
    peer_group group(1, 1);
    write(group, 1, 10);
    group.all.front()->distributor->start();
    group.all.front()->news->start();
    group.all.front()->follower.start(*group.all.front()->news);
    EXPECT_LT(until_all_hold(group, 1, seconds(2)), milliseconds(400));
}

// A large document is sent over a slow link that also carries probes, whose sender suspects a peer
// that answers 300 ms late, and engine choices that callers wait for. Sent in one frame, the
// document would delay them by a second.
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
