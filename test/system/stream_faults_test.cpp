// Tests streams under faults, with real processes and fault proxies in front of the engines.

#include "test/system/cluster.h"

#include <csignal>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

/// A fault, when it is injected, and what the caller must observe.
struct stream_fault {
    const char* name;
    void (*inject)(cluster& c);
    /// Whether the fault is injected before the first token or in the middle of the stream.
    bool before_first_token;
    bool restart_on_loss;
    /// The outcomes that the caller may get.
    std::vector<outcome> allowed;
    /// The longest gap between two tokens that the caller may observe, in milliseconds; 0 for no
    /// limit.
    double longest_gap_ms;
    void (*end_fault)(cluster& c) = nullptr;
    duration end_fault_after = milliseconds(0);
    friend void PrintTo(const stream_fault& fault, std::ostream* out) { *out << fault.name; }
};

/// Injects a fault at the engine that runs the generation.
void on_busy_engine(cluster& c, const std::function<void(member&)>& inject) {
    for (int i = 0; i < 2; ++i) {
        const auto journal = c.get(c.engine(i).addresses[0], "/v1/journal");
        if (!journal.at("generations").as_array().empty()) {
            inject(c.engine(i));
            return;
        }
    }
}

void kill_engine(cluster& c) {
    on_busy_engine(c, [](member& m) {
        m.running->signal(SIGKILL);
        m.running->wait_for_end(seconds(2));
    });
}
void cut_link(cluster& c) {
    on_busy_engine(c, [&](member& m) { c.command(m.proxy_control, {{"cut", 1}}); });
}
void stall_link(cluster& c) {
    on_busy_engine(c, [&](member& m) { c.command(m.proxy_control, {{"stalled", 1}}); });
}
void freeze_open_links(cluster& c) {
    on_busy_engine(c, [&](member& m) { c.command(m.proxy_control, {{"freeze", 1}}); });
}
void restore_links(cluster& c) {
    for (int i = 0; i < 2; ++i) {
        c.command(c.engine(i).proxy_control,
                  {{"stalled", 0}, {"lose_answers", 0}, {"lose_requests", 0}, {"refuse", 0}});
    }
}
void lose_answers(cluster& c) {
    on_busy_engine(c, [&](member& m) {
        c.command(m.proxy_control, {{"lose_answers", 1}});
        c.command(m.proxy_control, {{"cut", 1}});
    });
}
void lose_requests(cluster& c) {
    for (int i = 0; i < 2; ++i) {
        c.command(c.engine(i).proxy_control, {{"lose_requests", 1}});
    }
}
void misbehave(cluster& c) {
    on_busy_engine(c, [&](member& m) { c.command(m.addresses[0], {{"misbehave", 6}}); });
}
int open_streams(cluster& c, int i) {
    // Doesn't include this status request, because requests to the operators' port aren't counted.
    return static_cast<int>(
        number_at(c.get(c.instance(i).addresses[1], "/v1/status"), "open_requests"));
}
void kill_busy_instance(cluster& c) {
    for (int i = 0; i < c.instance_count(); ++i) {
        if (open_streams(c, i) > 0) {
            c.instance(i).running->signal(SIGKILL);
            c.instance(i).running->wait_for_end(seconds(2));
        }
    }
}
void freeze_busy_instance(cluster& c) {
    for (int i = 0; i < c.instance_count(); ++i) {
        if (open_streams(c, i) > 0) {
            c.instance(i).running->signal(SIGSTOP);
            return;
        }
    }
}
void resume_instances(cluster& c) {
    for (int i = 0; i < c.instance_count(); ++i) {
        c.instance(i).running->signal(SIGCONT);
    }
}
void cut_twice(cluster& c) {
    cut_link(c);
    c.run_for(milliseconds(150));
    cut_link(c);
}
void cut_link_and_kill_instance(cluster& c) {
    cut_link(c);
    kill_busy_instance(c);
}
void drain_busy_instance(cluster& c) {
    for (int i = 0; i < c.instance_count(); ++i) {
        if (open_streams(c, i) > 0) {
            c.instance(i).running->signal(SIGTERM);
        }
    }
}
void log_and_list_down(cluster& c) {
    c.command(c.log().addresses[0], {{"down", 1}});
    c.command(c.platform().addresses[0], {{"down", 1}});
}

