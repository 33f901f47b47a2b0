// Checks on the production `claim_table` that no call is dispatched twice, for every interleaving
// of claimants with lost and late appends, pauses and crashes, up to a bounded depth.

#include "bamboostream/Ledger"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <set>

namespace bamboostream {
namespace {

ledger_entry entry(ledger_kind kind, const std::string& claim) {
    ledger_entry e;
    e.kind = kind;
    e.workspace = "w";
    e.key = "k";
    e.claim = claim;
    e.claimant = {claim + "-instance", 1};
    e.call_digest = "digest";
    e.status = 200;
    e.body = "answer of " + claim;
    return e;
}

/// The shared state of the model: one log and the number of dispatches.
struct log_model {
    std::vector<log_record> log;
    int dispatches = 0;

    void append(const ledger_entry& e) {
        log.push_back({static_cast<std::int64_t>(log.size()), 0, encode_ledger_record({&e, 1})});
    }
};

/// A claimant with its own reading position in the log. Its stage determines the possible steps.
struct claimant {
    std::string name;
    claim_table table;
    std::size_t read = 0;
    enum class stage : std::uint8_t {
        fresh,
        appended,
        append_unknown,
        gave_up,
        dispatched,
        crashed
    };
    stage at = stage::fresh;
    bool pending_append = false;
    bool reported_not_run = false;

    void read_all(const log_model& w) {
        while (read < w.log.size()) {
            table.apply(w.log[read++]);
        }
    }
};

/// Number of step kinds in `take_step`, which returns false for a step that is not possible.
constexpr int step_kinds = 7;

bool take_step(log_model& w, claimant& c, int kind) {
    using stage = claimant::stage;
    switch (kind) {
    case 0: // Appends its claim, unless it already sees a valid one.
        if (c.at != stage::fresh) {
            return false;
        }
        c.read_all(w);
        if (c.table.view("w", "k").state != call_state::unclaimed) {
            return false;
        }
        w.append(entry(ledger_kind::claim, c.name));
        c.at = stage::appended;
        return true;
    case 1: // Appends its claim but loses the response: the append takes effect later or never.
        if (c.at != stage::fresh) {
            return false;
        }
        c.pending_append = true;
        c.at = stage::append_unknown;
        return true;
    case 2: // The append whose response was lost takes effect late.
        if (!c.pending_append) {
            return false;
        }
        c.pending_append = false;
        w.append(entry(ledger_kind::claim, c.name));
        return true;
    case 3: // Reads the log and dispatches if it has won, after a pause of any length.
        if (c.at != stage::appended && c.at != stage::append_unknown) {
            return false;
        }
        c.read_all(w);
        if (c.table.check_claim("w", "k", c.name) != claim_status::won) {
            return false;
        }
        ++w.dispatches;
        c.at = stage::dispatched;
        return true;
    case 4: // Gives up before dispatching and voids its claim on the log.
        if (c.at != stage::appended && c.at != stage::append_unknown) {
            return false;
        }
        w.append(entry(ledger_kind::void_claim, c.name));
        c.at = stage::gave_up;
        c.reported_not_run = true;
        return true;
    case 5: // Appends the outcome.
        if (c.at != stage::dispatched) {
            return false;
        }
        w.append(entry(ledger_kind::outcome, c.name));
        return true;
    case 6: // Crashes.
        if (c.at == stage::crashed) {
            return false;
        }
        c.at = stage::crashed;
        return true;
    default:
        return false;
    }
}

struct check_size {
    int claimants;
    int depth;
    friend void PrintTo(const check_size& s, std::ostream* out) {
        *out << s.claimants << " claimants, depth " << s.depth;
    }
};

std::uint64_t explore(const log_model& w, const std::vector<claimant>& claimants, int depth,
                      std::uint64_t& states) {
    ++states;
    if (w.dispatches > 1 || depth == 0) {
        return w.dispatches > 1 ? 1 : 0;
    }
    std::uint64_t violations = 0;
    for (std::size_t i = 0; i < claimants.size(); ++i) {
        for (int kind = 0; kind < step_kinds; ++kind) {
            log_model next_world = w;
            std::vector<claimant> next = claimants;
            if (take_step(next_world, next[i], kind)) {
                violations += explore(next_world, next, depth - 1, states);
            }
        }
    }
    return violations;
}

class interleaving_test : public testing::TestWithParam<check_size> {};

// The call is dispatched at most once for every order of claims, lost and late appends, voids,
// outcomes, pauses and crashes.
TEST_P(interleaving_test, at_most_one_dispatch) {
    log_model w;
    std::vector<claimant> claimants(static_cast<std::size_t>(GetParam().claimants));
    for (std::size_t i = 0; i < claimants.size(); ++i) {
        claimants[i].name = std::string(1, static_cast<char>('a' + i));
    }
    std::uint64_t states = 0;
    EXPECT_EQ(explore(w, claimants, GetParam().depth, states), 0U);
    EXPECT_GT(states, 1'000U);
    RecordProperty("states", static_cast<int>(states));
}

INSTANTIATE_TEST_SUITE_P(sizes, interleaving_test,
                         testing::Values(check_size{2, 8}, check_size{3, 6}), [](const auto& info) {
                             return "claimants_" + std::to_string(info.param.claimants);
                         });

TEST(claim_table_test, outcome_is_the_same_for_every_reader) {
    log_model w;
    w.append(entry(ledger_kind::claim, "a"));
    w.append(entry(ledger_kind::claim, "b"));
    w.append(entry(ledger_kind::outcome, "a"));
    claim_table table;
    for (const log_record& record : w.log) {
        table.apply(record);
        table.apply(record);
    }
    const call_view view = table.view("w", "k");
    EXPECT_EQ(view.state, call_state::decided);
    EXPECT_EQ(view.body, "answer of a");
    EXPECT_EQ(table.check_claim("w", "k", "b"), claim_status::lost);
    EXPECT_EQ(table.view("other", "k").state, call_state::unclaimed);
}

TEST(claim_table_test, void_before_its_late_claim_keeps_it_void) {
    log_model w;
    w.append(entry(ledger_kind::void_claim, "a"));
    w.append(entry(ledger_kind::claim, "a"));
    w.append(entry(ledger_kind::claim, "b"));
    claim_table table;
    for (const log_record& record : w.log) {
        table.apply(record);
    }
    EXPECT_EQ(table.check_claim("w", "k", "a"), claim_status::is_void);
    EXPECT_EQ(table.check_claim("w", "k", "b"), claim_status::won);
}

TEST(claim_table_test, hole_in_the_log_moves_the_horizon) {
    claim_table table;
    table.note_first_offset(10, 5'000);
    EXPECT_EQ(table.horizon(), 5'000);
    table.prune_before(7'000);
    EXPECT_EQ(table.horizon(), 7'000);
}

TEST(claim_table_property_test, damaged_records_change_nothing) {
    EXPECT_TRUE(rc::check([] {
        claim_table table;
        table.apply({0, 0, *rc::gen::arbitrary<std::string>()});
        RC_ASSERT(table.size() == 0U);
    }));
}

} // namespace
} // namespace bamboostream
