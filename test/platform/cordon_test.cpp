// Tests failure domains that the operator takes out of service (cordons): how a cordon reaches all
// instances, and which requests it stops.

#include "platform/platform_record_codec.h"
#include "platform/platform_request_codec.h"
#include "test/platform/decision_helpers.h"
#include "test/platform/forwarding_fixture.h"
#include "test/platform/peer_group.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

constexpr record_topic documents = record_topic::operator_documents;

std::string names_of(const std::set<failure_domain_id>& domains) {
    std::string out;
    for (const failure_domain_id& domain : domains) {
        out += (out.empty() ? "" : ",") + domain.text();
    }
    return out;
}

// --- keys of records

struct key_row {
    std::string name;
    std::string key;
    std::string domain;
};

class cordon_key : public testing::TestWithParam<key_row> {};

INSTANTIATE_TEST_SUITE_P(table, cordon_key,
                         testing::Values(key_row{"order", "evacuate/norra", "norra"},
                                         key_row{"with_a_slash", "evacuate/a/b", "a/b"},
                                         key_row{"without_a_domain", "evacuate/", ""},
                                         key_row{"without_a_slash", "evacuate", ""},
                                         key_row{"configuration", "config", ""},
                                         key_row{"other", "stop/norra", ""}),
                         [](const auto& info) { return info.param.name; });

TEST_P(cordon_key, names_a_failure_domain_or_nothing) {
    const platform::platform_record_codec records;
    const auto domain = records.cordoned_domain(GetParam().key);
    EXPECT_EQ(domain ? domain->text() : "", GetParam().domain);
}

// --- which source takes precedence

/// One of a series of updates. `from` is "all" for the newest records of the store, "read" for
/// records that follow, and "told" for an announcement of another instance.
struct cordon_update {
    std::string from;
    std::int64_t position;
    /// Comma-separated failure domains; a minus sign marks one that was put back into service.
    std::string domains;
};
struct updates_row {
    std::string name;
    std::vector<cordon_update> updates;
    std::string cordoned;
    std::int64_t position;
};

class cordon_words : public testing::TestWithParam<updates_row> {
protected:
    cordon_words()
        : forwarding_(requests_, failure_domain_id("z"), {}, 1), state_(forwarding_, records_) {}

    static std::vector<std::string> split(const std::string& text) {
        std::vector<std::string> out;
        std::size_t begin = 0;
        while (begin < text.size()) {
            const std::size_t end = std::min(text.find(',', begin), text.size());
            out.push_back(text.substr(begin, end - begin));
            begin = end + 1;
        }
        return out;
    }

    void apply(const cordon_update& update) {
        std::vector<keyed_record> records;
        cordoned_domains peer_cordons;
        peer_cordons.position = update.position;
        for (const std::string& name : split(update.domains)) {
            const bool restored = name.starts_with('-');
            records.push_back({"evacuate/" + name.substr(restored ? 1 : 0), restored ? "" : "{}"});
            peer_cordons.domains.emplace(name);
        }
        if (update.from == "told") {
            state_.apply_peer_cordons(peer_cordons);
        } else {
            state_.apply_cordon_records(records, update.from == "all", update.position);
        }
    }

    const platform::platform_request_codec requests_;
    const platform::platform_record_codec records_;
    forwarding_state forwarding_;
    deployment_state state_;
};

INSTANTIATE_TEST_SUITE_P(
    table, cordon_words,
    testing::Values(
        updates_row{"first_read", {{"all", 3, "norra"}}, "norra", 3},
        updates_row{"order_read", {{"all", 3, ""}, {"read", 4, "norra"}}, "norra", 4},
        updates_row{"two_orders", {{"all", 3, "norra"}, {"read", 4, "verket"}}, "norra,verket", 4},
        updates_row{"restored", {{"all", 3, "norra"}, {"read", 4, "-norra"}}, "", 4},
        updates_row{"restored_one_of_two",
                    {{"all", 4, "norra,verket"}, {"read", 5, "-norra"}},
                    "verket",
                    5},
        updates_row{"ordered_again",
                    {{"all", 3, "norra"}, {"read", 4, "-norra"}, {"read", 5, "norra"}},
                    "norra",
                    5},
        // The history no longer has the record; the newest records of all keys decide.
        updates_row{"history_forgotten", {{"all", 3, "norra"}, {"all", 9, ""}}, "", 9},
        updates_row{"history_forgotten_order_holds",
                    {{"all", 3, "norra"}, {"all", 9, "norra"}},
                    "norra",
                    9},
        updates_row{"told_of_an_order", {{"all", 3, ""}, {"told", 4, "norra"}}, "norra", 4},
        updates_row{"told_of_the_end", {{"all", 3, "norra"}, {"told", 4, ""}}, "", 4},
        updates_row{"told_by_one_that_lags", {{"read", 5, "norra"}, {"told", 4, ""}}, "norra", 5},
        updates_row{"old_order_told_after_the_end", {{"read", 5, ""}, {"told", 4, "norra"}}, "", 5},
        updates_row{
            "told_by_one_that_knows_nothing", {{"all", 3, "norra"}, {"told", 0, ""}}, "norra", 3},
        updates_row{"store_went_back", {{"read", 9, "norra"}, {"all", 4, ""}}, "", 4}),
    [](const auto& info) { return info.param.name; });

