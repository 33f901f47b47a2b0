// Plays a crowd of prompts over many instances and engines against the placement decision.

#include "bamboostream/Routing"

#include <fmt/format.h>
#include <functional>
#include <gtest/gtest.h>
#include <queue>

namespace bamboostream {
namespace {

/// Who chooses engines, and how soon it learns of the work there.
enum class chooser : std::uint8_t { each_by_all, each_by_its_own, owner };

struct telling {
    std::string name;
    chooser who = chooser::each_by_all;
    std::uint64_t instances = 60;
    int engines = 36;
    double prompts_a_second = 45.0;
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

/// A crowd of prompts at many instances before engines, each of which reads one prompt of 3,000
/// tokens at a time in some 430 ms beside the generations that it runs for some 6 s each.
class crowd {
public:
    explicit crowd(telling how) : how_(std::move(how)), random_(3) {
        for (int e = 0; e < how_.engines; ++e) {
            registered_backend engine;
            engine.id = backend_id(fmt::format("i-{}", e));
            engine.failure_domain = failure_domain_id("norra");
            engines_.push_back(engine);
        }
        for (const registered_backend& engine : engines_) {
            views_.push_back(&engine);
        }
        for (std::uint64_t i = 0; i < how_.instances; ++i) {
            instances_.push_back(std::make_unique<instance>(i));
        }
    }

    /// Share of prompts whose first event came later than 1.5 s.
    double play() {
        std::exponential_distribution<double> gap(how_.prompts_a_second);
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
    static constexpr double seconds_played = 20.0;
    static constexpr std::int64_t prompt_tokens = 3'000;
    static constexpr milliseconds reading{430};

    struct instance {
        explicit instance(std::uint64_t seed) : picker(seed) {}
        load_table loads;
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
        const auto i = std::uniform_int_distribution<std::size_t>(0, how_.instances - 1)(random_);
        instance& here = *instances_[i];
        placement_request request;
        request.preferred_domain = failure_domain_id("norra");
        request.server_memory_tokens = 22'000;
        const backend_work work{1, 3'700, prompt_tokens};
        instance& decides = how_.who == chooser::owner ? owner_ : here;
        const registered_backend* engine =
            decides.picker.pick(views_, decides.loads, request, now_);
        if (how_.who == chooser::owner) {
            owner_.loads.add_expected(std::to_string(i), {backend_hash(engine->id), work}, now_);
        }
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
        if (how_.who != chooser::each_by_its_own && how_.period.count() == 0) {
            schedule(now_ + how_.delay, [this, i] { tell(i); });
        }
    }

    void tick() {
        for (std::size_t i = 0; i < how_.instances; ++i) {
            tell(i);
        }
        if (now_ < start_ + from_milliseconds(seconds_played * 1000.0)) {
            schedule(now_ + how_.period, [this] { tick(); });
        }
    }

    void tell(std::size_t i) {
        const std::vector<backend_work_entry> own = instances_[i]->loads.own();
        if (how_.who == chooser::owner) {
            owner_.loads.hear(std::to_string(i), own, now_);
            return;
        }
        for (std::size_t other = 0; other < how_.instances; ++other) {
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
    instance owner_{77};
    std::map<backend_id, time_point> free_;
    int prompts_ = 0;
    int late_ = 0;
};

class placement_load : public testing::TestWithParam<telling> {};

telling each_tells(std::string name, milliseconds period, milliseconds delay, double least,
                   double most) {
    telling out;
    out.name = std::move(name);
    out.period = period;
    out.delay = delay;
    out.least_late = least;
    out.most_late = most;
    return out;
}

/// 171 prompts a second at 295 instances before 130 engines.
telling many_instances(std::string name, chooser who, double least, double most) {
    telling out = each_tells(std::move(name), milliseconds(0), milliseconds(4), least, most);
    out.who = who;
    out.instances = 295;
    out.engines = 130;
    out.prompts_a_second = 171.0;
    return out;
}

INSTANTIATE_TEST_SUITE_P(
    table, placement_load,
    testing::Values(each_tells("by_the_clock", milliseconds(200), milliseconds(0), 0.05, 1.0),
                    each_tells("at_once", milliseconds(0), milliseconds(4), 0.0, 0.005),
                    many_instances("by_its_own_work", chooser::each_by_its_own, 0.02, 1.0),
                    many_instances("by_an_owner", chooser::owner, 0.0, 0.005)),
    [](const auto& info) { return info.param.name; });

// Each engine could read its prompts in time. With a view that is 200 ms old, all instances send to
// the engines that were idle at the last telling: prompts queue there and their callers wait, while
// others stand idle. Told at once, hardly any caller waits. With five times the instances, telling
// all would make 150,000 frames a second; an owner that chooses for all does as well, while each by
// its own work alone sends to engines that others have filled.
TEST_P(placement_load, callers_get_their_first_event_in_time) {
    const double late = crowd(GetParam()).play();
    RecordProperty("late_share", fmt::format("{:.4f}", late));
    EXPECT_GE(late, GetParam().least_late);
    EXPECT_LE(late, GetParam().most_late);
    fmt::print("late share {}: {:.4f}\n", GetParam().name, late);
}

} // namespace
} // namespace bamboostream
