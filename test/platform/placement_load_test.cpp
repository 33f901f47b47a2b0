// Plays a crowd of prompts over many instances and engines against the placement decision.

#include "bamboostream/Routing"

#include <fmt/format.h>
#include <functional>
#include <gtest/gtest.h>
#include <queue>

namespace bamboostream {
namespace {

/// How soon instances learn of each other's work.
struct telling {
    std::string name;
    /// Period of tellings by the clock; zero when each change is told at once.
    milliseconds period{0};
    /// From a change, or a tick of the clock, until the others know.
    milliseconds delay{4};
    /// Bounds of the share of first events later than 1.5 s.
    double least_late = 0.0;
    double most_late = 1.0;
};

void PrintTo(const telling& row, std::ostream* out) {
    *out << row.name;
}

/// A crowd of 45 prompts a second at 60 instances before 36 engines, each of which reads one prompt
/// of 3,000 tokens at a time in some 430 ms beside the generations that it runs for some 6 s each.
class crowd {
public:
    explicit crowd(telling how) : how_(std::move(how)), random_(3) {
        for (int e = 0; e < engine_count; ++e) {
            registered_backend engine;
            engine.id = backend_id(fmt::format("i-{}", e));
            engine.failure_domain = failure_domain_id("norra");
            engines_.push_back(engine);
        }
        for (const registered_backend& engine : engines_) {
            views_.push_back(&engine);
        }
        for (std::uint64_t i = 0; i < instance_count; ++i) {
            instances_.push_back(std::make_unique<instance>(i));
        }
    }

    /// Share of prompts whose first event came later than 1.5 s.
    double play() {
        std::exponential_distribution<double> gap(prompts_a_second);
        double at_s = 0.0;
        while (at_s < seconds_played) {
            at_s += gap(random_);
            schedule(start_ + from_milliseconds(at_s * 1000.0), [this] { arrive(); });
        }
        if (how_.period.count() > 0) {
            schedule(start_, [this] { tick(); });
        }
        while (!events_.empty()) {
            const event next = events_.top();
            events_.pop();
            now_ = next.at;
            next.run();
        }
        return static_cast<double>(late_) / static_cast<double>(prompts_);
    }

private:
    static constexpr int engine_count = 36;
    static constexpr std::uint64_t instance_count = 60;
    static constexpr double prompts_a_second = 45.0;
    static constexpr double seconds_played = 20.0;
    static constexpr std::int64_t prompt_tokens = 3'000;
    static constexpr milliseconds reading{430};

    struct instance {
        explicit instance(std::uint64_t seed) : picker(seed) {}
        load_book loads;
        backend_picker picker;
    };
    struct event {
        time_point at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const event& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(time_point at, std::function<void()> run) {
        events_.push({at, order_++, std::move(run)});
    }

    void arrive() {
        const auto i = std::uniform_int_distribution<std::size_t>(0, instance_count - 1)(random_);
        instance& here = *instances_[i];
        placement_request request;
        request.near = failure_domain_id("norra");
        request.server_memory_tokens = 22'000;
        const registered_backend* engine = here.picker.pick(views_, here.loads, request, now_);
        const backend_work work{1, 3'700, prompt_tokens};
        here.loads.add(engine->id, work);
        changed(i);
        time_point& free = free_[engine->id];
        free = std::max(free, now_) + reading;
        ++prompts_;
        late_ += free - now_ > milliseconds(1'500) ? 1 : 0;
        const double runs_ms = std::lognormal_distribution<double>(8.7, 0.8)(random_);
        schedule(free, [this, i, id = engine->id] {
            instances_[i]->loads.subtract(id, {0, 0, prompt_tokens});
            changed(i);
        });
        schedule(free + from_milliseconds(runs_ms), [this, i, id = engine->id, work] {
            instances_[i]->loads.subtract(id, {work.requests, work.memory_tokens, 0});
            changed(i);
        });
    }

    void changed(std::size_t i) {
        if (how_.period.count() == 0) {
            schedule(now_ + how_.delay, [this, i] { tell(i); });
        }
    }

    void tick() {
        for (std::size_t i = 0; i < instance_count; ++i) {
            tell(i);
        }
        if (now_ < start_ + from_milliseconds(seconds_played * 1000.0)) {
            schedule(now_ + how_.period, [this] { tick(); });
        }
    }

    void tell(std::size_t i) {
        const std::vector<backend_work_entry> own = instances_[i]->loads.own();
        for (std::size_t other = 0; other < instance_count; ++other) {
            if (other != i) {
                instances_[other]->loads.hear(std::to_string(i), own, now_);
            }
        }
    }

    telling how_;
    std::mt19937_64 random_;
    time_point start_ = time_point{} + seconds(1'000);
    time_point now_ = start_;
    std::uint64_t order_ = 0;
    std::priority_queue<event> events_;
    std::vector<registered_backend> engines_;
    std::vector<const registered_backend*> views_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::map<backend_id, time_point> free_;
    int prompts_ = 0;
    int late_ = 0;
};

class placement_load : public testing::TestWithParam<telling> {};

INSTANTIATE_TEST_SUITE_P(
    table, placement_load,
    testing::Values(telling{"by_the_clock", milliseconds(200), milliseconds(0), 0.05, 1.0},
                    telling{"at_once", milliseconds(0), milliseconds(4), 0.0, 0.005}),
    [](const auto& info) { return info.param.name; });

// Each engine could read its prompts in time. With a view that is 200 ms old, all instances send to
// the engines that were idle at the last telling: prompts queue there and their callers wait, while
// others stand idle. Told at once, hardly any caller waits.
TEST_P(placement_load, callers_get_their_first_event_in_time) {
    const double late = crowd(GetParam()).play();
    RecordProperty("late_share", fmt::format("{:.4f}", late));
    EXPECT_GE(late, GetParam().least_late);
    EXPECT_LE(late, GetParam().most_late);
    fmt::print("late share {}: {:.4f}\n", GetParam().name, late);
}

} // namespace
} // namespace bamboostream