// Guards against an instance that ignores a newer update or applies an older one: requests would
// reach a failure domain that is out of service, or one that is back would stay idle.
TEST_P(cordon_words, the_newer_position_wins_whoever_tells) {
    for (const cordon_update& update : GetParam().updates) {
        apply(update);
    }
    EXPECT_EQ(names_of(state_.cordons().domains), GetParam().cordoned);
    EXPECT_EQ(names_of(forwarding_.registry.cordoned()), GetParam().cordoned);
    EXPECT_EQ(state_.cordons().position, GetParam().position);
}

// Keys with no meaning are counted as rejected once, however often they are read.
TEST_F(cordon_words, unknown_keys_are_counted_once) {
    const std::vector<keyed_record> records = {{"evacuate/", "{}"}, {"stop/norra", "{}"}};
    for (int i = 0; i < 3; ++i) {
        state_.apply_cordon_records(records, true, 2);
    }
    EXPECT_EQ(state_.rejected_documents(), 2u);
}

// --- which requests it stops

// A server is usable again once its failure domain is back in service, whatever was learned in the
// meantime.
TEST(cordoned_registry, servers_take_no_work_until_their_domain_is_back) {
    backend_registry registry;
    registry.update(backend("a", "norra"), start);
    registry.update(backend("b", "verket"), start);
    const auto usable = [&] { return registry.usable(service_id("s")).size(); };
    registry.set_cordoned({failure_domain_id("norra"), failure_domain_id("unknown")});
    EXPECT_EQ(usable(), 1u);
    EXPECT_FALSE(registry.takes_work(backend_id("a")));
    registry.update(backend("c", "norra"), start);
    EXPECT_FALSE(registry.takes_work(backend_id("c")));
    registry.set_cordoned({});
    EXPECT_EQ(usable(), 3u);
    EXPECT_FALSE(registry.takes_work(backend_id("d")));
}

struct route_row {
    std::string name;
    std::string route;
    std::string service;
};

class cordoned_service : public testing::TestWithParam<route_row> {};

INSTANTIATE_TEST_SUITE_P(table, cordoned_service,
                         testing::Values(route_row{"plain_once", "once", "calls"},
                                         route_row{"plain_repeatable", "safe", "calls"},
                                         route_row{"generation", "long", "engines"},
                                         route_row{"resumable", "label", "engines"}),
                         [](const auto& info) { return info.param.name; });

// All servers of a service are out of service. The caller is refused at once, because waiting would
// only delay the same answer until its deadline.
TEST_P(cordoned_service, is_refused_at_once) {
    forwarding_fixture f;
    scripted_backend& server = f.add("i-1", answering("x"), GetParam().service);
    f.state().registry.set_cordoned({failure_domain_id("norra")});
    const auto view = f.ask(GetParam().route, "a1");
    f.finish(view, milliseconds(100));
    EXPECT_EQ(view->status(), 503);
    EXPECT_FALSE(view->field("Retry-After").empty());
    EXPECT_TRUE(server.requests().empty());
}

// A server resets the connection while its failure domain is taken out of service. The retry of the
// request must not go to that domain.
TEST(cordoned_send, a_further_send_goes_to_another_domain) {
    forwarding_fixture f;
    forwarding_state& state = f.state();
    f.add("i-1", [&state](scripted_connection& c) -> asio::awaitable<void> {
        state.registry.set_cordoned({failure_domain_id("norra")});
        c.reset();
        co_return;
    });
    const auto view = f.ask("safe", "a1");
    for (int ms = 0; state.registry.cordoned().empty() && ms < 1'000; ++ms) {
        f.run_for(milliseconds(1));
    }
    scripted_backend& second = f.add("i-2", answering("never asked"));
    f.finish(view);
    EXPECT_TRUE(second.requests().empty());
    EXPECT_NE(view->status(), 200);
}

// --- how it reaches all instances

constexpr int domains = 3;
constexpr int instances_a_domain = 4;
constexpr int all_instances = domains * instances_a_domain;

