// One instance chooses the engines of a service for all others, over real links on loopback.

#include "bamboostream/Gateway"
#include "bamboostream/src/Control/frames.h"
#include "platform/request_translation.h"
#include "test/platform/decision_helpers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <memory>
#include <set>

namespace bamboostream {
namespace {

namespace asio = boost::asio;

constexpr std::int64_t engine_memory = 30'000;
constexpr int engine_count = 40;

/// Addresses at which other instances may be found.
class fixed_seeds final : public instance_list {
public:
    explicit fixed_seeds(std::vector<std::string> seeds) : seeds_(std::move(seeds)) {}
    asio::awaitable<std::optional<machine_list>> read(list_failure&) override {
        machine_list out;
        out.instances = seeds_;
        co_return out;
    }

private:
    std::vector<std::string> seeds_;
};

std::shared_ptr<const route_table> one_service() {
    routing_configuration configuration;
    service_rule service;
    service.id = service_id("s");
    service.engine.emplace();
    service.engine->memory_tokens = engine_memory;
    configuration.services.push_back(service);
    return std::make_shared<const route_table>(configuration);
}

/// As much of an instance as choosing engines takes.
struct instance {
    instance(asio::io_context& context, const platform::request_translation& codec,
             const std::string& domain, std::vector<std::string> seeds)
        : links(context,
                [this](std::unique_ptr<wire::FrameT> frame) { return handle(std::move(frame)); }),
          forwarding(codec, failure_domain_id(domain), window_budget_rules{}, 7) {
        std::string why;
        member_facts self;
        self.id = {links.listen("127.0.0.1:0", why).value_or(why), wall_now()};
        self.failure_domain = failure_domain_id(domain);
        links.set_identity(self.id);
        membership = std::make_unique<membership_service>(
            context, links, std::make_unique<fixed_seeds>(std::move(seeds)), self,
            membership_service::timing{}, stable_hash(self.id.address));
        owner = std::make_unique<pool_owner>(links, *membership, forwarding, 1);
        forwarding.routes = one_service();
        for (int i = 0; i < engine_count; ++i) {
            forwarding.registry.learn(backend(fmt::format("i-{}", i)), monotonic_now());
        }
        membership->start();
    }

    asio::awaitable<std::unique_ptr<wire::FrameT>> handle(std::unique_ptr<wire::FrameT> frame) {
        if (frame->message.type == wire::Message::Probe) {
            co_return co_await membership->handle_probe(*frame->message.AsProbe(), frame->sender);
        }
        if (frame->message.type == wire::Message::AdmitRequest) {
            ++asked;
            co_return owner->answer(*frame->message.AsAdmitRequest(), frame->sender);
        }
        co_return nullptr;
    }
    const std::string& address() const { return membership->own_address(); }

