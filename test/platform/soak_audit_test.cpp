// Breaks each guarantee that the soak test checks once, and expects the audit to report it.

#include "test/platform/soak_audit.h"
#include "test/platform/soak_plan.h"

#include <functional>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

const time_point begin = time_point{} + std::chrono::hours(1);

struct audit_row {
    std::string name;
    std::function<void(soak_audit&)> report_events;
    std::size_t violations;
};

void PrintTo(const audit_row& row, std::ostream* out) {
    *out << row.name;
}

/// Nine of ten new streams begin, and some of those that are taken up go on.
void take_up(soak_audit& audit, int all, int continued) {
    for (int i = 0; i < 10; ++i) {
        audit.stream_asked(i < 9);
    }
    for (int i = 0; i < all; ++i) {
        audit.stream_taken_up(i < continued);
    }
    audit.check_taken_up();
}

/// `tried` first tries at partitioned instances, of which `served` are served, beside 20 at others.
void try_first(soak_audit& audit, int tried, int others_served, int served) {
    const time_point now = time_point(std::chrono::hours(1));
    for (int i = 0; i < 20; ++i) {
        audit.first_try_ended(now, false, i < others_served);
    }
    for (int i = 0; i < tried; ++i) {
        audit.first_try_ended(now, true, i < served);
    }
    audit.check_first_tries();
}

/// Requests from an instance that had been told of a limit of 2.4 a second, in 4 s.
void ask_limited(soak_audit& audit, int requests, bool excused) {
    audit.limit_named("s", 2.4, begin);
    audit.limit_told("s", 1, begin);
    for (int i = 0; i < requests; ++i) {
        audit.limited_server_asked("s", 1, excused, begin + milliseconds(600 + 170 * i));
        audit.limited_server_asked("s", 2, false, begin + milliseconds(600 + 170 * i));
    }
}

class soak_audit_test : public testing::TestWithParam<audit_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, soak_audit_test,
    testing::Values(
        audit_row{"sound",
                  [](soak_audit& a) {
                      a.ran("r", "s");
                      a.ended("r", observed_outcome::answered, "r");
                      a.ended("q", observed_outcome::not_run, "");
                      a.ran("u", "s");
                      a.ended("u", observed_outcome::unknown, "");
                      a.event("e", 0, "v1");
                      a.event("e", 1, "v1");
                      a.completed("e", 2);
                  },
                  0},
        audit_row{"ran_twice",
                  [](soak_audit& a) {
                      a.ran("r", "s");
                      a.ran("r", "t");
                  },
                  1},
        audit_row{"repeatable_ran_twice",
                  [](soak_audit& a) {
                      a.ran("r", "s", true);
                      a.ran("r", "t", true);
                  },
                  0},
        audit_row{"two_software_versions",
                  [](soak_audit& a) {
                      a.event("e", 0, "v1");
                      a.event("e", 1, "v1");
                      a.event("e", 2, "blue");
                      a.event("f", 0, "blue");
                  },
                  1},
        audit_row{"few_streams_go_on", [](soak_audit& a) { take_up(a, 12, 5); }, 1},
        audit_row{"half_of_the_streams_go_on", [](soak_audit& a) { take_up(a, 12, 6); }, 0},
        audit_row{"first_tries_at_partitioned_instances",
                  [](soak_audit& a) { try_first(a, 40, 20, 19); }, 1},
        audit_row{"first_tries_like_the_others", [](soak_audit& a) { try_first(a, 40, 20, 30); },
                  0},
        audit_row{"few_first_tries_at_partitioned_instances",
                  [](soak_audit& a) { try_first(a, 10, 20, 0); }, 0},
        audit_row{"first_tries_while_the_others_serve_none",
                  [](soak_audit& a) { try_first(a, 40, 0, 0); }, 0},
        audit_row{"few_streams_taken_up", [](soak_audit& a) { take_up(a, 11, 0); }, 0},
        audit_row{"refused_after_a_run",
                  [](soak_audit& a) {
                      a.ran("r", "s");
                      a.ended("r", observed_outcome::not_run, "");
                  },
                  1},
        audit_row{"ran_after_a_refusal",
                  [](soak_audit& a) {
                      a.ended("r", observed_outcome::not_run, "");
                      a.ran("r", "s");
                  },
                  1},
        audit_row{"another_s_answer",
                  [](soak_audit& a) { a.ended("r", observed_outcome::answered, "q"); }, 1},
        audit_row{"own_failure", [](soak_audit& a) { a.ended("r", observed_outcome::failed, "r"); },
                  0},
        audit_row{"another_s_failure",
                  [](soak_audit& a) { a.ended("r", observed_outcome::failed, "q"); }, 1},
        audit_row{"own_event", [](soak_audit& a) { a.event_brought("r", "r"); }, 0},
        audit_row{"another_s_event", [](soak_audit& a) { a.event_brought("r", "q"); }, 1},
        audit_row{"event_missing",
                  [](soak_audit& a) {
                      a.event("e", 0, "v1");
                      a.event("e", 2, "v1");
                  },
                  1},
        audit_row{"event_twice",
                  [](soak_audit& a) {
                      a.event("e", 0, "v1");
                      a.event("e", 0, "v1");
                  },
                  1},
        audit_row{"complete_too_early",
                  [](soak_audit& a) {
                      a.event("e", 0, "v1");
                      a.completed("e", 2);
                  },
                  1},
        audit_row{"server_that_left",
                  [](soak_audit& a) { a.request_reached_left_server("r", "s"); }, 1},
        audit_row{"harmful_request_in_time",
                  [](soak_audit& a) {
                      for (int i = 0; i < 8; ++i) {
                          a.server_crashed("/h", begin + milliseconds(100 * i), true);
                      }
                      a.quarantined("r", "/h");
                  },
                  0},
        audit_row{"harmful_request_never_held",
                  [](soak_audit& a) {
                      for (int i = 0; i < 10; ++i) {
                          a.server_crashed("/h", begin + seconds(i), true);
                      }
                  },
                  1},
        audit_row{"harmful_request_by_instances_out_of_touch",
                  [](soak_audit& a) {
                      for (int i = 0; i < 10; ++i) {
                          a.server_crashed("/h", begin + seconds(i), false);
                      }
                  },
                  0},
        audit_row{"limit_kept", [](soak_audit& a) { ask_limited(a, 19, false); }, 0},
        audit_row{"limit_exceeded", [](soak_audit& a) { ask_limited(a, 20, false); }, 1},
        audit_row{"limit_exceeded_by_disturbed_instances",
                  [](soak_audit& a) { ask_limited(a, 20, true); }, 0},
        audit_row{"innocent_request_held", [](soak_audit& a) { a.quarantined("r", "/a/x"); }, 1},
        audit_row{"process_ended", [](soak_audit& a) { a.process_exited("p", 139); }, 1},
        audit_row{"not_recovered", [](soak_audit& a) { a.not_recovered("i", "503"); }, 1}),
    [](const auto& info) { return info.param.name; });

