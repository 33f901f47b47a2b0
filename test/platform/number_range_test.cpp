// Numbers of any size from outside the process: they are converted without overflow.

#include "bamboostream/Gateway"
#include "bamboostream/src/Core/bounded_duration.h"
#include "bamboostream/src/Core/clamped_cast.h"
#include "bamboostream/src/Gateway/peer_frames.h"
#include "platform/platform_record_codec.h"
#include "platform/platform_request_codec.h"
#include "platform/settings_file.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::platform {
namespace {

constexpr std::int64_t min_64 = std::numeric_limits<std::int64_t>::min();
constexpr std::int64_t max_64 = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t wall_ms = 1'790'000'000'000;
const time_point now = time_point{} + std::chrono::hours(24 * 365);

TEST(clamped_cast_test, keeps_what_fits_and_bounds_the_rest) {
    EXPECT_EQ(clamped_cast<int>(std::int64_t{7}), 7);
    EXPECT_EQ(clamped_cast<int>(min_64, 0, 9), 0);
    EXPECT_EQ(clamped_cast<int>(std::uint64_t{1} << 32), std::numeric_limits<int>::max());
    EXPECT_EQ(clamped_cast<std::uint64_t>(-1), 0u);
    EXPECT_EQ(clamped_cast<int>(7.9), 7);
    EXPECT_EQ(clamped_cast<std::int64_t>(1e300), max_64);
    EXPECT_EQ(clamped_cast<std::int64_t>(-1e300), min_64);
    EXPECT_EQ(clamped_cast<std::int64_t>(9'223'372'036'854'775'808.0), max_64);
    EXPECT_EQ(clamped_cast<std::uint16_t>(std::nan("")), 0u);
}

/// A number as it is written, and the values that it is read as.
struct number_row {
    std::string name;
    std::string text;
    /// As a number of connections, of tokens and of milliseconds.
    int count;
    std::int64_t tokens;
    milliseconds time;
    friend void PrintTo(const number_row& row, std::ostream* out) { *out << row.name; }
};

constexpr int max_count = 1'000'000;
constexpr std::int64_t max_tokens = 1'000'000'000'000;

class written_number : public testing::TestWithParam<number_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, written_number,
    testing::Values(
        number_row{"small", "7", 7, 7, milliseconds(7)},
        number_row{"with_a_point", "7.0", 7, 7, milliseconds(7)},
        number_row{"of_32_bits", "4294967296", max_count, 4'294'967'296,
                   milliseconds(4'294'967'296)},
        number_row{"of_63_bits", "9223372036854775807", max_count, max_tokens, max_read_duration},
        number_row{"of_64_bits", "18446744073709551615", max_count, max_tokens, max_read_duration},
        number_row{"of_300_digits", "1e300", max_count, max_tokens, max_read_duration},
        number_row{"infinite", "1e400", max_count, max_tokens, max_read_duration},
        number_row{"negative", "-5", 0, 0, milliseconds(0)},
        number_row{"lowest", "-9223372036854775808", 0, 0, milliseconds(0)},
        number_row{"negative_of_300_digits", "-1e300", 0, 0, milliseconds(0)}),
    [](const auto& info) { return info.param.name; });

// Guards against a large number of the operator that becomes zero or negative: requests that time
// out at once, engines without slots, callers without room for a head.
TEST_P(written_number, of_the_operator_is_read_or_bounded) {
    const number_row& row = GetParam();
    std::string why;
    const auto read = platform_record_codec().read_configuration(
        fmt::format(
            R"({{"version":1,"routes":[{{"timeout_ms":{0},"slo_ms":{0},"gap_slo_ms":{0},)"
            R"("priority":{0},"max_attempts":{0},"traffic_split":[{{"service":"s","weight":{0}}},)"
            R"({{"service":"t","weight":{0}}}]}}],"services":[{{"name":"s","max_conns":{0},)"
            R"("cold_per_s":{0},"engine":{{"slots":{0},"kv_tokens":{0},"kv_bytes":{0},)"
            R"("link_mbps":{0},"stride":{0}}}}}],"limits":{{"max_header_bytes":{0},)"
            R"("max_body_bytes":{0},"header_timeout_ms":{0},"idle_timeout_ms":{0}}},)"
            R"("tenants":[{{"name":"w","priority":{0}}}]}})",
            row.text),
        why);
    ASSERT_TRUE(read) << why;
    const route_rule& route = read->routes.front();
    const service_rule& service = read->services.front();
    const engine_rule& engine = *service.engine;
    const http_limits& limits = read->caller_limits;
    for (const int count :
         {route.priority, route.max_attempts, service.max_connections, engine.slots,
          engine.tokens_per_event, *read->workspaces->front().priority}) {
        EXPECT_EQ(count, row.count);
    }
    for (const milliseconds time : {route.timeout, route.objective, route.pause_objective,
                                    limits.head_timeout, limits.idle_timeout}) {
        EXPECT_EQ(time, row.time);
        EXPECT_GE(now + time, now);
    }
    EXPECT_EQ(engine.memory_tokens, row.tokens);
    EXPECT_EQ(limits.head_bytes, std::min<std::size_t>(limits.body_bytes, 1U << 30));
    EXPECT_EQ(limits.body_bytes == 0, row.tokens == 0);
    for (const double real : {route.services[0].weight, service.cold_per_second,
                              engine.bytes_per_token, engine.link_mbps}) {
        EXPECT_TRUE(real >= 0.0 && std::isfinite(real * real)) << real;
    }
    EXPECT_NE(route_table(*read).configuration().version, 0);
}

// Guards against a large or negative number of a caller that overflows in sums.
TEST_P(written_number, of_a_caller_is_bounded_or_refused) {
    const number_row& row = GetParam();
    http_request request;
    request.fields = {{"Token-Count", row.text + "," + row.text}, {"Length-Hint", row.text}};
    std::string why;
    const auto read = platform_request_codec().parse_request(request, why);
    ASSERT_TRUE(read) << why;
    for (const std::int64_t tokens :
         {read->prompt_tokens, read->max_output_tokens, read->expected_output_tokens}) {
        EXPECT_TRUE(tokens == row.tokens || tokens == 0) << tokens;
    }
    request.fields = {{"Deadline-Ms", row.text}};
    const auto limited = platform_request_codec().parse_request(request, why);
    if (limited) {
        EXPECT_EQ(limited->caller_timeout, row.time);
        EXPECT_GE(now + *limited->caller_timeout, now);
    }
}

// Guards against a damaged record of evidence that overflows, and whose time lies in the future or
// is lost.
TEST_P(written_number, in_evidence_is_bounded) {
    const number_row& row = GetParam();
    const request_digest key{1, 2};
    const auto read = read_evidence(
        {key.text(),
         fmt::format(R"({{"evidence":[{{"at_ms":{0},"attempts":{0},"streamed_ms":{0}}}]}})",
                     row.text)},
        now, wall_ms);
    ASSERT_TRUE(read && read->size() == 1);
    const crash_evidence& evidence = read->front();
    EXPECT_EQ(evidence.at, now - std::clamp(milliseconds(wall_ms) - row.time, milliseconds(0),
                                            milliseconds(wall_ms)));
    EXPECT_EQ(evidence.attempts, std::min(row.count, 65'535));
    EXPECT_EQ(evidence.streamed_for, row.time);
}

// Guards against a setting that becomes a time in the past.
TEST_P(written_number, in_the_settings_is_bounded_or_refused) {
    std::vector<std::string> errors;
    const auto read = parse_settings(
        fmt::format("zone=z\nlisten.front=1.2.3.4:1\nlisten.ready=1.2.3.4:2\n"
                    "listen.control=1.2.3.4:3\nlisten.directory=1.2.3.4:4\nseeds=1.2.3.4:3\n"
                    "platform.address=1.2.3.9:7\nbounds.retry_budget_ratio=0.2\n"
                    "bounds.retry_budget_slack=56\nbounds.budget_window_s={0}\n"
                    "bounds.grace_s={0}\nbounds.ttl_max_s={0}\nbounds.drain_ms={0}\n"
                    "limits.cpu_share={0}\nlimits.cores={0}\n",
                    GetParam().text),
        errors);
    ASSERT_EQ(read.has_value(), errors.empty());
    if (read) {
        EXPECT_GE(now + read->gateway.grace, now + milliseconds(7));
        EXPECT_GE(now + read->gateway.budget.window, now + milliseconds(7));
        EXPECT_GE(now + *read->gateway.leaving_bound, now);
    }
}

/// What a peer says of a server, and how many slots and which warm-up that is taken for.
struct peer_row {
    std::string name;
    std::int32_t slots;
    std::int32_t slow_for_ms;
    int slots_here;
    milliseconds slow_here;
    friend void PrintTo(const peer_row& row, std::ostream* out) { *out << row.name; }
};

class server_of_a_peer : public testing::TestWithParam<peer_row> {};

constexpr std::int32_t min_32 = std::numeric_limits<std::int32_t>::min();
constexpr std::int32_t max_32 = std::numeric_limits<std::int32_t>::max();

INSTANTIATE_TEST_SUITE_P(table, server_of_a_peer,
                         testing::Values(peer_row{"usual", 8, 900, 8, milliseconds(900)},
                                         peer_row{"none", 0, 0, 1, milliseconds(0)},
                                         peer_row{"lowest", min_32, min_32, 1, milliseconds(0)},
                                         peer_row{"highest", max_32, max_32, max_32,
                                                  milliseconds(max_32)}),
                         [](const auto& info) { return info.param.name; });

// Guards against an entry that a peer of an earlier version has accepted and passes on.
TEST_P(server_of_a_peer, is_taken_with_numbers_in_range) {
    wire::BackendFactT fact;
    fact.slots = GetParam().slots;
    fact.slow_for_ms = GetParam().slow_for_ms;
    const registered_backend backend = from_wire(fact, now);
    EXPECT_EQ(backend.slots, GetParam().slots_here);
    EXPECT_EQ(backend.slow_until, now + GetParam().slow_here);
}

// Guards against a warm-up that doesn't fit into a frame and arrives as none.
TEST(backend_on_the_wire, has_the_longest_warm_up_that_fits) {
    registered_backend backend;
    backend.slow_until = now + max_read_duration;
    EXPECT_EQ(to_wire(backend, now)->slow_for_ms, max_32);
}

} // namespace
} // namespace bamboostream::platform
