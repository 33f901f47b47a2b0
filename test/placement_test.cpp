#include "bamboostream/Placement"

#include <gtest/gtest.h>

namespace bamboostream {
namespace {

const instance_id a{"a", 1};
const instance_id b{"b", 1};
const time_point now{seconds(100)};

log_record acquire(std::int64_t offset, wall_time time, const instance_id& who) {
    return {offset, time, lease_table::acquire_record("p", who)};
}

// Two instances both believe that they hold the lease. The order and timestamps of the log decide,
// identically for every reader.
TEST(lease_table_test, first_holds_until_it_lapses_and_fencing_rises) {
    lease_table table(milliseconds(1'000));
    table.apply(acquire(0, 100, a));
    table.apply(acquire(1, 200, b));
    EXPECT_TRUE(table.held_by("p", a));
    EXPECT_EQ(table.find("p")->fencing, 0);
    table.apply(acquire(2, 900, a));
    EXPECT_EQ(table.find("p")->fencing, 0);
    table.apply(acquire(3, 1'800, b));
    EXPECT_TRUE(table.held_by("p", a));
    table.apply(acquire(4, 1'950, b));
    EXPECT_TRUE(table.held_by("p", b));
    EXPECT_EQ(table.find("p")->fencing, 4);
    // The previous holder continues after a pause and tries to renew its expired lease.
    table.apply(acquire(5, 2'000, a));
    EXPECT_TRUE(table.held_by("p", b));
}

TEST(lease_table_test, own_lapsed_lease_begins_anew_with_a_new_number) {
    lease_table table(milliseconds(1'000));
    table.apply(acquire(0, 100, a));
    table.apply(acquire(1, 5'000, a));
    EXPECT_EQ(table.find("p")->fencing, 1);
}

TEST(lease_table_test, released_lease_is_free_at_once) {
    lease_table table(milliseconds(1'000));
    table.apply(acquire(0, 100, a));
    table.apply({1, 150, lease_table::release_record("p", b)});
    EXPECT_TRUE(table.held_by("p", a));
    table.apply({2, 160, lease_table::release_record("p", a)});
    table.apply(acquire(3, 170, b));
    EXPECT_TRUE(table.held_by("p", b));
}

engine_state engine(const std::string& id, const std::string& version, std::uint32_t running = 0) {
    engine_state e;
    e.id = backend_id(id);
    e.model = "m";
    e.version = version;
    e.running = running;
    return e;
}

pool_settings desired(std::uint32_t least_serving) {
    pool_settings out;
    out.model = "m";
    out.version = "2";
    out.least_serving = least_serving;
    return out;
}

struct plan_case {
    const char* name;
    std::uint32_t least_serving;
    std::vector<engine_state> engines;
    time_point last_load;
    /// Engine that gets the order, empty for none.
    const char* expected;
    friend void PrintTo(const plan_case& c, std::ostream* out) { *out << c.name; }
};

engine_state loading(engine_state e) {
    e.loading = true;
    return e;
}

class plan_test : public testing::TestWithParam<plan_case> {};

TEST_P(plan_test, next_order_keeps_capacity_and_pace) {
    const plan_case& c = GetParam();
    const auto planned = plan_next_order(desired(c.least_serving), c.engines, {}, c.last_load, now);
    EXPECT_EQ(planned ? planned->engine.text() : "", c.expected);
}

INSTANTIATE_TEST_SUITE_P(
    plans, plan_test,
    testing::Values(
        plan_case{"all_as_wanted", 1, {engine("x", "2"), engine("y", "2")}, {}, ""},
        plan_case{"emptiest_first", 1, {engine("x", "1", 9), engine("y", "1", 2)}, {}, "y"},
        plan_case{"never_below_the_least", 2, {engine("x", "1"), engine("y", "1")}, {}, ""},
        plan_case{"one_load_at_a_time",
                  1,
                  {loading(engine("x", "1")), engine("y", "1"), engine("z", "1")},
                  {},
                  ""},
        plan_case{"paced",
                  1,
                  {engine("x", "1"), engine("y", "2"), engine("z", "2")},
                  now - milliseconds(300),
                  ""},
        plan_case{"after_the_pace",
                  1,
                  {engine("x", "1"), engine("y", "2")},
                  now - milliseconds(1'200),
                  "x"}),
    [](const auto& info) { return std::string(info.param.name); });

} // namespace
} // namespace bamboostream
