// Tests, in virtual time, which instances are asked for tunnels when many of them have lost their
// links to the backend servers themselves.

#include "bamboostream/Routing"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
#include <optional>
#include <rapidcheck/gtest.h>
#include <set>

namespace bamboostream {
namespace {

/// Times of the answers of an instance that connects, that is refused, and that gets no answer.
constexpr milliseconds connect_time{4};
constexpr milliseconds refusal_time{4};
constexpr milliseconds silence_time{100};
/// The time that is left for a tunnel after a direct connection was not answered.
constexpr milliseconds search_time{300};

enum class cut_manner : std::uint8_t { refused, silent };

carrier_search search_for(std::string server_domain, const std::string& server = "i-0") {
    carrier_search out;
    out.service = service_id("s");
    out.server = backend_id(server);
    out.server_domain = std::move(server_domain);
    return out;
}

/// The other instances of a deployment as seen by one instance of the failure domain d0.
class carriers_simulation {
public:
    carriers_simulation(int domains, int instances, std::uint64_t seed) : selector("d0", seed) {
        for (int i = 0; i < domains * instances; ++i) {
            candidates.push_back({fmt::format("c-{}", i), fmt::format("d{}", i % domains), 1.0});
        }
    }

    /// The answer of an instance and the time that it takes.
    std::pair<carrier_reply, milliseconds> reply_of(const carrier_candidate& carrier) const {
        carrier_reply reply;
        if (no_replies.contains(carrier.address)) {
            return {reply, search_time};
        }
        if (busy.contains(carrier.address)) {
            reply.answer = carrier_answer::busy;
            return {reply, connect_time};
        }
        const bool silent = manner == cut_manner::silent;
        reply.answer = silent ? carrier_answer::no_answer : carrier_answer::refused;
        if (cut_off.contains(carrier.address)) {
            reply.service = service_reach::not_reached;
        } else if (server_is_down) {
            reply.service = service_reach::reached;
        } else {
            reply.answer = carrier_answer::connected;
            return {reply, connect_time};
        }
        return {reply, silent ? silence_time : refusal_time};
    }

    /// Runs searches that begin at the same time. Returns when each found a tunnel, if it did.
    std::vector<std::optional<milliseconds>> run(std::vector<carrier_search> searches) {
        struct answer {
            std::size_t search;
            const carrier_candidate* carrier;
            carrier_reply reply;
        };
        std::vector<std::optional<milliseconds>> found(searches.size());
        std::vector<bool> ended(searches.size());
        std::multimap<time_point, answer> answers;
        const time_point began = now;
        const auto is_over = [&] {
            for (std::size_t i = 0; i < searches.size(); ++i) {
                if (!found[i] && !ended[i]) {
                    return false;
                }
            }
            return answers.empty();
        };
        for (; now < began + search_time + silence_time && !is_over(); now += milliseconds(1)) {
            while (!answers.empty() && answers.begin()->first <= now) {
                const answer it = answers.begin()->second;
                answers.erase(answers.begin());
                selector.record(searches[it.search], *it.carrier, it.reply, now);
                if (it.reply.answer == carrier_answer::connected && !found[it.search]) {
                    found[it.search] = std::chrono::duration_cast<milliseconds>(now - began);
                    ++carried[it.carrier->address];
                }
            }
            for (std::size_t i = 0; i < searches.size(); ++i) {
                if (found[i] || ended[i] || now >= began + search_time ||
                    (searches[i].in_flight == 0 && searches[i].waits_for_others &&
                     now < searches[i].next_round)) {
                    continue;
                }
                for (const chosen_carrier& it : selector.choose(searches[i], candidates, now)) {
                    const auto [reply, time] = reply_of(*it.carrier);
                    answers.emplace(now + time, answer{i, it.carrier, reply});
                    asked.push_back(it.carrier);
                }
                ended[i] = carrier_selector::is_exhausted(searches[i]);
            }
        }
        for (std::size_t i = 0; i < searches.size(); ++i) {
            if (!found[i]) {
                selector.record_not_found(searches[i], now);
            }
        }
        return found;
    }

