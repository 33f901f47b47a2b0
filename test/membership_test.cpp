#include "bamboostream/Membership"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <memory>
#include <random>
#include <set>

namespace bamboostream {
namespace {

constexpr milliseconds period{400};

/// Member tables that exchange probes in simulated time; a fault is a set of names that are cut.
class gossip_group {
public:
    explicit gossip_group(int count) {
        for (int i = 0; i < count; ++i) {
            add("m" + std::to_string(i), 1);
        }
    }
    void add(const std::string& name, wall_time stamp) {
        member_facts self;
        self.id = {name, stamp};
        self.caller_address = name + "-callers";
        self.failure_domain = failure_domain_id("d" + std::to_string(tables_.size() % 3));
        tables_[name] = std::make_unique<member_table>(self, membership_timing{}, seed_++);
    }
    member_table& at(const std::string& name) { return *tables_.at(name); }
    void kill(const std::string& name) { dead_.insert(name); }
    void revive(const std::string& name) { dead_.erase(name); }
    void remove(const std::string& name) { tables_.erase(name); }

    void run_for(duration time) {
        const time_point until = now_ + time;
        while (now_ < until) {
            step();
        }
    }
    time_point now() const { return now_; }

private:
    void step() {
        now_ += period;
        std::vector<std::string> seeds;
        for (const auto& [name, table] : tables_) {
            seeds.push_back(name);
        }
        for (auto& [name, table] : tables_) {
            if (dead_.contains(name)) {
                continue;
            }
            table->set_seeds(seeds, now_);
            for (const std::string& peer : table->choose_probes(now_)) {
                probe(*table, name, peer);
            }
            table->expire(now_);
        }
    }
    bool reachable(const std::string& peer) const {
        return tables_.contains(peer) && !dead_.contains(peer);
    }
    void probe(member_table& asker, const std::string& name, const std::string& peer) {
        if (!reachable(peer)) {
            asker.probe_failed(peer, now_);
            return;
        }
        exchange(asker, name, at(peer), peer);
        asker.probe_answered(peer, now_);
    }
    void exchange(member_table& a, const std::string& a_name, member_table& b,
                  const std::string& b_name) {
        const member_gossip asked = a.probe_gossip();
        b.hear(asked, a_name, now_);
        const member_gossip answer = b.answer_gossip(asked);
        a.hear(answer, b_name, now_);
        if (const auto missing = a.gossip_missing_at(answer)) {
            b.hear(*missing, a_name, now_);
        }
    }

    std::map<std::string, std::unique_ptr<member_table>> tables_;
    std::set<std::string> dead_;
    time_point now_{seconds(100)};
    std::uint64_t seed_ = 1;
};

bool usable(gossip_group& g, const std::string& observer, const std::string& name) {
    for (const member_facts& f : g.at(observer).usable()) {
        if (f.id.address == name) {
            return true;
        }
    }
    return false;
}

struct group_size {
    int members;
    friend void PrintTo(const group_size& s, std::ostream* out) { *out << s.members; }
};
class gossip_test : public testing::TestWithParam<group_size> {};

TEST_P(gossip_test, everyone_finds_everyone_and_a_death_spreads) {
    const int n = GetParam().members;
    gossip_group g(n);
    g.run_for(seconds(2) + n * milliseconds(200));
    for (int i = 0; i < n; ++i) {
        EXPECT_EQ(g.at("m" + std::to_string(i)).usable().size(), static_cast<std::size_t>(n));
    }
    g.kill("m1");
    g.run_for(seconds(2) + milliseconds(400));
    int still_offered = 0;
    for (int i = 0; i < n; ++i) {
        still_offered += i != 1 && usable(g, "m" + std::to_string(i), "m1") ? 1 : 0;
    }
    EXPECT_LE(still_offered, n / 20);
}

INSTANTIATE_TEST_SUITE_P(sizes, gossip_test,
                         testing::Values(group_size{3}, group_size{8}, group_size{50}),
                         [](const auto& info) {
                             return "members_" + std::to_string(info.param.members);
                         });

// A frozen instance is suspected, then gone; when it wakes it refutes and is offered again, and it
// does not accuse the others for the probes that timed out while it slept.
/// Many instances that know three seeds each and come up within 0.3 s. One exchange takes 5 ms.
class joining_group {
public:
    explicit joining_group(int count) : random_(11) {
        for (int i = 0; i < count; ++i) {
            start("m" + std::to_string(i));
        }
    }
    /// A process comes up anew, with nothing known.
    void start(const std::string& name) {
        member_facts self;
        self.id = {name, ++last_stamp_};
        self.caller_address = name + "-callers";
        self.failure_domain = failure_domain_id("d" + std::to_string(last_stamp_ % 5));
        instance& fresh = instances_[name];
        fresh.table = std::make_unique<member_table>(self, membership_timing{},
                                                     static_cast<std::uint64_t>(last_stamp_));
        fresh.table->set_seeds(seeds_, now_);
        fresh.next = now_ + milliseconds(random_() % 300);
    }
    void run_for(duration time) {
        const time_point until = now_ + time;
        while (now_ < until) {
            now_ += milliseconds(5);
            for (auto& [name, from] : instances_) {
                if (now_ >= from.next) {
                    probe(name, from);
                }
            }
        }
    }
    /// The share of all pairs in which one knows the present life of the other as usable.
    double known_share() const {
        std::size_t known = 0;
        for (const auto& [name, from] : instances_) {
            for (const member_facts& f : from.table->usable()) {
                known += f.id == instances_.at(f.id.address).table->self().id ? 1 : 0;
            }
        }
        return static_cast<double>(known) /
               static_cast<double>(instances_.size() * instances_.size());
    }
    std::size_t facts_told() const { return facts_told_; }
    std::size_t keys_told() const { return keys_told_; }
    std::size_t most_told_by_one() const {
        std::size_t most = 0;
        for (const auto& [name, from] : instances_) {
            most = std::max(most, from.told);
        }
        return most;
    }

private:
    struct instance {
        std::unique_ptr<member_table> table;
        time_point next;
        std::size_t told = 0;
    };

