#include "bamboostream/Membership"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <memory>
#include <random>
#include <set>

namespace bamboostream {
namespace {

constexpr milliseconds period{400};

/// Member tables that exchange probes in simulated time. Members in `dead_` neither send probes nor
/// answer them.
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
    /// Ends the process of a member, so that its machine refuses connections.
    void end(const std::string& name) {
        dead_.insert(name);
        refusing_.insert(name);
    }
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
            const auto process = asker.find(peer);
            asker.probe_failed(peer, now_);
            if (process && refusing_.contains(peer)) {
                asker.probe_refused(process->id, now_);
            }
            return;
        }
        exchange(asker, name, at(peer), peer);
        asker.probe_answered(peer, now_);
    }
    void exchange(member_table& a, const std::string& a_name, member_table& b,
                  const std::string& b_name) {
        const member_gossip probe_sent = a.probe_gossip();
        b.hear(probe_sent, a_name, now_);
        const member_gossip answer = b.answer_gossip(probe_sent);
        a.hear(answer, b_name, now_);
        if (const auto missing = a.gossip_missing_at(answer)) {
            b.hear(*missing, a_name, now_);
        }
    }

    std::map<std::string, std::unique_ptr<member_table>> tables_;
    std::set<std::string> dead_;
    std::set<std::string> refusing_;
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

