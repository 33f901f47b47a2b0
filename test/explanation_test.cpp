// Tests that a refused request can be traced to the crashes of servers that ran the same content,
// and a stream over the tries of its caller.

#include "bamboostream/Report"

#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

const std::vector<std::string> logs = {
    "1000 229 info backend_connection_lost request=a digest=d1 backend=i-1 process=ended",
    "2000 229 info backend_connection_lost request=b digest=d1 backend=i-2 process=ended",
    "2500 229 info backend_connection_lost request=c digest=d2 backend=i-2 process=ended",
    "2600 229 info backend_connection_lost request=e digest=d1 backend=i-4 process=running",
    "90000 435 warning request_quarantined digest=d1 servers=i-1,i-2,i-3",
    "95000 410 info request_refused request=f reason=ends_servers status=503 digest=d1",
    "96000 410 info request_refused request=g reason=not_ready status=503",
    "98000 437 info quarantine_trial digest=d1 waited_ms=0",
    "99000 436 info request_released digest=d1 cause=answered",
    "100000 434 info request_sent request=s1 software_version=blue",
    "101000 444 info stream_taken_up request=s2 resumes=s1 software_version=blue",
    "102000 444 info stream_taken_up request=s3 resumes=s1 software_version=unknown",
    "102001 443 info stream_not_continued request=s3 cause=origin_unknown",
    "103000 444 info stream_taken_up request=t2 resumes=t1 software_version=blue",
};

struct explanation_row {
    std::string name;
    std::string asked;
    std::vector<std::int64_t> times;
    friend void PrintTo(const explanation_row& row, std::ostream* out) { *out << row.name; }
};

class explanation : public testing::TestWithParam<explanation_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, explanation,
    testing::Values(
        explanation_row{"by_id", "f", {1000, 2000, 90000, 95000, 98000, 99000}},
        explanation_row{"by_digest", "d1", {1000, 2000, 90000, 98000, 99000}},
        explanation_row{"of_another_refusal", "g", {96000}},
        explanation_row{"of_a_stream_s_first_try", "s1", {100000, 101000, 102000, 102001}},
        explanation_row{"of_a_stream_s_last_try", "s3", {100000, 101000, 102000, 102001}},
        explanation_row{"of_nothing_known", "h", {}}),
    [](const auto& info) { return info.param.name; });

// Guards against a quarantined request, or a stream that wasn't continued, whose cause cannot be
// found in the logs.
TEST_P(explanation, shows_what_counts_against_a_request) {
    std::vector<log_line> lines;
    for (const std::string& text : logs) {
        lines.push_back(*parse_log_line(text, "1.log"));
    }
    std::vector<std::int64_t> times;
    for (const log_line& line : explain_request(GetParam().asked, lines)) {
        times.push_back(line.time_ms);
    }
    EXPECT_EQ(times, GetParam().times);
}

} // namespace
} // namespace bamboostream::test
