// Simulates parts of prompts that crash servers, beside ordinary load, in virtual time: how many
// requests with them reach servers, and whether requests without them are refused.

#include "bamboostream/Limits"

#include <algorithm>
#include <cstdint>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace bamboostream::test {
namespace {

constexpr int step_ms = 10;
constexpr int simulated_ms = 30'000;
constexpr int first_harmful_ms = 5'000;
constexpr int server_restart_ms = 3'000;
/// From the crash of a server until its process is found to have ended.
constexpr int verification_ms = 60;
constexpr int contact_ms = 3'000;
constexpr std::size_t counted_crashes = 5;
constexpr int max_late_arrivals = 3;
constexpr std::uint64_t caller = 7;
constexpr int tenants = 10;

struct part_load_row {
    std::string name;
    int servers = 14;
    /// Number of harmful parts, and harmful requests a second in total.
    int harmful_parts = 1;
    double harmful_rate = 4.0;
    /// Short and long sound requests a second.
    double short_rate = 8.0;
    double long_rate = 5.0;
    int long_ms = 8'000;
    /// All requests begin with the same part.
    bool one_first_part = false;
    /// Harmful requests are answered until they begin to crash servers.
    bool sound_before = false;
    /// There is traffic before the first harmful request.
    bool warm = true;
    /// Servers that crash each second for no reason in their requests.
    double other_crashes = 0.0;
    friend void PrintTo(const part_load_row& row, std::ostream* out) { *out << row.name; }
};

std::vector<part_load_row> rows() {
    return {
        {.name = "one_part"},
        {.name = "one_part_slowly", .harmful_rate = 0.5},
        {.name = "one_part_twenty_a_second", .harmful_rate = 20.0},
        {.name = "two_parts", .harmful_parts = 2, .harmful_rate = 6.0},
        {.name = "eight_parts_on_many_servers",
         .servers = 140,
         .harmful_parts = 8,
         .harmful_rate = 16.0,
         .short_rate = 80.0,
         .long_rate = 50.0},
        {.name = "beside_one_first_part", .one_first_part = true},
        {.name = "beside_parts_that_were_never_answered", .warm = false},
        {.name = "answered_before", .sound_before = true},
        {.name = "answered_before_beside_one_first_part",
         .one_first_part = true,
         .sound_before = true},
        {.name = "beside_other_crashes", .other_crashes = 0.5},
        {.name = "on_a_thousand_servers",
         .servers = 1'000,
         .short_rate = 400.0,
         .long_rate = 100.0,
         .long_ms = 4'000},
    };
}

std::vector<part_load_row> rows_without_cause() {
    return {
        {.name = "one_server_a_second", .harmful_parts = 0, .other_crashes = 1.0},
        {.name = "two_servers_a_second", .harmful_parts = 0, .other_crashes = 2.0},
        {.name = "two_servers_a_second_of_one_first_part",
         .harmful_parts = 0,
         .one_first_part = true,
         .other_crashes = 2.0},
        {.name = "two_servers_a_second_of_many",
         .servers = 60,
         .harmful_parts = 0,
         .short_rate = 30.0,
         .long_rate = 20.0,
         .other_crashes = 2.0},
    };
}

struct attempt {
    quarantine_subject subject;
    int began = 0;
    int until = 0;
    /// Index of its harmful part; negative if it has none.
    int harmful = -1;
    bool on_trial = false;
};

struct server {
    std::uint64_t incarnation = 0;
    int down_until = 0;
    std::vector<attempt> work;
};

/// A stream whose first event came right after it was sent.
class simulated_stream final : public open_call {
public:
    simulated_stream(const attempt& of, int now) : of_(of), now_(now) {}
    void withdraw(const request_digest&) override {}
    bool has_streamed(const held_parts& held, duration limit) const override {
        return milliseconds(now_ - of_.began) > limit && of_.harmful < 0 &&
               held.applies_to(of_.subject.caller, of_.subject.parts);
    }

private:
    const attempt& of_;
    int now_;
};

class part_simulation {
public:
    part_simulation(const part_load_row& row, unsigned seed) : row_(row), random_(seed) {
        servers_.resize(static_cast<std::size_t>(row.servers));
        for (server& it : servers_) {
            it.incarnation = ++incarnations_;
        }
        crashes_.resize(static_cast<std::size_t>(row.harmful_parts));
        arrivals_.resize(static_cast<std::size_t>(row.harmful_parts));
    }

    void run() {
        for (now_ = row_.warm ? 0 : first_harmful_ms; now_ < simulated_ms; now_ += step_ms) {
            arrive();
            crash_for_no_reason();
            finish_work();
            report_crashes();
            registry_.expire(clock());
            observe_streams();
        }
    }

    /// Requests with the part that reached servers too late.
    int late_arrivals(std::size_t part) const {
        const std::vector<int>& crashes = crashes_[part];
        if (crashes.size() < counted_crashes) {
            return 0;
        }
        const int known = crashes[counted_crashes - 1] + contact_ms;
        return static_cast<int>(std::count_if(arrivals_[part].begin(), arrivals_[part].end(),
                                              [&](int at) { return at > known; }));
    }
    std::size_t crashed(std::size_t part) const { return crashes_[part].size(); }
    std::size_t sound_asked() const { return sound_asked_; }
    std::size_t sound_refused() const { return sound_refused_; }

private:
    time_point clock() const { return time_point{} + std::chrono::hours(1) + milliseconds(now_); }
    bool chance(double p) { return std::bernoulli_distribution(p)(random_); }
    int pick(int count) { return std::uniform_int_distribution<int>(0, count - 1)(random_); }
    /// The number of events in a step at this rate.
    int count_at(double per_second) {
        return std::poisson_distribution<int>(per_second * step_ms / 1'000.0)(random_);
    }

    request_digest first_part() {
        return {1, row_.one_first_part ? 0 : static_cast<std::uint64_t>(pick(tenants))};
    }

    void arrive() {
        for (int n = count_at(row_.short_rate); n > 0; --n) {
            send_sound(300);
        }
        for (int n = count_at(row_.long_rate); n > 0; --n) {
            send_sound(row_.long_ms);
        }
        const bool comes = now_ >= (row_.sound_before ? 0 : first_harmful_ms);
        for (int n = comes && row_.harmful_parts > 0 ? count_at(row_.harmful_rate) : 0; n > 0;
             --n) {
            send_harmful(pick(row_.harmful_parts));
        }
    }

    void send_sound(int ms) {
        const request_digest document{2, static_cast<std::uint64_t>(pick(200))};
        attempt it{{{3, ++requests_}, caller, {first_part(), document}}, now_, now_ + ms};
        ++sound_asked_;
        const suspect_state* held = find_held(it);
        if (held != nullptr && !begin_trial(it, *held)) {
            ++sound_refused_;
            return;
        }
        send(it);
    }

    void send_harmful(int part) {
        const request_digest harmful{4, static_cast<std::uint64_t>(part)};
        attempt it{{{3, ++requests_}, caller, {first_part(), harmful}}, now_, now_ + 400};
        const bool crashes = now_ >= first_harmful_ms;
        it.harmful = crashes ? part : -1;
        const suspect_state* held = find_held(it);
        if (held != nullptr && !begin_trial(it, *held)) {
            return;
        }
        if (crashes) {
            arrivals_[static_cast<std::size_t>(part)].push_back(now_);
        }
        send(it);
    }

    const suspect_state* find_held(const attempt& it) {
        registry_.settle(clock());
        const suspect_state* state = registry_.decisions().find_suspect(it.subject);
        return state && state->verdict >= quarantine_verdict::contested ? state : nullptr;
    }

    bool begin_trial(attempt& it, const suspect_state& held) {
        it.on_trial = held.verdict == quarantine_verdict::contested && clock() >= held.trial_due &&
                      trials_[held.suspect] <= now_;
        if (it.on_trial) {
            trials_[held.suspect] = it.until;
        }
        return it.on_trial;
    }

    void send(const attempt& it) {
        std::vector<server*> up;
        for (server& to : servers_) {
            if (to.down_until <= now_) {
                up.push_back(&to);
            }
        }
        if (!up.empty()) {
            std::shuffle(up.begin(), up.end(), random_);
            (*std::min_element(up.begin(), up.end(), [](const server* a, const server* b) {
                return a->work.size() < b->work.size();
            }))->work.push_back(it);
        }
    }

    void crash_for_no_reason() {
        for (int n = count_at(row_.other_crashes); n > 0; --n) {
            server& it = servers_[static_cast<std::size_t>(pick(row_.servers))];
            if (it.down_until <= now_) {
                crash(it);
            }
        }
    }

    void finish_work() {
        for (server& it : servers_) {
            const auto cause =
                std::find_if(it.work.begin(), it.work.end(), [&](const attempt& work) {
                    return work.harmful >= 0 && work.until <= now_;
                });
            if (cause != it.work.end()) {
                crashes_[static_cast<std::size_t>(cause->harmful)].push_back(now_);
                crash(it);
                continue;
            }
            std::erase_if(it.work, [&](const attempt& work) {
                if (work.until > now_) {
                    return false;
                }
                registry_.note_answer(work.subject.digest, clock());
                registry_.note_part_answers(work.subject.parts, clock());
                return true;
            });
        }
    }

    void crash(server& it) {
        for (const attempt& work : it.work) {
            crash_evidence seen;
            seen.request = work.subject.digest;
            seen.server = it.incarnation;
            seen.caller = caller;
            seen.at = clock();
            seen.answering = true;
            seen.on_trial = work.on_trial;
            seen.parts = work.subject.parts;
            seen.streamed_for = milliseconds(work.harmful >= 0 ? 0 : now_ - work.began);
            found_later_.emplace(now_ + verification_ms + pick(5), seen);
        }
        it.work.clear();
        it.incarnation = ++incarnations_;
        it.down_until = now_ + server_restart_ms;
    }

    void report_crashes() {
        while (!found_later_.empty() && found_later_.begin()->first <= now_) {
            registry_.add_local_evidence(found_later_.begin()->second, clock());
            found_later_.erase(found_later_.begin());
        }
    }

    /// Lets the registry look at the streams that are open now.
    void observe_streams() {
        if (registry_.decisions().all_held_parts().empty()) {
            return;
        }
        std::vector<std::unique_ptr<simulated_stream>> streams;
        for (const server& it : servers_) {
            for (const attempt& work : it.work) {
                streams.push_back(std::make_unique<simulated_stream>(work, now_));
                registry_.add(*streams.back());
            }
        }
        registry_.expire(clock());
        for (const auto& stream : streams) {
            registry_.remove(*stream);
        }
    }

    part_load_row row_;
    std::mt19937_64 random_;
    quarantine_registry registry_;
    std::vector<server> servers_;
    std::multimap<int, crash_evidence> found_later_;
    /// Until when a trial of a part is in progress.
    std::map<request_digest, int> trials_;
    std::vector<std::vector<int>> crashes_;
    std::vector<std::vector<int>> arrivals_;
    std::uint64_t requests_ = 0;
    std::uint64_t incarnations_ = 0;
    std::size_t sound_asked_ = 0;
    std::size_t sound_refused_ = 0;
    int now_ = 0;
};

constexpr unsigned seeds = 8;

class part_load : public testing::TestWithParam<part_load_row> {};

INSTANTIATE_TEST_SUITE_P(table, part_load, testing::ValuesIn(rows()),
                         [](const auto& info) { return info.param.name; });

// Guards against harmful parts that are found late or tried often, and against sound requests that
// are refused meanwhile.
TEST_P(part_load, is_held_in_time_and_little_else_is) {
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        part_simulation simulation(GetParam(), seed);
        simulation.run();
        for (int i = 0; i < GetParam().harmful_parts; ++i) {
            const auto part = static_cast<std::size_t>(i);
            EXPECT_LE(simulation.late_arrivals(part), max_late_arrivals)
                << "seed " << seed << ", " << simulation.crashed(part) << " servers crashed";
        }
        EXPECT_LE(simulation.sound_refused() * 100, simulation.sound_asked())
            << "seed " << seed << ", " << simulation.sound_refused() << " of "
            << simulation.sound_asked();
    }
}

class part_load_without_cause : public testing::TestWithParam<part_load_row> {};

INSTANTIATE_TEST_SUITE_P(table, part_load_without_cause, testing::ValuesIn(rows_without_cause()),
                         [](const auto& info) { return info.param.name; });

// Guards against parts that are held because servers crash for another reason.
TEST_P(part_load_without_cause, refuses_no_request) {
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        part_simulation simulation(GetParam(), seed);
        simulation.run();
        EXPECT_EQ(simulation.sound_refused(), 0U)
            << "seed " << seed << ", of " << simulation.sound_asked();
    }
}

} // namespace
} // namespace bamboostream::test