class cordon_news : public testing::Test {
protected:
    cordon_news() {
        write("config", R"({"version":1,"routes":[],"services":[],"limits":{}})");
        group_.records.append(record_topic::backend_entries,
                              {"i-1", R"({"service":"s","address":"10.0.0.1:80","zone":"norra",
"version":"v","slots":6,"state":"ready","cold_left_ms":0,"sequence":1})"});
        for (const auto& it : group_.all) {
            it->distributor->start();
            it->news->start();
            it->follower.start(*it->news);
        }
        group_.run_for(milliseconds(1'500));
    }
    void write(const std::string& key, const std::string& value) {
        group_.records.append(documents, {key, value});
    }
    int cordoning() const {
        return static_cast<int>(
            std::count_if(group_.all.begin(), group_.all.end(), [this](const auto& it) {
                return !dead_.contains(it.get()) &&
                       !it->forwarding.registry.takes_work(backend_id("i-1"));
            }));
    }
    /// Runs until exactly `instances` instances apply the cordon, at most 3 s; returns the time
    /// taken.
    duration time_until(int instances) {
        const time_point began = monotonic_now();
        while (cordoning() != instances && monotonic_now() - began < seconds(3)) {
            group_.run_for(milliseconds(5));
        }
        return monotonic_now() - began;
    }
    int documents_read_by_others() const {
        const auto order = group_.owners("store");
        int out = 0;
        for (const auto& it : group_.all) {
            const bool reads = it.get() == order[0] || it.get() == order[1];
            out += reads ? 0 : it->store.calls();
        }
        return out;
    }

    peer_group group_{domains, instances_a_domain};
    std::set<const peer_instance*> dead_;
};

// The readers announce the cordon and its end to all instances; the others don't call the store.
TEST_F(cordon_news, all_learn_an_order_and_its_end_from_the_readers) {
    const int calls = documents_read_by_others();
    write("evacuate/norra", "{}");
    EXPECT_LT(time_until(all_instances), milliseconds(300));
    write("evacuate/norra", "");
    EXPECT_LT(time_until(0), milliseconds(300));
    EXPECT_EQ(documents_read_by_others(), calls);
}

struct loss_row {
    std::string name;
    /// Positions in the order of instances that read the store for all.
    std::vector<std::size_t> turned_away;
    std::vector<std::size_t> deaf;
    std::vector<std::size_t> dead;
};

class cordon_losses : public cordon_news, public testing::WithParamInterface<loss_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, cordon_losses,
    testing::Values(loss_row{"one_reader_turned_away", {0}, {}, {}},
                    loss_row{"both_readers_turned_away", {0, 1}, {}, {}},
                    loss_row{"half_turned_away", {0, 1, 2, 3, 4, 5}, {}, {}},
                    loss_row{"one_that_reads_for_itself_hears_nobody", {}, {11}, {}},
                    loss_row{"turned_away_and_hears_no_reader", {11}, {11}, {}},
                    loss_row{"readers_dead", {}, {}, {0, 1}}),
    [](const auto& info) { return info.param.name; });

// An instance that the store turns away, that receives no announcements of readers, or whose
// readers died, learns of the cordon from substitutes, the store or a peer, well before the time
// after which no request may reach the failure domain.
TEST_P(cordon_losses, are_made_up_for) {
    const auto order = group_.owners("store");
    for (const std::size_t i : GetParam().turned_away) {
        order[i]->store.turned_away = true;
    }
    for (const std::size_t i : GetParam().deaf) {
        order[i]->drops_store_news = true;
    }
    for (const std::size_t i : GetParam().dead) {
        group_.kill(*order[i]);
        dead_.insert(order[i]);
    }
    const int dead = static_cast<int>(GetParam().dead.size());
    write("evacuate/norra", "{}");
    EXPECT_LT(time_until(all_instances - dead), milliseconds(2'500));
}

// An instance of the previous release announces the age of its configuration view, and nothing
// about cordons. If that counted as a fresh view of both, no instance would ever read the cordon.
TEST_F(cordon_news, a_teller_without_cordons_keeps_nobody_from_reading) {
    peer_instance& other = *group_.owners("store").back();
    other.drops_store_news = true;
    wire::StoreNewsT old_news;
    old_news.configuration_version = 1;
    old_news.documents_age_ms = 0;
    const std::string reader = group_.owners("store").front()->address();
    const time_point limit = monotonic_now() + seconds(3);
    write("evacuate/norra", "{}");
    bool known = false;
    while (!known && monotonic_now() < limit) {
        other.news->hear(reader, 0, old_news);
        group_.run_for(milliseconds(20));
        known = !other.forwarding.registry.takes_work(backend_id("i-1"));
    }
    EXPECT_TRUE(known);
}

} // namespace
} // namespace bamboostream::test