    link_hub links;
    forwarding_state forwarding;
    std::unique_ptr<membership_service> membership;
    std::unique_ptr<pool_owner> owner;
    int asked = 0;
};

class pool_owner_test : public testing::Test {
protected:
    pool_owner_test() {
        std::vector<std::string> seeds;
        for (int i = 0; i < 4; ++i) {
            all_.push_back(std::make_unique<instance>(context_, codec_, std::to_string(i), seeds));
            seeds.push_back(all_.back()->address());
        }
        const time_point limit = monotonic_now() + seconds(5);
        while (!all_know_all() && monotonic_now() < limit) {
            context_.run_for(milliseconds(20));
        }
        const auto order = all_[0]->membership->owners("s", all_.size());
        for (const std::string& address : order) {
            for (const auto& it : all_) {
                if (it->address() == address) {
                    order_.push_back(it.get());
                }
            }
        }
    }
    bool all_know_all() const {
        return std::all_of(all_.begin(), all_.end(), [this](const auto& it) {
            return it->membership->usable_peers().size() + 1 == all_.size();
        });
    }
    engine_request request() const {
        engine_request out;
        out.service = service_id("s");
        out.work = {1, 9'000, 3'000};
        out.objective = milliseconds(1'500);
        out.near = failure_domain_id("norra");
        return out;
    }
    std::optional<engine_choice> ask(instance& from, const engine_request& wanted) {
        std::optional<engine_choice> out;
        bool done = false;
        asio::co_spawn(
            context_,
            [&]() -> asio::awaitable<void> {
                out = co_await from.owner->choose(wanted);
                done = true;
            },
            asio::detached);
        while (!done) {
            context_.run_one();
        }
        return out;
    }
    instance& owner() { return *order_[0]; }
    instance& deputy() { return *order_[1]; }
    instance& asker() { return *order_[2]; }

    asio::io_context context_{1};
    platform::request_translation codec_;
    std::vector<std::unique_ptr<instance>> all_;
    /// The owner of the service, its deputy, and the rest.
    std::vector<instance*> order_;
};

// Two instances ask one right after the other, before either has told of its work. The owner counts
// what it gave the first, so no engine is given twice while others are idle.
TEST_F(pool_owner_test, counts_each_choice_at_once) {
    std::set<std::string> given;
    for (int i = 0; i < engine_count / 2; ++i) {
        const auto choice = ask(i % 2 == 0 ? asker() : *order_[3], request());
        ASSERT_TRUE(choice && choice->engine);
        EXPECT_EQ(choice->verdict, admission_verdict::admit);
        EXPECT_TRUE(given.insert(choice->engine->id.text()).second);
    }
    EXPECT_EQ(owner().asked, engine_count / 2);
    EXPECT_EQ(deputy().asked, 0);
}

// What an instance tells replaces what the owner expected of it, so nothing is counted twice.
TEST_F(pool_owner_test, a_telling_replaces_what_was_expected) {
    const auto choice = ask(asker(), request());
    ASSERT_TRUE(choice && choice->engine);
    const backend_id& id = choice->engine->id;
    EXPECT_EQ(owner().forwarding.loads.total(id, monotonic_now()).memory_tokens, 9'000);
    const std::vector<backend_work_entry> told = {{work_key(id), {1, 9'100, 0}}};
    owner().forwarding.loads.hear(asker().address(), told, monotonic_now());
    EXPECT_EQ(owner().forwarding.loads.total(id, monotonic_now()).memory_tokens, 9'100);
}

// All engines are full. The caller is refused by the owner's word, as it would be by one's own.
TEST_F(pool_owner_test, says_when_no_engine_has_room) {
    for (int i = 0; i < engine_count; ++i) {
        owner().forwarding.loads.add(backend_id(fmt::format("i-{}", i)), {9, 60'000, 0});
    }
    const auto choice = ask(asker(), request());
    ASSERT_TRUE(choice && choice->engine);
    EXPECT_EQ(choice->verdict, admission_verdict::memory_full);
}

// The owner is gone and its death not known yet. The deputy answers, and the next request doesn't
// wait for the owner once more.
TEST_F(pool_owner_test, the_deputy_answers_for_a_silent_owner) {
    owner().links.close();
    EXPECT_TRUE(ask(asker(), request()));
    EXPECT_EQ(deputy().asked, 1);
    const time_point before = monotonic_now();
    EXPECT_TRUE(ask(asker(), request()));
    EXPECT_LT(monotonic_now() - before, milliseconds(50));
    EXPECT_EQ(deputy().asked, 2);
    EXPECT_EQ(asker().forwarding.counters.owners_silent, 1u);
}

// Nobody answers: the instance chooses by itself, after two short waits at most.
TEST_F(pool_owner_test, without_an_answer_each_chooses_by_itself) {
    owner().links.close();
    deputy().links.close();
    const time_point before = monotonic_now();
    EXPECT_FALSE(ask(asker(), request()));
    EXPECT_LT(monotonic_now() - before, milliseconds(300));
}

// The owner's view of the engines is older than the asker's, which knows that the engine leaves.
TEST_F(pool_owner_test, an_engine_that_is_known_to_leave_is_not_taken) {
    for (int i = 0; i < engine_count; ++i) {
        asker().forwarding.registry.mark_leaving(backend_id(fmt::format("i-{}", i)));
    }
    EXPECT_FALSE(ask(asker(), request()));
}

// Work is told to the owner and its deputy only, and by these to each other.
TEST_F(pool_owner_test, only_the_owners_are_told_of_work) {
    const std::vector<std::string> told = asker().owner->told_of_work();
    EXPECT_EQ((std::set<std::string>(told.begin(), told.end())),
              (std::set<std::string>{owner().address(), deputy().address()}));
    EXPECT_EQ(owner().owner->told_of_work(), std::vector<std::string>{deputy().address()});
}

} // namespace
} // namespace bamboostream
