// Simulates how long a configuration takes to reach the last instance, and how many bytes the
// busiest instance sends, over links of given speed. No network is used.

#include "test/platform/document_simulation.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <iostream>

namespace bamboostream::test {
namespace {

/// How the operator changes the configuration.
enum class change_kind : std::uint8_t { one_route, all_routes };

struct simulation_row {
    std::string name;
    simulated_deployment plan;
    std::size_t routes;
    change_kind change;
    int last_ms;
    friend void PrintTo(const simulation_row& row, std::ostream* out) { *out << row.name; }
};

simulated_deployment deployment(int instances, double unreachable_share, bool has_dead_relay) {
    return {.instances = instances,
            .failure_domains = instances > 16 ? 5 : 4,
            .large_link_interval = instances > 16 ? 18 : 0,
            .unreachable_share = unreachable_share,
            .has_dead_relay = has_dead_relay};
}

std::vector<simulation_row> rows() {
    std::vector<simulation_row> out;
    for (const int instances : {8, 75, 300, 1'100}) {
        for (const std::size_t routes : {50, 1'500, 20'000}) {
            for (const bool with_failures : {false, true}) {
                const simulated_deployment plan =
                    deployment(instances, with_failures ? 0.1 : 0.0, with_failures);
                const std::string name = fmt::format("{}_with_{}_routes{}", instances, routes,
                                                     with_failures ? "_trouble" : "");
                // Two seconds from the write to the store is the shortest limit that a deployment
                // sets.
                const int last_ms = with_failures || instances > 300 ? 2'000 : 1'000;
                out.push_back({"one_at_" + name, plan, routes, change_kind::one_route, last_ms});
                out.push_back({"all_at_" + name, plan, routes, change_kind::all_routes, last_ms});
            }
        }
    }
    return out;
}

class document_spreads : public testing::TestWithParam<simulation_row> {};

INSTANTIATE_TEST_SUITE_P(table, document_spreads, testing::ValuesIn(rows()),
                         [](const auto& info) { return info.param.name; });

// The operator changes one route, or adds all routes but fifty, either without failures or while a
// tenth of the instances is unreachable and one relay is dead. Until the new configuration arrives,
// an instance serves its callers by the old one. No instance has to read the store.
TEST_P(document_spreads, to_the_last_instance_in_time) {
    const simulation_row& row = GetParam();
    const bool all = row.change == change_kind::all_routes;
    auto before = large_document_text(1, all ? 50 : row.routes, 3);
    auto after = large_document_text(2, row.routes, 3);
    document_simulation simulation(row.plan, std::make_shared<const std::string>(std::move(before)),
                                   std::make_shared<const std::string>(std::move(after)));
    const simulation_result outcome = simulation.run();
    std::cout << fmt::format(
        "{}: last {:.0f} ms, busiest {} kB, all {} kB, without {}, to the store {}\n", row.name,
        to_milliseconds(outcome.last), outcome.max_sent / 1000, outcome.total_sent / 1000,
        outcome.incomplete, outcome.used_store);
    EXPECT_EQ(outcome.incomplete, 0);
    EXPECT_LE(to_milliseconds(outcome.last), row.last_ms);
    EXPECT_EQ(outcome.used_store, 0);
}

} // namespace
} // namespace bamboostream::test
