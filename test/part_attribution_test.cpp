// Tests which parts of prompts are held because servers crash under requests with them.

#include "bamboostream/Limits"

#include <algorithm>
#include <array>
#include <cctype>
#include <gtest/gtest.h>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream::test {
namespace {

const time_point start = time_point{} + std::chrono::hours(1);
constexpr std::uint64_t usual_caller = 7;

request_digest part(char name) {
    return {1, static_cast<std::uint64_t>(name)};
}

/// A crash and the attempts that were open on the server: a letter for each request, followed by
/// the letters of its parts, such as "aFX bFT". A request in upper case is sent by another caller,
/// one followed by `'` was on trial.
struct crash {
    int at_ms;
    std::string_view open;
};

struct part_answered {
    char part;
    /// Negative if that was before the first crash.
    int at_ms;
};

struct part_row {
    std::string name;
    std::vector<crash> crashes;
    std::vector<part_answered> answers;
    /// The held parts, such as "X" or "FX Y": those of one decision in alphabetical order.
    std::string held;
    quarantine_verdict verdict = quarantine_verdict::contested;
    friend void PrintTo(const part_row& row, std::ostream* out) { *out << row.name; }
};

constexpr auto confirmed = quarantine_verdict::confirmed;

crash_evidence evidence_of(std::string_view attempt, const crash& of, std::uint64_t server) {
    crash_evidence out;
    const char request = attempt.front();
    out.request = {2, static_cast<std::uint64_t>(request)};
    out.server = server;
    out.caller = usual_caller + (std::isupper(request) ? 1 : 0);
    out.at = start + milliseconds(of.at_ms);
    out.on_trial = attempt.find('\'') != std::string_view::npos;
    for (const char name : attempt.substr(1)) {
        if (name != '\'') {
            out.parts.push_back(part(name));
        }
    }
    return out;
}

crash_evidence_map evidence_of(const std::vector<crash>& crashes) {
    crash_evidence_map out;
    std::uint64_t server = 0;
    for (const crash& of : crashes) {
        ++server;
        std::string_view rest = of.open;
        while (!rest.empty()) {
            const std::size_t space = std::min(rest.find(' '), rest.size());
            const crash_evidence it = evidence_of(rest.substr(0, space), of, server);
            out.emplace(std::pair(it.request, it.server), it);
            rest.remove_prefix(std::min(space + 1, rest.size()));
        }
    }
    return out;
}

part_answer_map answers_of(const std::vector<part_answered>& answers) {
    part_answer_map out;
    for (const part_answered& it : answers) {
        out[part(it.part)] = start + milliseconds(it.at_ms);
    }
    return out;
}

std::vector<held_parts> decide(const part_row& row, milliseconds after = milliseconds(200)) {
    const crash_evidence_map evidence = evidence_of(row.crashes);
    const part_answer_map answers = answers_of(row.answers);
    const quarantine_rules rules;
    const time_point now = start + milliseconds(row.crashes.back().at_ms) + after;
    return part_attribution(evidence, answers, rules, now).decide();
}

std::string text_of(const std::vector<held_parts>& held) {
    std::vector<std::string> names;
    for (const held_parts& it : held) {
        std::string name;
        for (const request_digest& digest : it.parts) {
            name += static_cast<char>(digest.low);
        }
        std::sort(name.begin(), name.end());
        names.push_back(name);
    }
    std::sort(names.begin(), names.end());
    std::string out;
    for (const std::string& name : names) {
        out += (out.empty() ? "" : " ") + name;
    }
    return out;
}

/// A crash each 250 ms under `parts` in requests that are never alike.
std::vector<crash> crashes_under(const std::vector<std::string_view>& open) {
    std::vector<crash> out;
    for (const std::string_view attempts : open) {
        out.push_back({static_cast<int>(out.size()) * 250, attempts});
    }
    return out;
}

std::vector<part_row> rows() {
    return {
        {"two_servers", crashes_under({"aFX", "bFX"}), {{'F', 300}}, ""},
        {"three_servers", crashes_under({"aFX", "bFX", "cFX"}), {{'F', 300}}, "X"},
        {"five_servers",
         crashes_under({"aFX", "bFX", "cFX", "dFX", "eFX"}),
         {{'F', 800}},
         "X",
         confirmed},
        {"five_servers_beside_a_part_that_may_have_crashed_four",
         crashes_under({"aFX", "bFX gY", "cFX hY", "dFX iY", "eFX jY"}),
         {{'F', 800}},
         "X"},
        {"three_servers_at_the_same_moment",
         {{0, "aFX"}, {20, "bFX"}, {90, "cFX"}},
         {{'F', 10}},
         ""},
        {"answered_since", crashes_under({"aFX", "bFX", "cFX"}), {{'F', 600}, {'X', 600}}, ""},
        {"one_request_explains_all_crashes",
         crashes_under({"aFX", "aFX", "aFX"}),
         {{'F', 300}},
         ""},
        {"one_request_explains_all_but_one",
         crashes_under({"aFX", "aFX", "bFX"}),
         {{'F', 300}},
         "X"},
        {"one_request_explains_three_of_four",
         crashes_under({"aFX", "aFX", "aFX", "bFX"}),
         {{'F', 300}},
         "X"},
        {"a_part_of_the_requests_beside_it",
         crashes_under({"aFX bFT cGT", "dGX eFT", "fFX gGS"}),
         {{'F', 300}, {'G', 300}, {'T', 300}},
         "X"},
        {"a_part_of_all_requests_that_was_never_answered",
         crashes_under({"aFX", "bFX", "cFX"}),
         {},
         "FX"},
        {"a_never_answered_part_that_one_of_them_lacks",
         crashes_under({"aFX", "bGX", "cFX", "dFX"}),
         {},
         "X"},
        {"a_part_of_all_requests_that_was_answered_before",
         crashes_under({"aFX", "bFX", "cFX"}),
         {{'F', -1'000}},
         "FX"},
        {"answered_before_five_servers",
         crashes_under({"aFX", "bFX", "cFX", "dFX", "eFX"}),
         {{'F', 800}, {'X', -1'000}},
         ""},
        {"answered_before_six_servers",
         crashes_under({"aFX", "bFX", "cFX", "dFX", "eFX", "fFX"}),
         {{'F', 800}, {'X', -1'000}},
         "X"},
        {"two_in_turns",
         crashes_under({"aFX", "bFY", "cFX", "dFY", "eFX", "fFY"}),
         {{'F', 800}},
         "X Y"},
        {"rare_among_other_crashes",
         crashes_under({"aFX", "bF", "cF", "dF", "eF", "fF", "gF", "hFX", "iF", "jF", "kF", "lF",
                        "mF", "nF", "oFX"}),
         {{'F', 3'600}},
         ""},
    };
}

class part_attribution_case : public testing::TestWithParam<part_row> {};

INSTANTIATE_TEST_SUITE_P(table, part_attribution_case, testing::ValuesIn(rows()),
                         [](const auto& info) { return info.param.name; });

TEST_P(part_attribution_case, holds_what_explains_the_crashes) {
    const std::vector<held_parts> held = decide(GetParam());
    EXPECT_EQ(text_of(held), GetParam().held);
    for (const held_parts& it : held) {
        EXPECT_EQ(to_string(it.state.verdict), to_string(GetParam().verdict));
    }
}

// Guards against decisions before the evidence of other instances about the same crash is known.
TEST(part_attribution, waits_until_the_last_crash_has_settled) {
    const part_row row{"", crashes_under({"aFX", "bFX", "cFX"}), {{'F', 300}}, ""};
    EXPECT_TRUE(decide(row, milliseconds(50)).empty());
    EXPECT_FALSE(decide(row, milliseconds(100)).empty());
}

// Guards against a part that is held because long streams with it were there when servers crashed.
TEST(part_attribution, needs_more_servers_if_the_attempts_had_streamed_for_different_times) {
    const quarantine_rules rules;
    const part_answer_map answers;
    for (const milliseconds longest : {rules.streaming_tolerance, 2 * rules.streaming_tolerance}) {
        crash_evidence_map evidence = evidence_of(crashes_under({"aX", "bX", "cX"}));
        evidence.begin()->second.streamed_for = longest;
        part_attribution attribution(evidence, answers, rules, start + seconds(2));
        EXPECT_EQ(attribution.decide().empty(), longest > rules.streaming_tolerance);
    }
    crash_evidence_map evidence = evidence_of(crashes_under({"aX", "bX", "cX", "dX", "eX", "fX"}));
    evidence.begin()->second.streamed_for = 2 * rules.streaming_tolerance;
    part_attribution attribution(evidence, answers, rules, start + seconds(3));
    EXPECT_FALSE(attribution.decide().empty());
}

// Guards against a caller that has another caller's requests refused by naming one of their parts.
TEST(part_attribution, concerns_only_the_callers_under_whose_requests_servers_crash) {
    const std::vector<part_answered> answers = {{'F', 300}};
    const auto one = decide({"", crashes_under({"aFX", "bFX", "cFX"}), answers, ""});
    const auto two = decide({"", crashes_under({"aFX", "bFX", "CFX"}), answers, ""});
    ASSERT_EQ(one.size(), 1U);
    ASSERT_EQ(two.size(), 1U);
    EXPECT_TRUE(one[0].applies_to(usual_caller, {part('F'), part('X')}));
    EXPECT_FALSE(one[0].applies_to(usual_caller + 1, {part('F'), part('X')}));
    EXPECT_TRUE(two[0].applies_to(usual_caller + 2, {part('F'), part('X')}));
}

// Guards against refusing requests that have only some of the parts under which servers crashed.
TEST(part_attribution, needs_all_parts_that_were_always_together) {
    const auto held = decide({"", crashes_under({"aFX", "bFX", "cFX"}), {}, ""});
    ASSERT_EQ(held.size(), 1U);
    EXPECT_TRUE(held[0].applies_to(usual_caller, {part('X'), part('T'), part('F')}));
    EXPECT_FALSE(held[0].applies_to(usual_caller, {part('F'), part('T')}));
    EXPECT_FALSE(held[0].applies_to(usual_caller, {part('X')}));
}

struct trial_row {
    std::string name;
    std::vector<std::string_view> open;
    std::vector<part_answered> answers;
    /// From the last crash until the trial is due; negative if there is none.
    milliseconds trial_after;
    friend void PrintTo(const trial_row& row, std::ostream* out) { *out << row.name; }
};

class part_trial : public testing::TestWithParam<trial_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, part_trial,
    testing::Values(trial_row{"never_answered", {"aFX", "bFX", "cFX"}, {}, milliseconds(10'000)},
                    trial_row{"answered_before",
                              {"aX", "bX", "cX", "dX", "eX", "fX"},
                              {{'X', -1'000}},
                              milliseconds(2'000)},
                    trial_row{"after_a_trial",
                              {"aX", "bX", "cX", "dX", "eX", "fX'"},
                              {{'X', -1'000}},
                              milliseconds(10'000)},
                    trial_row{"after_two_trials",
                              {"aX", "bX", "cX", "dX", "eX'", "fX'"},
                              {{'X', -1'000}},
                              milliseconds(-1)},
                    trial_row{"without_an_alternative",
                              {"aFX", "bFX", "cFX", "dFX", "eFX"},
                              {{'F', 800}},
                              milliseconds(-1)}),
    [](const auto& info) { return info.param.name; });

TEST_P(part_trial, is_due_while_the_part_may_be_sound) {
    const auto crashes = crashes_under(GetParam().open);
    const auto held = decide({"", crashes, GetParam().answers, ""});
    ASSERT_EQ(held.size(), 1U);
    const time_point last = start + milliseconds(crashes.back().at_ms);
    const time_point due = GetParam().trial_after < milliseconds(0) ? time_point::max()
                                                                    : last + GetParam().trial_after;
    EXPECT_EQ(held[0].state.trial_due, due);
}

// Guards against a trial that proves nothing, since the request has another suspected part.
TEST(part_trial_test, is_no_request_with_a_rival) {
    const auto held = decide({"", crashes_under({"aFX bY", "bFX cY", "cX dY", "dX"}), {}, ""});
    ASSERT_EQ(held.size(), 1U);
    EXPECT_EQ(held[0].state.rivals, std::vector<request_digest>({part('Y')}));
    EXPECT_LT(held[0].state_of({part('X')}).trial_due, time_point::max());
    EXPECT_EQ(held[0].state_of({part('X'), part('Y')}).trial_due, time_point::max());
}

/// A stream of a request with these parts.
class running_stream final : public open_call {
public:
    running_stream(std::vector<request_digest> parts, milliseconds streamed)
        : parts_(std::move(parts)), streamed_(streamed) {}

    void withdraw(const request_digest&) override {}
    bool has_streamed(const held_parts& held, duration limit) const override {
        return streamed_ > limit && held.applies_to(usual_caller, parts_);
    }

private:
    std::vector<request_digest> parts_;
    milliseconds streamed_;
};

class part_registry : public testing::Test {
protected:
    part_registry() {
        registry_.on_part_answer([this](const part_answer& it) { announced_.push_back(it); });
    }

    void crash_all(const std::vector<crash>& crashes) {
        for (const auto& [key, it] : evidence_of(crashes)) {
            registry_.take({&it, 1}, "peer", it.at);
        }
        now_ = start + milliseconds(crashes.back().at_ms) + seconds(1);
        registry_.settle(now_);
    }

    bool holds(const std::vector<request_digest>& parts) const {
        return registry_.verdict(quarantine_subject({9, 9}, usual_caller, parts)) >=
               quarantine_verdict::contested;
    }

    quarantine_registry registry_;
    std::vector<part_answer> announced_;
    time_point now_ = start;
};

TEST_F(part_registry, holds_new_requests_and_releases_them_after_an_answer) {
    crash_all(crashes_under({"aX", "bX", "cX"}));
    EXPECT_TRUE(holds({part('F'), part('X')}));
    EXPECT_FALSE(holds({part('F')}));
    EXPECT_TRUE(registry_.holds(part('X')));
    const std::array answered = {part('X')};
    registry_.note_part_answers(answered, now_);
    EXPECT_FALSE(holds({part('F'), part('X')}));
    EXPECT_EQ(announced_.size(), 1U);
}

// Guards against holding a part of long streams that are seldom answered while servers crash.
TEST_F(part_registry, holds_no_part_of_a_stream_that_outlasts_the_crashed_ones) {
    running_stream stream({part('F')}, milliseconds(501));
    registry_.add(stream);
    crash_all(crashes_under({"aF", "bF", "cF"}));
    EXPECT_FALSE(holds({part('F')}));
    EXPECT_FALSE(announced_.empty());
    registry_.remove(stream);
}

// Guards against releasing a part because of a stream that has not got as far as those that
// crashed.
TEST_F(part_registry, holds_a_part_of_a_stream_that_does_not_outlast_the_crashed_ones) {
    running_stream stream({part('F')}, milliseconds(499));
    registry_.add(stream);
    crash_all(crashes_under({"aF", "bF", "cF"}));
    EXPECT_TRUE(holds({part('F')}));
    registry_.remove(stream);
}

// Guards against instances that hold a part although one of them knows that it was answered.
TEST_F(part_registry, knows_and_announces_answers_from_before_the_crashes) {
    const std::array answered = {part('F')};
    registry_.note_part_answers(answered, start - seconds(60));
    EXPECT_TRUE(announced_.empty());
    crash_all(crashes_under({"aF", "bF", "cF"}));
    EXPECT_FALSE(holds({part('F')}));
    ASSERT_EQ(announced_.size(), 1U);
    EXPECT_EQ(announced_[0].at, start - seconds(60));
}

// Guards against requests that stay held one by one although a part of their prompts explains the
// crashes.
TEST_F(part_registry, explains_crashes_of_requests) {
    const request_digest innocent{2, 'a'};
    crash_all(crashes_under({"aFT bX", "aFT cX", "aFT dX"}));
    EXPECT_TRUE(registry_.holds(innocent));
    crash_all(crashes_under({"aFT bX", "aFT cX", "aFT dX", "eX"}));
    EXPECT_TRUE(registry_.holds(part('X')));
    EXPECT_FALSE(registry_.holds(innocent));
}

// Guards against evidence of a caller's made-up parts that grows without limit.
TEST(part_evidence, of_one_caller_is_bounded) {
    request_quarantine quarantine;
    for (std::uint64_t i = 0; i < 2'000; ++i) {
        crash_evidence it;
        it.request = {3, i};
        it.server = i;
        it.caller = usual_caller;
        it.at = start + milliseconds(i);
        it.parts = {{4, 2 * i}, {4, 2 * i + 1}};
        quarantine.add_evidence(it, it.at);
    }
    EXPECT_LE(quarantine.size(), 256U);
    EXPECT_LE(quarantine.part_answers().size(), 512U);
    EXPECT_EQ(quarantine.held(), 0U);
}

} // namespace
} // namespace bamboostream::test