TEST_P(gossip_test, all_discover_each_other_and_detect_a_failure) {
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

/// Many instances that know three seeds each and start within 0.3 s. Time advances in steps of 5
/// ms, and each exchange is completed within its step.
class joining_group {
public:
    explicit joining_group(int count) : random_(11) {
        for (int i = 0; i < count; ++i) {
            start("m" + std::to_string(i));
        }
    }
    /// Starts a new process of the instance with an empty member table.
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
    /// Fraction of all pairs in which one member knows the current process of the other as usable.
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
    std::size_t facts_sent() const { return facts_sent_; }
    std::size_t keys_sent() const { return keys_sent_; }
    std::size_t max_sent_by_one() const {
        std::size_t most = 0;
        for (const auto& [name, from] : instances_) {
            most = std::max(most, from.sent);
        }
        return most;
    }

private:
    struct instance {
        std::unique_ptr<member_table> table;
        time_point next;
        std::size_t sent = 0;
    };

    void count(instance& from, const member_gossip& sent) {
        facts_sent_ += sent.facts.size();
        keys_sent_ += sent.keys.size();
        from.sent += sent.facts.size();
    }
    void probe(const std::string& name, instance& from) {
        for (const std::string& peer : from.table->choose_probes(now_)) {
            instance& to = instances_.at(peer);
            const member_gossip probe_sent = from.table->probe_gossip();
            to.table->hear(probe_sent, name, now_);
            const member_gossip answer = to.table->answer_gossip(probe_sent);
            from.table->hear(answer, peer, now_);
            from.table->probe_answered(peer, now_);
            count(from, probe_sent);
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
    std::size_t facts_sent_ = 0;
    std::size_t keys_sent_ = 0;
};

/// Number of instances that start, how many of them restart later, and the time within which all
/// must know each other.
struct joining_row {
    std::string name;
    int members;
    int restarted;
    milliseconds within;
    friend void PrintTo(const joining_row& row, std::ostream* out) { *out << row.name; }
};
class joining_test : public testing::TestWithParam<joining_row> {};

// Many instances start or restart together, each with at most three known addresses. Until all know
// each other they disagree on which of them do shared tasks: while 295 instances knew about forty
// others each, eighteen of them read the store for all, and callers were directed to only a few.
TEST_P(joining_test, all_know_all_in_time) {
    const joining_row& row = GetParam();
    joining_group group(row.members);
    if (row.restarted > 0) {
        group.run_for(seconds(20));
        for (int i = 0; i < row.restarted; ++i) {
            group.start("m" + std::to_string(i));
        }
    }
    const std::size_t sent_before = group.facts_sent();
    std::string steps;
    for (milliseconds at{0}; at < row.within; at += milliseconds(250)) {
        group.run_for(milliseconds(250));
        steps += fmt::format(" {:.3f}", group.known_share());
    }
    fmt::print("{}: share of pairs each 250 ms{}; {} facts sent, {} by one, {} keys\n", row.name,
               steps, group.facts_sent() - sent_before, group.max_sent_by_one(), group.keys_sent());
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

// A suspended instance becomes suspect and then gone. When it continues, it refutes the suspicion
// and is usable again, and it does not suspect the others because of probes that timed out
// meanwhile.
TEST(member_table_test, suspended_instance_recovers) {
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

TEST(member_table_test, restart_at_the_same_address_supersedes_older_facts) {
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

// When most probes fail at once, the fault is likelier in the instance's own network, so it
// suspects no other member.
TEST(member_table_test, suspects_itself_when_most_seem_gone) {
    gossip_group g(8);
    g.run_for(seconds(4));
    member_table& isolated = g.at("m0");
    for (int i = 1; i < 8; ++i) {
        isolated.probe_failed("m" + std::to_string(i), g.now() + milliseconds(i));
    }
    EXPECT_TRUE(isolated.suspects_itself());
    EXPECT_GE(isolated.usable().size(), 5U);
}

struct end_row {
    std::string name;
    void (*act)(gossip_group&);
    std::size_t known_ends;
    friend void PrintTo(const end_row& row, std::ostream* out) { *out << row.name; }
};

class known_ends : public testing::TestWithParam<end_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, known_ends,
    testing::Values(end_row{"unreachable", [](gossip_group& g) { g.kill("m2"); }, 0},
                    end_row{"refuses_connections", [](gossip_group& g) { g.end("m2"); }, 1},
                    end_row{"half_refuse_connections",
                            [](gossip_group& g) {
                                for (const char* name : {"m1", "m2", "m3", "m4"}) {
                                    g.end(name);
                                }
                            },
                            4},
                    end_row{"leaves", [](gossip_group& g) { g.at("m2").begin_leaving(); }, 1},
                    end_row{"leaves_and_ends",
                            [](gossip_group& g) {
                                g.at("m2").begin_leaving();
                                g.run_for(seconds(4));
                                g.end("m2");
                            },
                            1},
                    end_row{"restarts",
                            [](gossip_group& g) {
                                g.remove("m2");
                                g.add("m2", 2);
                            },
                            1}),
    [](const auto& info) { return info.param.name; });

// Guards against a partitioned instance that is taken for one that has ended, and an end that is
// counted twice or not told.
TEST_P(known_ends, are_told_to_all) {
    gossip_group g(8);
    g.run_for(seconds(4));
    GetParam().act(g);
    // With half of the members dead, the others suspect themselves now and then in the first 7 s.
    g.run_for(seconds(14));
    for (const std::string observer : {"m0", "m5", "m7"}) {
        EXPECT_EQ(g.at(observer).ended_processes(), GetParam().known_ends) << observer;
    }
}

// Guards against the end of a process that is recorded for the next one at its address, or kept
// although the process refutes it.
TEST(member_table_test, an_end_concerns_one_process) {
    gossip_group g(3);
    g.run_for(seconds(3));
    member_table& observer = g.at("m0");
    observer.probe_failed("m1", g.now());
    observer.probe_refused({"m1", 0}, g.now());
    EXPECT_FALSE(observer.find("m1")->ended);
    observer.probe_refused({"m1", 1}, g.now());
    EXPECT_TRUE(observer.find("m1")->ended);
    g.run_for(seconds(4));
    EXPECT_FALSE(observer.find("m1")->ended);
    EXPECT_TRUE(usable(g, "m0", "m1"));
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

// A burst of callers that ask the same instance must be spread over all instances.
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

// After a server has announced its leaving, only a later process of it is live again.
TEST_P(backend_table_test, leaving_holds_until_restart) {
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

// An engine takes work again after it has loaded a model: unlike leaving, loading is temporary.
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