    std::optional<milliseconds> run(const std::string& server_domain = "d0",
                                    const std::string& server = "i-0") {
        selector.expire(now);
        if (!selector.may_search(backend_id(server), now)) {
            now += milliseconds(1);
            return std::nullopt;
        }
        return run(std::vector{search_for(server_domain, server)}).front();
    }

    void cut_off_domain(const std::string& domain) {
        for (const carrier_candidate& it : candidates) {
            if (it.failure_domain == domain) {
                cut_off.insert(it.address);
            }
        }
    }

    carrier_selector selector;
    std::vector<carrier_candidate> candidates;
    std::set<std::string> cut_off;
    std::set<std::string> busy;
    std::set<std::string> no_replies;
    cut_manner manner = cut_manner::refused;
    bool server_is_down = false;
    time_point now = time_point(std::chrono::hours(1));
    std::vector<const carrier_candidate*> asked;
    std::map<std::string, int> carried;
};

// Guards against first tries that fail although an instance could carry them, whatever instances
// are cut off.
RC_GTEST_PROP(carrier_selector, finds_any_instance_that_reaches_the_server, ()) {
    const int domains = *rc::gen::inRange(1, 5);
    const int instances = *rc::gen::inRange(1, domains > 3 ? 30 : 41);
    carriers_simulation simulation(domains, instances, *rc::gen::arbitrary<std::uint64_t>());
    simulation.manner = *rc::gen::element(cut_manner::refused, cut_manner::silent);
    const auto left = *rc::gen::inRange<std::size_t>(1, simulation.candidates.size() + 1);
    std::vector<carrier_candidate> order = simulation.candidates;
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    std::shuffle(order.begin(), order.end(), random);
    for (std::size_t i = left; i < order.size(); ++i) {
        simulation.cut_off.insert(order[i].address);
    }
    const int servers = *rc::gen::inRange(1, 4);
    for (int i = 0; i < servers; ++i) {
        RC_ASSERT(simulation.run(fmt::format("d{}", i % domains), fmt::format("i-{}", i)));
        simulation.now += milliseconds(*rc::gen::inRange(0, 3'000));
    }
}

RC_GTEST_PROP(carrier_selector, finds_a_way_when_whole_failure_domains_are_cut_off, ()) {
    const int domains = *rc::gen::inRange(2, 17);
    const int instances = *rc::gen::inRange(1, 41);
    carriers_simulation simulation(domains, instances, *rc::gen::arbitrary<std::uint64_t>());
    simulation.manner = *rc::gen::element(cut_manner::refused, cut_manner::silent);
    const int cut = *rc::gen::inRange(1, domains);
    for (int i = 0; i < cut; ++i) {
        simulation.cut_off_domain(fmt::format("d{}", i));
    }
    RC_ASSERT(simulation.run(fmt::format("d{}", *rc::gen::inRange(0, domains))));
}

TEST(carrier_selector, asks_another_failure_domain_next) {
    carriers_simulation simulation(3, 25, 1);
    simulation.cut_off_domain("d0");
    simulation.manner = cut_manner::silent;
    EXPECT_LE(simulation.run("d0").value(), milliseconds(60));
    EXPECT_EQ(simulation.asked.size(), 2u);
}

// Guards against a failure domain that is cut off being asked for ever.
TEST(carrier_selector, asks_a_failure_domain_that_is_cut_off_once_per_pause) {
    carriers_simulation simulation(3, 25, 2);
    simulation.cut_off_domain("d0");
    simulation.manner = cut_manner::silent;
    simulation.run("d0");
    simulation.asked.clear();
    const time_point began = simulation.now;
    for (int i = 0; i < 20; ++i) {
        EXPECT_LE(simulation.run(fmt::format("d{}", i % 3), fmt::format("i-{}", i % 12)).value(),
                  milliseconds(40));
    }
    const auto pauses = (simulation.now - began) / milliseconds(2'500) + 1;
    EXPECT_LE(simulation.asked.size(), 20u + static_cast<std::size_t>(pauses));
}

// Guards against time lost on instances of which nothing is known where many are cut off.
TEST(carrier_selector, prefers_instances_that_have_connected_where_some_are_cut_off) {
    carriers_simulation simulation(3, 25, 12);
    simulation.manner = cut_manner::silent;
    for (std::size_t i = 0; i < simulation.candidates.size(); i += 2) {
        simulation.cut_off.insert(simulation.candidates[i].address);
    }
    for (int i = 0; i < 20; ++i) {
        simulation.run(fmt::format("d{}", i % 3), fmt::format("i-{}", i % 12));
    }
    int slow = 0;
    for (int i = 0; i < 60; ++i) {
        const auto found = simulation.run(fmt::format("d{}", i % 3), fmt::format("i-{}", i % 12));
        ASSERT_TRUE(found);
        slow += *found > connect_time ? 1 : 0;
        simulation.now += milliseconds(50);
    }
    // One in each failure domain whenever what is known of it has become invalid.
    EXPECT_LE(slow, 9);
}

// Guards against all tunnels leading over the instances that were found first.
TEST(carrier_selector, spreads_tunnels_over_all_instances_that_reach_the_service) {
    carriers_simulation simulation(3, 25, 3);
    simulation.cut_off_domain("d0");
    constexpr int searches = 1'000;
    for (int i = 0; i < searches; ++i) {
        simulation.run(fmt::format("d{}", i % 3), fmt::format("i-{}", i % 12));
    }
    EXPECT_EQ(simulation.carried.size(), 50u);
    for (const auto& [carrier, count] : simulation.carried) {
        EXPECT_LE(count, 2 * searches / 50) << carrier;
    }
}

TEST(carrier_selector, spreads_tunnels_by_weight) {
    carriers_simulation simulation(3, 25, 4);
    simulation.cut_off_domain("d0");
    constexpr double large = 4.0;
    std::set<std::string> large_ones;
    for (std::size_t i = 0; i < 12; ++i) {
        simulation.candidates[i].weight = large;
        if (!simulation.cut_off.contains(simulation.candidates[i].address)) {
            large_ones.insert(simulation.candidates[i].address);
        }
    }
    for (int i = 0; i < 2'000; ++i) {
        simulation.run(fmt::format("d{}", i % 3), fmt::format("i-{}", i % 12));
    }
    double by_large = 0.0;
    double by_small = 0.0;
    for (const auto& [carrier, count] : simulation.carried) {
        (large_ones.contains(carrier) ? by_large : by_small) += count;
    }
    const double ratio = by_large / static_cast<double>(large_ones.size()) /
                         (by_small / static_cast<double>(50 - large_ones.size()));
    EXPECT_NEAR(ratio, large, 1.0);
}

// Guards against callers of a failure domain that is cut off being refused once the instances that
// carry for it are full.
TEST(carrier_selector, full_instances_lead_to_others_that_reach_the_service) {
    carriers_simulation simulation(3, 25, 5);
    simulation.cut_off_domain("d0");
    simulation.run("d0");
    for (const carrier_candidate& it : simulation.candidates) {
        if (it.failure_domain == "d1") {
            simulation.busy.insert(it.address);
        }
    }
    for (int i = 0; i < 200; ++i) {
        EXPECT_LE(simulation.run("d1", fmt::format("i-{}", i % 12)).value(), milliseconds(40)) << i;
        simulation.now += milliseconds(20);
    }
}

TEST(carrier_selector, a_dead_instance_costs_one_round) {
    carriers_simulation simulation(3, 8, 6);
    simulation.run("d1");
    simulation.no_replies.insert(simulation.carried.begin()->first);
    for (int i = 0; i < 50; ++i) {
        EXPECT_LE(simulation.run("d1", fmt::format("i-{}", i)).value(), milliseconds(40));
        simulation.now += milliseconds(100);
    }
}

// Guards against a server that is down causing a request to every instance.
TEST(carrier_selector, a_server_that_is_down_ends_the_search) {
    for (const cut_manner manner : {cut_manner::refused, cut_manner::silent}) {
        carriers_simulation simulation(3, 25, 7);
        simulation.server_is_down = true;
        simulation.manner = manner;
        EXPECT_FALSE(simulation.run());
        EXPECT_LE(simulation.asked.size(), 16u);
    }
}

// Guards against a crowd of requests to all instances when many callers arrive at once.
TEST(carrier_selector, concurrent_searches_ask_each_unknown_instance_once) {
    carriers_simulation simulation(3, 25, 8);
    simulation.cut_off_domain("d0");
    simulation.cut_off_domain("d1");
    simulation.manner = cut_manner::silent;
    std::vector<carrier_search> searches;
    for (int i = 0; i < 20; ++i) {
        searches.push_back(search_for(fmt::format("d{}", i % 3), fmt::format("i-{}", i % 12)));
    }
    for (const auto& found : simulation.run(searches)) {
        EXPECT_LE(found.value(), milliseconds(100));
    }
    std::map<std::string, int> asked;
    for (const carrier_candidate* it : simulation.asked) {
        if (simulation.cut_off.contains(it->address)) {
            EXPECT_EQ(++asked[it->address], 1) << it->address;
        }
    }
}

TEST(carrier_selector, asks_twice_in_other_failure_domains_before_one_that_is_cut_off) {
    carriers_simulation simulation(3, 25, 14);
    simulation.cut_off_domain("d0");
    simulation.run("d0");
    carrier_search search = search_for("d1");
    constexpr std::size_t asked_in_others = 4;
    while (search.asked < asked_in_others) {
        for (const chosen_carrier& it :
             simulation.selector.choose(search, simulation.candidates, simulation.now)) {
            EXPECT_NE(it.carrier->failure_domain, "d0") << search.asked;
        }
        simulation.now = search.next_round;
    }
}

TEST(carrier_selector, asks_few_instances_while_none_reaches_the_service) {
    carriers_simulation simulation(16, 40, 9);
    for (const carrier_candidate& it : simulation.candidates) {
        simulation.cut_off.insert(it.address);
    }
    simulation.manner = cut_manner::silent;
    const time_point began = simulation.now;
    for (int i = 0; simulation.now < began + seconds(20); ++i) {
        EXPECT_FALSE(simulation.run("d0", fmt::format("i-{}", i % 12)));
    }
    EXPECT_LE(simulation.asked.size(), 20u * 100u);
}

// Guards against callers being refused after a network failure of all instances has ended for some.
TEST(carrier_selector, asks_again_soon_if_no_instance_is_left) {
    for (const cut_manner manner : {cut_manner::refused, cut_manner::silent}) {
        carriers_simulation simulation(3, 3, 11);
        simulation.manner = manner;
        for (const carrier_candidate& it : simulation.candidates) {
            simulation.cut_off.insert(it.address);
        }
        simulation.run("d0");
        simulation.cut_off.clear();
        simulation.cut_off_domain("d0");
        std::optional<milliseconds> found;
        const time_point ended = simulation.now;
        while (!found && simulation.now < ended + seconds(2)) {
            found = simulation.run("d0");
        }
        EXPECT_LE(simulation.now - ended, seconds(1));
    }
}

// Guards against a new server not being reached because all servers before it were down.
TEST(carrier_selector, asks_at_once_for_a_server_that_has_just_joined) {
    carriers_simulation simulation(3, 3, 13);
    for (const carrier_candidate& it : simulation.candidates) {
        simulation.cut_off.insert(it.address);
    }
    EXPECT_FALSE(simulation.run("d0", "i-0"));
    simulation.cut_off.clear();
    simulation.cut_off_domain("d0");
    EXPECT_TRUE(simulation.run("d0", "i-1"));
}

TEST(carrier_selector, forgets_what_is_old) {
    carriers_simulation simulation(3, 25, 10);
    simulation.cut_off_domain("d0");
    simulation.run("d0");
    EXPECT_GT(simulation.selector.size(), 0u);
    simulation.now += seconds(10);
    simulation.selector.expire(simulation.now);
    EXPECT_EQ(simulation.selector.size(), 0u);
}

} // namespace
} // namespace bamboostream