const std::vector<stream_fault> stream_faults = {
    {"engine_killed_before_first_token", kill_engine, true, false, {outcome::completed}, 0.0},
    {"engine_killed_in_the_middle", kill_engine, false, false, {outcome::incomplete}, 0.0},
    {"engine_killed_in_the_middle_with_restart",
     kill_engine,
     false,
     true,
     {outcome::completed},
     0.0},
    {"link_cut_in_the_middle", cut_link, false, false, {outcome::completed}, 1000.0},
    {"link_cut_twice", cut_twice, false, false, {outcome::completed}, 1000.0},
    {"open_link_freezes_for_good", freeze_open_links, false, false, {outcome::completed}, 1000.0},
    {"link_stalled_for_two_seconds",
     stall_link,
     false,
     false,
     {outcome::completed},
     0.0,
     restore_links,
     seconds(2)},
    {"answers_lost_for_two_seconds",
     lose_answers,
     false,
     false,
     {outcome::completed},
     0.0,
     restore_links,
     seconds(2)},
    {"requests_lost_before_first_token",
     lose_requests,
     true,
     false,
     {outcome::completed},
     0.0,
     restore_links,
     seconds(1)},
    {"engine_sends_foreign_doubled_and_disordered_events",
     misbehave,
     false,
     false,
     {outcome::completed},
     1000.0},
    {"entry_killed_in_the_middle", kill_busy_instance, false, false, {outcome::completed}, 2500.0},
    {"entry_frozen_for_ten_seconds",
     freeze_busy_instance,
     false,
     false,
     {outcome::completed},
     2500.0,
     resume_instances,
     seconds(10)},
    {"entry_killed_and_link_cut_together",
     cut_link_and_kill_instance,
     false,
     false,
     {outcome::completed},
     2500.0},
    {"entry_drained_in_the_middle",
     drain_busy_instance,
     false,
     false,
     {outcome::completed},
     1000.0},
    {"log_and_list_down", log_and_list_down, false, false, {outcome::completed}, 1000.0},
};

class stream_fault_test : public testing::TestWithParam<stream_fault> {};

// Guards against lost, duplicated, reordered or foreign tokens when a fault hits a stream, before
// its first token or in the middle. The caller must get one of the allowed outcomes and every token
// once, in order, from a single generation. The caller library reconnects, resumes or repeats the
// call by itself. This holds because the resume handle identifies the generation and every token
// has a sequence number, so it doesn't matter which instance relays the stream.
TEST_P(stream_fault_test, caller_gets_allowed_outcome_and_intact_tokens) {
    const stream_fault& fault = GetParam();
    cluster_options options;
    options.proxied_engines = true;
    options.engine_arguments = {"--step-base-ms", "20"};
    if (fault.before_first_token) {
        options.engine_arguments.insert(options.engine_arguments.end(),
                                        {"--prefill-ms-per-token", "25"});
    }
    cluster c(options);
    completion_call call = make_call("constant");
    call.restart_on_loss = fault.restart_on_loss;
    const auto result = c.start_completion(call);
    c.run_for(milliseconds(400));
    fault.inject(c);
    if (fault.end_fault != nullptr) {
        c.run_for(fault.end_fault_after);
        fault.end_fault(c);
    }
    ASSERT_TRUE(c.wait_until([&] { return result->ended; }, seconds(25)));
    EXPECT_NE(std::find(fault.allowed.begin(), fault.allowed.end(), result->result),
              fault.allowed.end())
        << to_string(result->result) << " " << result->message;
    EXPECT_TRUE(has_expected_tokens(*result, call));
    EXPECT_EQ(result->declared_tokens, result->tokens.size());
    if (result->result == outcome::completed) {
        EXPECT_EQ(result->tokens.size(), 64U);
    }
    if (fault.longest_gap_ms > 0.0) {
        for (const float gap : result->gaps_ms) {
            EXPECT_LE(gap, fault.longest_gap_ms);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(faults, stream_fault_test, testing::ValuesIn(stream_faults),
                         [](const auto& info) { return std::string(info.param.name); });

// Two callers send the same key concurrently through different instances. Both get the complete
// answer from one generation, because the second call attaches to the stream of the first.
TEST(stream_attach_test, same_key_twice_runs_once) {
    cluster c({});
    const completion_call call = make_call("constant");
    const auto first = c.start_completion(call);
    const auto second = c.start_completion(call);
    ASSERT_TRUE(c.wait_until([&] { return first->ended && second->ended; }, seconds(20)));
    EXPECT_EQ(first->result, outcome::completed);
    EXPECT_EQ(second->result, outcome::completed);
    EXPECT_TRUE(has_expected_tokens(*first, call));
    EXPECT_TRUE(has_expected_tokens(*second, call));
    EXPECT_EQ(c.generations_of(call.key), 1);
}

} // namespace
} // namespace bamboostream::test