    void count(instance& from, const member_gossip& told) {
        facts_told_ += told.facts.size();
        keys_told_ += told.keys.size();
        from.told += told.facts.size();
    }
    void probe(const std::string& name, instance& from) {
        for (const std::string& peer : from.table->choose_probes(now_)) {
            instance& to = instances_.at(peer);
            const member_gossip asked = from.table->probe_gossip();
            to.table->hear(asked, name, now_);
            const member_gossip answer = to.table->answer_gossip(asked);
            from.table->hear(answer, peer, now_);
            from.table->probe_answered(peer, now_);
            count(from, asked);
            count(to, answer);
            if (const auto missing = from.table->gossip_missing_at(answer)) {
                to.table->hear(*missing, name, now_);
                count(from, *missing);
            }
        }
        from.next = now_ + from.table->probe_pause();
    }

    std::mt19937_64 random_;
    std::map<std::string, instance> instances_;
    std::vector<std::string> seeds_{"m0", "m1", "m2"};
    wall_time last_stamp_ = 0;
    time_point now_{seconds(100)};
    std::size_t facts_told_ = 0;
    std::size_t keys_told_ = 0;
};

/// How many start, how many of them once more later, and by when all must know all.
struct joining_row {
    std::string name;
    int members;
    int restarted;
    milliseconds within;
    friend void PrintTo(const joining_row& row, std::ostream* out) { *out << row.name; }
};
class joining_test : public testing::TestWithParam<joining_row> {};

// Machines start together, or processes are killed together, and each knows three addresses at
// most. Until all know all they disagree on who does what for the others: while 295 instances knew
// some forty each, eighteen of them read the store for all, and callers were sent to a few only.
TEST_P(joining_test, all_know_all_in_time) {
    const joining_row& row = GetParam();
    joining_group group(row.members);
    if (row.restarted > 0) {
        group.run_for(seconds(20));
        for (int i = 0; i < row.restarted; ++i) {
            group.start("m" + std::to_string(i));
        }
    }
    const std::size_t told_before = group.facts_told();
    std::string steps;
    for (milliseconds at{0}; at < row.within; at += milliseconds(250)) {
        group.run_for(milliseconds(250));
        steps += fmt::format(" {:.3f}", group.known_share());
    }
    fmt::print("{}: share of pairs each 250 ms{}; {} facts told, {} by one, {} keys\n", row.name,
               steps, group.facts_told() - told_before, group.most_told_by_one(),
               group.keys_told());
    EXPECT_EQ(group.known_share(), 1.0);
}

INSTANTIATE_TEST_SUITE_P(
    sizes, joining_test,
    testing::Values(joining_row{"start_of_8", 8, 0, milliseconds(1'000)},
                    joining_row{"start_of_300", 300, 0, milliseconds(2'000)},
                    joining_row{"start_of_1100", 1'100, 0, milliseconds(3'000)},
                    joining_row{"half_of_300_killed", 300, 150, milliseconds(2'000)},
                    joining_row{"all_of_300_killed", 300, 300, milliseconds(2'000)}),
    [](const auto& info) { return info.param.name; });

TEST(member_table_test, frozen_instance_wakes_and_comes_right) {
    gossip_group g(6);
    g.run_for(seconds(4));
    g.kill("m2");
    g.run_for(seconds(10));
    EXPECT_FALSE(usable(g, "m0", "m2"));
    g.revive("m2");
    g.at("m2").choose_probes(g.now());
    g.at("m2").probe_failed("m0", g.now());
    EXPECT_TRUE(usable(g, "m2", "m0"));
    g.run_for(seconds(6));
    EXPECT_TRUE(usable(g, "m0", "m2"));
    EXPECT_TRUE(usable(g, "m5", "m2"));
}

TEST(member_table_test, restart_at_the_same_address_supersedes_and_old_news_does_not) {
    gossip_group g(4);
    g.run_for(seconds(3));
    g.at("m3").begin_leaving();
    g.run_for(seconds(3));
    EXPECT_FALSE(usable(g, "m0", "m3"));
    g.remove("m3");
    g.add("m3", 2);
    g.run_for(seconds(4));
    EXPECT_TRUE(usable(g, "m0", "m3"));
    member_facts old;
    old.id = {"m3", 1};
    old.state = liveness::gone;
    old.incarnation = 99;
    g.at("m0").merge(old, false, g.now());
    EXPECT_TRUE(usable(g, "m0", "m3"));
}

// When most probes fail at once, the likelier fault is one's own network: no one is accused.
TEST(member_table_test, suspects_itself_when_most_seem_gone) {
    gossip_group g(8);
    g.run_for(seconds(4));
    member_table& lonely = g.at("m0");
    for (int i = 1; i < 8; ++i) {
        lonely.probe_failed("m" + std::to_string(i), g.now() + milliseconds(i));
    }
    EXPECT_TRUE(lonely.suspects_itself());
    EXPECT_GE(lonely.usable().size(), 5U);
}

TEST(member_table_test, leaving_is_never_taken_back_for_the_same_start) {
    gossip_group g(3);
    g.run_for(seconds(3));
    g.at("m1").begin_leaving();
    g.run_for(seconds(3));
    member_facts stale = *g.at("m0").find("m1");
    EXPECT_TRUE(stale.leaving);
    stale.leaving = false;
    stale.incarnation += 1;
    g.at("m0").merge(stale, false, g.now());
    EXPECT_TRUE(g.at("m0").find("m1")->leaving);
}

TEST(directory_test, near_first_and_never_empty) {
    gossip_group g(6);
    g.run_for(seconds(4));
    std::mt19937_64 random(1);
    const auto answer = make_directory_answer(g.at("m0"), "d1", random);
    ASSERT_EQ(answer.entries.size(), 6U);
    EXPECT_EQ(answer.entries[0].failure_domain.text(), "d1");
    EXPECT_EQ(answer.entries[1].failure_domain.text(), "d1");
    g.at("m0").begin_leaving();
    for (int i = 1; i < 6; ++i) {
        g.kill("m" + std::to_string(i));
    }
    g.run_for(seconds(20));
    EXPECT_FALSE(make_directory_answer(g.at("m0"), "d1", random).entries.empty());
}

// A rush that asks one instance must spread over all.
TEST(directory_test, first_entries_are_spread) {
    gossip_group g(8);
    g.run_for(seconds(4));
    std::mt19937_64 random(1);
    std::map<std::string, int> first;
    for (int i = 0; i < 8'000; ++i) {
        ++first[make_directory_answer(g.at("m0"), "elsewhere", random).entries[0].address];
    }
    for (const auto& [address, count] : first) {
        EXPECT_NEAR(count, 1'000, 200) << address;
    }
    EXPECT_EQ(first.size(), 8U);
}

backend_facts listed(backend_state state) {
    backend_facts facts;
    facts.id = backend_id("b");
    facts.group = "g";
    facts.start_stamp = 5;
    facts.state = state;
    return facts;
}

struct backend_step {
    const char* name;
    void (*apply)(backend_table& table);
    backend_state expected;
    friend void PrintTo(const backend_step& s, std::ostream* out) { *out << s.name; }
};
class backend_table_test : public testing::TestWithParam<backend_step> {};

// After the server itself has said that it leaves, only a later life of it brings it back.
TEST_P(backend_table_test, after_own_word_of_leaving) {
    backend_table table;
    table.update_from_list({listed(backend_state::live)}, {});
    table.observe("b", 5, backend_state::leaving, {});
    GetParam().apply(table);
    EXPECT_EQ(table.find("b")->state, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    steps, backend_table_test,
    testing::Values(
        backend_step{
            "stale_list_says_live",
            [](backend_table& t) { t.update_from_list({listed(backend_state::live)}, {}); },
            backend_state::leaving},
        backend_step{"late_answer_says_live",
                     [](backend_table& t) { t.observe("b", 5, backend_state::live, {}); },
                     backend_state::leaving},
        backend_step{"older_life_says_live",
                     [](backend_table& t) { t.observe("b", 4, backend_state::live, {}); },
                     backend_state::leaving},
        backend_step{"restarted",
                     [](backend_table& t) { t.observe("b", 6, backend_state::live, {}); },
                     backend_state::live}),
    [](const auto& info) { return std::string(info.param.name); });

// An engine that loaded a model takes work again afterwards: loading is no leaving.
TEST(backend_table_loading_test, comes_back_when_done) {
    backend_table table;
    table.update_from_list({listed(backend_state::live)}, {});
    table.observe("b", 5, backend_state::loading, {});
    EXPECT_FALSE(table.may_get_work("b"));
    table.observe("b", 5, backend_state::live, {});
    EXPECT_TRUE(table.may_get_work("b"));
}

} // namespace
} // namespace bamboostream
