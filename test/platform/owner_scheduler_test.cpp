// One instance chooses the engines of a service for all others, over real links on loopback.

#include "bamboostream/src/Gateway/peer_frames.h"
#include "test/platform/decision_helpers.h"
#include "test/platform/peer_group.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <set>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

constexpr std::int64_t engine_memory = 30'000;
constexpr int engine_count = 40;

std::shared_ptr<const route_table> one_service() {
    routing_configuration configuration;
    service_rule service;
    service.id = service_id("s");
    service.engine.emplace();
    service.engine->memory_tokens = engine_memory;
    configuration.services.push_back(service);
    return std::make_shared<const route_table>(configuration);
}

class owner_scheduler_test : public testing::Test {
protected:
    owner_scheduler_test() : order_(group_.owners("s")) {
        for (const auto& it : group_.all) {
            it->forwarding.routes = one_service();
            for (int i = 0; i < engine_count; ++i) {
                it->forwarding.registry.update(backend(fmt::format("i-{}", i)), monotonic_now());
            }
        }
    }
    engine_request request() const {
        engine_request out;
        out.service = service_id("s");
        out.work = {1, 9'000, 3'000};
        out.objective = milliseconds(1'500);
        out.preferred_domain = failure_domain_id("norra");
        return out;
    }
    std::optional<engine_choice> ask(peer_instance& from, const engine_request& wanted) {
        std::optional<engine_choice> out;
        bool done = false;
        asio::co_spawn(
            group_.context,
            [&]() -> asio::awaitable<void> {
                out = co_await from.owner->choose(wanted);
                done = true;
            },
            asio::detached);
        group_.context.restart();
        while (!done) {
            group_.context.run_one();
        }
        return out;
    }
    peer_instance& owner() { return *order_[0]; }
    peer_instance& deputy() { return *order_[1]; }
    peer_instance& asker() { return *order_[2]; }

    static int asked(const peer_instance& it) {
        const auto found = it.heard.find(wire::Message::AdmitRequest);
        return found == it.heard.end() ? 0 : found->second;
    }

    peer_group group_{4, 1};
    /// The owner of the service, its deputy, and the rest.
    std::vector<peer_instance*> order_;
};

// Two instances ask one right after the other, before either has told of its work. The owner counts
// what it gave the first, so no engine is given twice while others are idle.
TEST_F(owner_scheduler_test, counts_each_choice_at_once) {
    std::set<std::string> given;
    for (int i = 0; i < engine_count / 2; ++i) {
        const auto choice = ask(i % 2 == 0 ? asker() : *order_[3], request());
        ASSERT_TRUE(choice && choice->engine);
        EXPECT_EQ(choice->result, admission_result::admit);
        EXPECT_TRUE(given.insert(choice->engine->id.text()).second);
    }
    EXPECT_EQ(asked(owner()), engine_count / 2);
    EXPECT_EQ(asked(deputy()), 0);
}

// What an instance tells replaces what the owner expected of it, so nothing is counted twice.
TEST_F(owner_scheduler_test, a_telling_replaces_what_was_expected) {
    const auto choice = ask(asker(), request());
    ASSERT_TRUE(choice && choice->engine);
    const backend_id& id = choice->engine->id;
    EXPECT_EQ(owner().forwarding.loads.total(id, monotonic_now()).memory_tokens, 9'000);
    const std::vector<backend_work_entry> told = {{backend_hash(id), {1, 9'100, 0}}};
    owner().forwarding.loads.hear(asker().address(), told, monotonic_now());
    EXPECT_EQ(owner().forwarding.loads.total(id, monotonic_now()).memory_tokens, 9'100);
}

// All engines are full. The caller is refused by the owner's word, as it would be by one's own.
TEST_F(owner_scheduler_test, says_when_no_engine_has_room) {
    for (int i = 0; i < engine_count; ++i) {
        owner().forwarding.loads.add(backend_id(fmt::format("i-{}", i)), {9, 60'000, 0});
    }
    const auto choice = ask(asker(), request());
    ASSERT_TRUE(choice && choice->engine);
    EXPECT_EQ(choice->result, admission_result::memory_full);
}

// The owner is gone and its death not known yet. The deputy answers, and the next request doesn't
// wait for the owner once more.
TEST_F(owner_scheduler_test, the_deputy_answers_for_a_silent_owner) {
    group_.kill(owner());
    EXPECT_TRUE(ask(asker(), request()));
    EXPECT_EQ(asked(deputy()), 1);
    const time_point before = monotonic_now();
    EXPECT_TRUE(ask(asker(), request()));
    EXPECT_LT(monotonic_now() - before, milliseconds(50));
    EXPECT_EQ(asked(deputy()), 2);
    EXPECT_EQ(asker().forwarding.counters.owner_timeouts, 1u);
}

// Nobody answers: the instance chooses by itself, after two short waits at most.
TEST_F(owner_scheduler_test, without_an_answer_each_chooses_by_itself) {
    group_.kill(owner());
    group_.kill(deputy());
    const time_point before = monotonic_now();
    EXPECT_FALSE(ask(asker(), request()));
    EXPECT_LT(monotonic_now() - before, milliseconds(300));
}

// The owner's view of the engines is older than the asker's, which knows that the engine leaves.
TEST_F(owner_scheduler_test, an_engine_that_is_known_to_leave_is_not_taken) {
    for (int i = 0; i < engine_count; ++i) {
        asker().forwarding.registry.mark_leaving(backend_id(fmt::format("i-{}", i)));
    }
    EXPECT_FALSE(ask(asker(), request()));
}

// The owner hasn't heard yet that a failure domain is out of service, the asker has.
TEST_F(owner_scheduler_test, an_engine_of_a_cordoned_domain_is_not_taken) {
    asker().forwarding.registry.set_cordoned({failure_domain_id("norra")});
    EXPECT_FALSE(ask(asker(), request()));
}

/// Engines that bear four requests a second while they are cold.
class cold_engines : public owner_scheduler_test {
protected:
    cold_engines() {
        const time_point settled = monotonic_now() - seconds(5);
        for (const auto& it : group_.all) {
            routing_configuration configuration = it->forwarding.routes->configuration();
            configuration.services.front().cold_per_second = 4.0;
            it->forwarding.routes = std::make_shared<const route_table>(configuration);
            it->forwarding.cold_starts.set_rules(cold_start_rules{1.0, 0.0});
            it->forwarding.cold_starts.update_instance_count(group_.all.size(), settled);
            it->owner->update_roles(settled);
        }
    }
    void make_cold(int engines) {
        for (const auto& it : group_.all) {
            for (int i = 0; i < engines; ++i) {
                registered_backend cold = backend(fmt::format("i-{}", i));
                cold.slow_until = monotonic_now() + seconds(60);
                it->forwarding.registry.update(cold, monotonic_now());
            }
        }
    }
    int given(const std::string& id, int requests) {
        int out = 0;
        for (int i = 0; i < requests; ++i) {
            const auto choice = ask(asker(), request());
            out += choice && choice->engine && choice->engine->id.text() == id ? 1 : 0;
        }
        return out;
    }
};

// An engine is back cold and idle while the others are full; each request finds it the best. It
// gets half of what it bears, and the rest go to warm ones.
TEST_F(cold_engines, an_idle_one_gets_its_part) {
    make_cold(1);
    for (int i = 1; i < engine_count; ++i) {
        owner().forwarding.loads.add(backend_id(fmt::format("i-{}", i)), {5, 42'000, 0});
    }
    EXPECT_EQ(given("i-0", 10), 2);
}

// All are cold: every one has its part, and who comes beyond that is refused, not queued there.
TEST_F(cold_engines, all_together_have_the_sum_of_their_parts) {
    make_cold(engine_count);
    int placed = 0;
    for (int i = 0; i < 3 * engine_count; ++i) {
        const auto choice = ask(asker(), request());
        placed += choice && choice->engine && choice->result == admission_result::admit ? 1 : 0;
    }
    EXPECT_EQ(placed, 2 * engine_count);
}

// An engine refuses at once whatever it is sent, so it looks idle. Those that sent there tell the
// owner with their work, and callers are sent elsewhere until it serves again.
TEST_F(owner_scheduler_test, an_engine_that_fails_others_gets_little) {
    const backend_id failing("i-7");
    for (const auto& it : group_.all) {
        for (int i = 0; i < engine_count; ++i) {
            const backend_id id(fmt::format("i-{}", i));
            if (id != failing) {
                it->forwarding.loads.add(id, {1, 3'000, 0});
            }
        }
    }
    const auto told_by_asker = [&](bool succeeded) {
        asker().forwarding.engine_outcomes.note(failing, succeeded);
        owner().owner->hear(to_wire({}, asker().forwarding.engine_outcomes.take()),
                            asker().address());
    };
    EXPECT_EQ(ask(asker(), request())->engine->id, failing);
    for (int i = 0; i < 6; ++i) {
        told_by_asker(false);
    }
    for (int i = 0; i < 10; ++i) {
        EXPECT_NE(ask(*order_[3], request())->engine->id, failing);
    }
}

// Whoever passes a generation on sees how long its prompt took to be read, and tells those that
// choose engines.
TEST_F(owner_scheduler_test, reading_is_told_to_the_owner) {
    const backend_id slow("i-3");
    for (int i = 0; i < 30; ++i) {
        asker().forwarding.engine_outcomes.record_prefill(slow, {3'000.0, 3'000.0});
        owner().owner->hear(to_wire({}, asker().forwarding.engine_outcomes.take()),
                            asker().address());
    }
    const prefill_rates& rates = owner().forwarding.prefill;
    EXPECT_LT(rates.tokens_per_ms(service_id("s"), backend_hash(slow)), 2.0);
}

// Work is told to the owner and its deputy only, and by these to each other.
TEST_F(owner_scheduler_test, only_the_owners_are_told_of_work) {
    const std::vector<std::string> told = asker().owner->load_report_recipients();
    EXPECT_EQ((std::set<std::string>(told.begin(), told.end())),
              (std::set<std::string>{owner().address(), deputy().address()}));
    EXPECT_EQ(owner().owner->load_report_recipients(),
              std::vector<std::string>{deputy().address()});
}

} // namespace
} // namespace bamboostream::test