TEST_P(soak_audit_test, finds_each_broken_promise) {
    soak_audit audit;
    GetParam().report_events(audit);
    EXPECT_EQ(audit.violations().size(), GetParam().violations);
}

struct status_row {
    int status;
    bool complete;
    observed_outcome outcome;
};

void PrintTo(const status_row& row, std::ostream* out) {
    *out << row.status << (row.complete ? ", complete" : ", incomplete");
}

class soak_audit_status : public testing::TestWithParam<status_row> {};

INSTANTIATE_TEST_SUITE_P(table, soak_audit_status,
                         testing::Values(status_row{200, true, observed_outcome::answered},
                                         status_row{200, false, observed_outcome::unknown},
                                         status_row{500, true, observed_outcome::failed},
                                         status_row{500, false, observed_outcome::unknown},
                                         status_row{503, true, observed_outcome::not_run},
                                         status_row{503, false, observed_outcome::not_run},
                                         status_row{429, true, observed_outcome::not_run},
                                         status_row{421, true, observed_outcome::not_run},
                                         status_row{408, true, observed_outcome::not_run},
                                         status_row{502, true, observed_outcome::unknown},
                                         status_row{504, true, observed_outcome::unknown},
                                         status_row{0, false, observed_outcome::unknown}));

// Guards against a promise "not run" that isn't checked because of its status.
TEST_P(soak_audit_status, tells_the_outcome) {
    EXPECT_EQ(outcome_of(GetParam().status, GetParam().complete), GetParam().outcome);
}

// A failed run can only be reproduced if its seed yields the same faults again.
TEST(soak_plan_test, a_seed_always_gives_the_same_plan) {
    EXPECT_EQ(print(make_soak_plan(7, milliseconds(9'000))),
              print(make_soak_plan(7, milliseconds(9'000))));
    EXPECT_NE(print(make_soak_plan(7, milliseconds(9'000))),
              print(make_soak_plan(8, milliseconds(9'000))));
}

} // namespace
} // namespace bamboostream::test
