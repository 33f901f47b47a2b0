// Decisions about retries, event splitting and moves of streams, without a network.

#include "bamboostream/Evacuation"
#include "bamboostream/Forwarding"
#include "test/platform/decision_helpers.h"

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <set>

namespace bamboostream {
namespace {

// --- attempts

struct attempt_row {
    std::string name;
    repeat_policy repeats;
    int max_attempts;
    std::vector<attempt_end> ends;
    bool expected_retry;
    final_response expected_response;
};

class attempt_decision : public testing::TestWithParam<attempt_row> {};

using enum attempt_end;

INSTANTIATE_TEST_SUITE_P(
    table, attempt_decision,
    testing::Values(
        attempt_row{"unsent", repeat_policy::once, 1, {not_sent}, true, final_response::not_run},
        attempt_row{"unsent_five_times", repeat_policy::once, 1, std::vector(5, not_sent), true,
                    final_response::not_run},
        attempt_row{"unsent_six_times", repeat_policy::once, 1, std::vector(6, not_sent), false,
                    final_response::not_run},
        attempt_row{"refused", repeat_policy::once, 1, {not_run}, false, final_response::not_run},
        attempt_row{
            "refused_with_room", repeat_policy::once, 2, {not_run}, true, final_response::not_run},
        attempt_row{"lost", repeat_policy::once, 3, {lost}, false, final_response::unknown},
        attempt_row{"silent", repeat_policy::once, 3, {silent}, false, final_response::timed_out},
        attempt_row{
            "failed", repeat_policy::once, 3, {failed}, false, final_response::backend_failure},
        attempt_row{
            "safe_lost", repeat_policy::repeatable, 2, {lost}, true, final_response::unknown},
        attempt_row{"safe_lost_then_refused",
                    repeat_policy::repeatable,
                    2,
                    {lost, not_run},
                    false,
                    final_response::unknown},
        attempt_row{"safe_lost_then_unsent",
                    repeat_policy::repeatable,
                    2,
                    {lost, not_sent},
                    true,
                    final_response::unknown},
        attempt_row{
            "stream_lost", repeat_policy::resumable, 2, {lost}, true, final_response::unknown}),
    [](const auto& info) { return info.param.name; });

TEST_P(attempt_decision, never_says_not_run_of_what_may_have_run) {
    attempt_history history;
    response_info refusal;
    refusal.not_run = true;
    for (const attempt_end end : GetParam().ends) {
        if (end == not_sent) {
            EXPECT_EQ(history.end_unsent(), end);
            continue;
        }
        history.begin_send();
        EXPECT_FALSE(history.promise_not_run());
        EXPECT_EQ(end == not_run ? history.end_not_run(*not_run_proof::of_response(refusal))
                                 : history.end_sent(end),
                  end);
    }
    EXPECT_EQ(may_retry(GetParam().repeats, GetParam().max_attempts, history),
              GetParam().expected_retry);
    const final_response response = choose_final_response(history, GetParam().ends.back());
    EXPECT_EQ(response, GetParam().expected_response);
    EXPECT_EQ(response == final_response::not_run, history.promise_not_run().has_value());
}

// --- events

struct split_row {
    std::string name;
    std::vector<std::string> pieces;
    std::string expected;
    event_order order;
    bool at_boundary;
};

class event_split : public testing::TestWithParam<split_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, event_split,
    testing::Values(
        split_row{"whole", {"id: 1\nd\n\n"}, "id: 1\nd\n\n", event_order::in_order, true},
        split_row{"cut_anywhere",
                  {"i", "d: 1", "\nd\n", "\nid:2\n"},
                  "id: 1\nd\n\n",
                  event_order::in_order,
                  false},
        split_row{"repeated",
                  {"id: 1\na\n\nid: 1\na\n\nid: 2\nb\n\n"},
                  "id: 1\na\n\nid: 2\nb\n\n",
                  event_order::in_order,
                  true},
        split_row{
            "missing", {"id: 1\na\n\nid: 3\nb\n\n"}, "id: 1\na\n\n", event_order::broken, true},
        split_row{"version_line_first",
                  {"weight-versions: 2\nid: 1\na\n\n"},
                  "weight-versions: 2\nid: 1\na\n\n",
                  event_order::in_order,
                  true},
        split_row{"without_ids",
                  {"data: a\n\ndata: b\n\n"},
                  "data: a\n\ndata: b\n\n",
                  event_order::in_order,
                  true}),
    [](const auto& info) { return info.param.name; });

TEST_P(event_split, passes_on_whole_events_once_and_in_order) {
    event_splitter splitter;
    std::string out;
    event_order order = event_order::in_order;
    for (const std::string& piece : GetParam().pieces) {
        splitter.append(piece);
        order = splitter.take(out);
    }
    EXPECT_EQ(out, GetParam().expected);
    EXPECT_EQ(order, GetParam().order);
    EXPECT_EQ(splitter.at_boundary(), GetParam().at_boundary);
}

// --- moves

TEST(move_plan_test, small_copies_go_first_and_what_ends_by_itself_last) {
    const auto ordered = order_moves(
        {{{"big", 4'000, 500}, ""}, {{"ending", 1'000, 8}, ""}, {{"small", 2'000, 500}, "peer"}});
    ASSERT_EQ(ordered.size(), 3u);
    EXPECT_EQ(ordered[0].generation.id, "small");
    EXPECT_EQ(ordered[1].generation.id, "big");
    EXPECT_EQ(ordered[2].generation.id, "ending");
}

// Callers' estimates of the output length are right at the median only. A generation that has
// exceeded its estimate must not count as about to end: it would be moved last and be interrupted.
TEST(move_plan_test, what_has_outlived_its_estimate_lives_on) {
    boost::asio::io_context context;
    active_stream stream(context.get_executor(), "g");
    stream.expected_output_tokens = 400;
    stream.max_output_tokens = 2'000;
    for (const auto& [output, left] : std::vector<std::pair<int, int>>{
             {0, 400}, {100, 300}, {390, 195}, {1'000, 500}, {1'900, 100}, {2'000, 0}}) {
        stream.output_tokens = output;
        EXPECT_EQ(estimate_remaining_tokens(stream), left) << output;
    }
}

// Guards against claims that report 0 remaining tokens for a generation that has exceeded its
// caller's estimate: it would be ordered last, as if about to end by itself, and be interrupted
// when its engine shuts down. Half of all generations exceed their estimates.
TEST(move_plan_test, claims_say_what_is_really_expected_yet) {
    boost::asio::io_context context;
    active_streams streams;
    const auto add = [&](const std::string& id, std::int64_t output) {
        auto stream = std::make_shared<active_stream>(context.get_executor(), id);
        stream->backend = backend_id("i-1");
        stream->movable = true;
        stream->prompt_tokens = 3'000;
        stream->expected_output_tokens = 400;
        stream->max_output_tokens = 2'000;
        stream->output_tokens = output;
        streams.add(stream);
    };
    add("outlived", 600);
    add("young", 100);
    for (const movable_generation& generation : streams.list_movable(backend_id("i-1"))) {
        EXPECT_EQ(generation.tokens_left, 300) << generation.id;
    }
}

// A caller estimates 34,926 output tokens for a request that allows 2,204. If the estimate weren't
// capped, no engine would have enough memory for the generation, so it couldn't be moved when its
// engine leaves.
TEST(move_plan_test, an_estimate_counts_for_no_more_than_the_request_allows) {
    forward_request request;
    request.expected_output_tokens = 34'926;
    EXPECT_EQ(estimate_output_tokens(request), 34'926);
    request.max_output_tokens = 2'204;
    EXPECT_EQ(estimate_output_tokens(request), 2'204);
    request.expected_output_tokens = 700;
    EXPECT_EQ(estimate_output_tokens(request), 700);
}

struct target_row {
    std::string name;
    std::vector<std::int64_t> memory;
    std::vector<std::string> domains;
    std::vector<int> requests;
    int expected;
    /// Indexes of engines that run another software version.
    std::set<std::size_t> unfit{};
};

class move_targets : public testing::TestWithParam<target_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, move_targets,
    testing::Values(target_row{"emptier", {20'000, 5'000}, {"norra", "norra"}, {3, 1}, 1},
                    target_row{"same_domain", {8'000, 5'000}, {"norra", "verket"}, {3, 3}, 0},
                    target_row{
                        "far_when_near_is_busy", {24'000, 5'000}, {"norra", "verket"}, {3, 3}, 1},

                    target_row{"room_is_kept_at_the_brim",
                               {22'000, 29'000, 29'000},
                               {"norra", "norra", "norra"},
                               {3, 9, 9},
                               -1},
                    target_row{"filled_while_others_have_room",
                               {22'000, 1'000, 1'000},
                               {"norra", "norra", "norra"},
                               {3, 24, 24},
                               0},
                    target_row{"only_one_fits",
                               {20'000, 5'000, 1'000},
                               {"norra", "norra", "norra"},
                               {3, 1, 1},
                               0,
                               {1, 2}},
                    // The servers of its version are nearly full, the service isn't.
                    target_row{"few_fit_and_the_service_has_room",
                               {24'000, 25'000, 1'000, 1'000, 1'000},
                               {"norra", "norra", "norra", "norra", "norra"},
                               {3, 3, 1, 1, 1},
                               0,
                               {2, 3, 4}},
                    target_row{"none_fits", {5'000}, {"norra"}, {3}, -1, {0}},
                    target_row{"no_memory", {29'000}, {"norra"}, {9}, -1},
                    target_row{"no_slot", {5'000}, {"norra"}, {24}, -1}),
    [](const auto& info) { return info.param.name; });

TEST_P(move_targets, are_chosen_by_room_and_way) {
    std::vector<move_target> targets;
    for (std::size_t i = 0; i < GetParam().memory.size(); ++i) {
        targets.push_back({backend(fmt::format("i-{}", i), GetParam().domains[i]),
                           {GetParam().requests[i], GetParam().memory[i], 0},
                           30'000,
                           24,
                           !GetParam().unfit.contains(i)});
    }
    const auto chosen =
        choose_target({"g", 3'000, 400}, failure_domain_id("norra"), {96'256.0, 14'000.0}, targets);
    EXPECT_EQ(chosen ? static_cast<int>(*chosen) : -1, GetParam().expected);
}

TEST(move_plan_test, a_copy_takes_as_long_as_its_bytes_and_twice_that_between_domains) {
    const link_speed speed{96'256.0, 14'000.0};
    EXPECT_NEAR(to_milliseconds(copy_time(3'500, speed, false)), 192.5, 1.0);
    EXPECT_NEAR(to_milliseconds(copy_time(3'500, speed, true)), 385.0, 2.0);
}

} // namespace
} // namespace bamboostream
