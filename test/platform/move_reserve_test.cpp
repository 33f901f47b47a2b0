// Tests the room that is held for generations of leaving engines, and the order and the targets of
// their moves when little time is left. No network.

#include "bamboostream/Evacuation"
#include "bamboostream/Forwarding"
#include "bamboostream/Limits"
#include "platform/platform_request_codec.h"
#include "test/platform/decision_helpers.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream {
namespace {

const service_id service{"s"};
constexpr std::int64_t memory_tokens = 20'000;
constexpr std::int64_t stream_tokens = 4'000;

/// A pool of four engines, one of which leaves with three streams, and the result for a new
/// generation.
struct reserve_row {
    std::string name;
    /// Streams at each of the three engines that stay. Five fit; admission allows five as well.
    int streams_at_others = 0;
    int priority = 2;
    admission_result result = admission_result::admit;
    std::int64_t new_tokens = stream_tokens;
    bool announced = true;
    bool reports_host_load = true;
    milliseconds since_announced{500};
    bool gone = false;
    /// Streams that are being copied to other engines.
    int copies = 0;
    /// Of these, copies whose target has died.
    int dead_targets = 0;
    /// The version of the leaving engine. The others run "v1".
    std::string version = "v1";
    /// Streams that have moved: instances report them at other engines.
    int moved = 0;
};

void PrintTo(const reserve_row& row, std::ostream* out) {
    *out << row.name;
}

class reserved_room : public testing::TestWithParam<reserve_row> {};

constexpr admission_result admit = admission_result::admit;
constexpr admission_result reserved = admission_result::memory_reserved;

reserve_row row(std::string name, int streams, int priority, admission_result result) {
    reserve_row out;
    out.name = std::move(name);
    out.streams_at_others = streams;
    out.priority = priority;
    out.result = result;
    return out;
}

template <class Change> reserve_row with(reserve_row out, Change change) {
    change(out);
    return out;
}

INSTANTIATE_TEST_SUITE_P(
    table, reserved_room,
    testing::Values(
        with(row("no_reclaim", 4, 2, admit), [](auto& r) { r.announced = false; }),
        with(row("another_kind_of_service", 4, 2, admit),
             [](auto& r) { r.reports_host_load = false; }),
        row("plenty_of_room", 2, 2, admit), row("too_little_room", 4, 2, reserved),
        row("too_little_room_for_the_second_rank", 4, 1, reserved),
        row("the_most_urgent_rank_leaves_half", 4, 0, admit),
        // A remainder of 2,000 tokens at an engine is no room for a stream.
        with(row("small_ones_use_remainders", 5, 2, admit), [](auto& r) { r.new_tokens = 1'000; }),
        with(row("small_ones_leave_whole_streams", 4, 2, admit),
             [](auto& r) { r.new_tokens = 1'900; }),
        with(row("engine_gone_early", 4, 2, admit), [](auto& r) { r.gone = true; }),
        with(row("notice_without_an_end", 4, 2, admit),
             [](auto& r) { r.since_announced = milliseconds(2'100); }),
        with(row("within_the_notice", 4, 2, reserved),
             [](auto& r) { r.since_announced = milliseconds(2'000); }),
        with(row("copies_count_at_their_targets", 3, 2, admit), [](auto& r) { r.copies = 3; }),
        with(row("copies_take_the_room_of_their_targets", 4, 2, admission_result::memory_full),
             [](auto& r) { r.copies = 3; }),
        with(row("a_dead_target_takes_its_room_along", 4, 2, reserved),
             [](auto& r) { r.copies = r.dead_targets = 1; }),
        // Its streams can't move to the engines that the new generation may take.
        with(row("another_version", 4, 2, admit), [](auto& r) { r.version = "v2"; }),
        with(row("after_two_moves", 3, 2, admit), [](auto& r) { r.moved = 2; })),
    [](const auto& info) { return info.param.name; });

/// What an instance that chooses engines knows: the notice, and the work that others report.
void tell(forwarding_state& state, const reserve_row& row) {
    std::vector<backend_work_entry> entries;
    for (int i = 0; i < 4; ++i) {
        registered_backend engine = backend(fmt::format("i-{}", i));
        engine.slots = 24;
        engine.version = software_version(i == 0 ? row.version : "v1");
        state.registry.update(engine, start);
        const int moved_here = i == 0 ? -row.moved : i <= row.moved ? 1 : 0;
        const int streams = (i == 0 ? 3 : row.streams_at_others) + moved_here;
        entries.push_back({backend_hash(engine.id), {streams, streams * stream_tokens, 0}});
    }
    state.loads.hear("peer", entries, start);
    if (row.reports_host_load) {
        state.server_loads.set_reports_host_load(service);
    }
    if (row.announced) {
        state.registry.mark_leaving(backend_id("i-0"));
        state.reserve.start(*state.registry.find(backend_id("i-0")), start - row.since_announced);
    }
}

engine_choice choose(forwarding_state& state, const reserve_row& row) {
    engine_request request;
    request.service = service;
    request.work = {1, row.new_tokens, 1'000};
    request.engine_memory_tokens = memory_tokens;
    request.priority = row.priority;
    return choose_engine(state, request, sender_role::owner, start);
}

// Guards against new generations that take the room which streams of a leaving engine need, and
// against refusals that save nothing.
TEST_P(reserved_room, is_left_by_new_generations) {
    const reserve_row& row = GetParam();
    const platform::platform_request_codec codec;
    forwarding_state state(codec, failure_domain_id("norra"), {}, 1);
    tell(state, row);
    for (int i = 1; i <= row.copies; ++i) {
        const backend_id target(fmt::format("i-{}", i));
        state.reserve.start_copy(backend_id("i-0"), target, {1, stream_tokens, 0});
        if (i <= row.dead_targets) {
            state.reserve.end_copy(target);
            state.registry.forget(target);
        }
    }
    if (row.gone) {
        state.reserve.end(backend_id("i-0"));
    }
    const engine_choice choice = choose(state, row);
    ASSERT_TRUE(choice.engine);
    EXPECT_EQ(choice.result, row.result);
    EXPECT_EQ(choice.overload, duration{});
}

// The coordinator dies after it has moved one stream. The standby holds the same room from the
// notice and the load reports that it has received as well.
TEST(move_reserve_test, a_new_coordinator_holds_the_same_room) {
    const platform::platform_request_codec codec;
    reserve_row known = row("", 4, 2, reserved);
    known.moved = 1;
    forwarding_state coordinator(codec, failure_domain_id("norra"), {}, 1);
    forwarding_state standby(codec, failure_domain_id("norra"), {}, 2);
    for (forwarding_state* state : {&coordinator, &standby}) {
        tell(*state, known);
        EXPECT_EQ(choose(*state, known).result, reserved);
        const auto needs = state->reserve.needed(service, state->loads, start);
        ASSERT_EQ(needs.size(), 1u);
        EXPECT_EQ(needs[0].need.generations, 2);
    }
}

// The end of an entry in the store, seen after the engine has gone, isn't a new notice.
TEST(move_reserve_test, a_repeated_notice_does_not_hold_room_for_longer) {
    move_reserve reserve;
    reserve.start(backend("i-0"), start);
    reserve.start(backend("i-0"), start + seconds(3));
    EXPECT_EQ(reserve.time_left(service, start + seconds(3)), duration{});
    reserve.forget(backend_id("i-0"));
    reserve.start(backend("i-0"), start + seconds(4));
    EXPECT_EQ(reserve.time_left(service, start + seconds(4)), move_reserve::max_notice);
}

// --- order and targets

move_candidate candidate(const std::string& id, std::int64_t tokens, int priority,
                         std::int64_t output) {
    return {{id, tokens, 500, {}, priority, output}, {}};
}

/// The time left in units of a copy of 1,000 tokens, and the expected order of the streams below.
struct order_row {
    std::string name;
    double copies_left;
    std::string order;
};

class timed_order : public testing::TestWithParam<order_row> {};

INSTANTIATE_TEST_SUITE_P(table, timed_order,
                         testing::Values(
                             // All fit: by rank, then by output.
                             order_row{"enough", 9.5, "abdc"},
                             // The urgent one, and as many of the others as fit beside it.
                             order_row{"for_three", 6.5, "abcd"},
                             order_row{"for_the_urgent_one", 3.5, "acbd"},
                             // The urgent one doesn't fit any more, smaller ones do.
                             order_row{"for_a_small_one", 1.5, "cabd"},
                             order_row{"none", 0.0, "acbd"}),
                         [](const auto& info) { return info.param.name; });

// Guards against a copy that can't be done in time and keeps others from being made.
TEST_P(timed_order, saves_what_can_be_saved) {
    const link_speed speed{18'432.0, 2'700.0};
    const move_window window{
        from_milliseconds(to_milliseconds(copy_time(1'000, speed, false)) * GetParam().copies_left),
        speed};
    std::string order;
    for (const move_candidate& c :
         order_moves({candidate("b", 2'000, 2, 900), candidate("d", 3'000, 2, 700),
                      candidate("c", 1'000, 2, 100), candidate("a", 3'000, 1, 10)},
                     window)) {
        order += c.generation.id;
    }
    EXPECT_EQ(order, GetParam().order);
}

/// Two targets, near and far, and which of them is chosen.
struct target_row {
    std::string name;
    bool before_end = true;
    bool time_short = false;
    std::int64_t near_tokens = 0;
    std::int64_t far_tokens = 0;
    double near_risk = 0.0;
    std::optional<std::size_t> chosen;
};

class timed_target : public testing::TestWithParam<target_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, timed_target,
    testing::Values(target_row{"emptier_one", true, false, 14'000, 8'000, 0.0, 1},
                    target_row{"nearer_one_when_time_is_short", true, true, 14'000, 8'000, 0.0, 0},
                    target_row{"late_pauses", true, false, 8'000, 8'000, 0.9, 1},
                    target_row{"full_ones_instead_of_loss", true, false, 17'900, 19'000, 0.0, 0},
                    target_row{"no_room", true, false, 19'000, 19'000, 0.0, std::nullopt},
                    target_row{"as_before", false, false, 17'900, 17'900, 0.0, std::nullopt}),
    [](const auto& info) { return info.param.name; });

TEST_P(timed_target, is_chosen_by_the_time_left) {
    const target_row& row = GetParam();
    const std::vector<move_target> targets = {
        {backend("near", "norra"), {4, row.near_tokens, 0}, memory_tokens, 24, true, row.near_risk},
        {backend("far", "verket"), {4, row.far_tokens, 0}, memory_tokens, 24}};
    const movable_generation generation{"g", 3'500, 500};
    EXPECT_EQ(choose_target(generation, failure_domain_id("norra"), {18'432.0, 2'700.0}, targets,
                            row.before_end ? limits_before_end(row.time_short) : move_limits{}),
              row.chosen);
}

TEST(move_plan_test, the_cause_of_a_missing_target_is_named) {
    const auto target = [](int requests, bool fits) {
        return move_target{backend("t"), {requests, 0, 0}, memory_tokens, 24, fits};
    };
    using targets = std::vector<move_target>;
    EXPECT_EQ(explain_no_target(targets{target(0, false)}, 0), no_move_cause::version);
    EXPECT_EQ(explain_no_target(targets{target(0, false)}, 1), no_move_cause::targets_busy);
    EXPECT_EQ(explain_no_target(targets{target(24, true)}, 1), no_move_cause::slots);
    EXPECT_EQ(explain_no_target(targets{target(24, true), target(5, true)}, 1),
              no_move_cause::memory);
}

} // namespace
} // namespace bamboostream
