// Tests of real gateway processes with a part of prompts that crashes every backend server that
// begins to answer a request with it, while no two requests are alike.

#include "test/platform/system/gateway_fixture.h"

#include <algorithm>
#include <random>
#include <set>

namespace bamboostream::test {
namespace {

constexpr int instance_count = 4;
constexpr int server_count = 14;
constexpr std::size_t counted_crashes = 5;
constexpr int sound_per_second = 30;
constexpr milliseconds replacement_time{1'500};
/// Time before the first harmful request.
constexpr milliseconds calm_time{2'000};
/// Instances in touch know the harmful part this long after the fifth crash.
constexpr milliseconds contact_time{3'000};
constexpr milliseconds observed_time{2'000};
/// Requests with the part that may reach servers later than that.
constexpr int max_late_arrivals = 3;
/// Smallest fraction of the sound requests that is served once the part is known.
constexpr double min_sound_fraction = 0.95;

struct harmful_part_row {
    std::string name;
    /// Harmful parts: each of their requests has one of them.
    std::vector<std::string> parts{"bad0"};
    /// The harmful part comes first, in place of one that sound requests share.
    bool comes_first = false;
    /// Number of first parts that requests share.
    int first_parts = 3;
    int per_second = 4;
    /// The server sends its response head, or a whole event, before it crashes.
    bool sends_head = true;
    bool sends_event = false;
    /// All responses have neither a length nor chunks.
    bool close_delimited = false;
    /// The part is answered for this long before it crashes servers.
    milliseconds sound_for{0};
    std::string path = "/r/";
    friend void PrintTo(const harmful_part_row& row, std::ostream* out) { *out << row.name; }
};

std::vector<harmful_part_row> part_rows() {
    const milliseconds sound_before{3'000};
    return {
        {.name = "in_the_middle"},
        {.name = "at_first_place", .comes_first = true},
        {.name = "beside_a_first_part_of_all_requests", .first_parts = 1},
        {.name = "before_the_response_head", .sends_head = false},
        {.name = "after_a_whole_event_of_a_stream_without_length",
         .sends_event = true,
         .close_delimited = true},
        {.name = "that_was_answered_before", .sound_for = sound_before},
        {.name = "two_at_the_same_time", .parts = {"bad0", "bad1"}, .per_second = 8},
        {.name = "twenty_a_second", .per_second = 20},
        {.name = "of_plain_calls", .path = "/a/"},
    };
}

/// Servers that crash on a harmful part, each replaced by another one some time later.
class harmful_part_system : public gateway_test,
                            public testing::WithParamInterface<harmful_part_row> {
protected:
    using clock_points = std::vector<time_point>;

    /// One sound request.
    struct sound_request {
        time_point sent;
        std::shared_ptr<call_result> result;
    };

    virtual harmful_part_row row() const { return GetParam(); }

    void start_all() {
        configure(1, "k");
        for (int i = 0; i < server_count; ++i) {
            add_server();
        }
        for (int i = 0; i < instance_count; ++i) {
            add_instance(serving_store_);
        }
        for (const auto& it : instances_) {
            ASSERT_TRUE(serves(*it, "k"));
            ASSERT_TRUE(wait_until([&] { return knows_all(*it); }));
        }
        began_ = monotonic_now();
    }

    bool knows_all(const instance_under_test& it) {
        const std::string answer = fetch_directory(it);
        return std::all_of(instances_.begin(), instances_.end(), [&](const auto& other) {
            return answer.find(other->ip) != std::string::npos;
        });
    }

    void add_server() {
        const std::size_t index = backends_.size();
        add_backend(fmt::format("i-{}", index),
                    [this, index](scripted_connection& c) -> asio::awaitable<void> {
                        co_await serve(c, index);
                    });
    }

    bool is_harmful(const scripted_connection& c) const {
        const std::string parts = c.field("Prompt-Prefix");
        const std::vector<std::string> bad = row().parts;
        return std::any_of(bad.begin(), bad.end(), [&](const std::string& part) {
            return parts.find(part + ":") != std::string::npos;
        });
    }

    asio::awaitable<void> serve(scripted_connection& c, std::size_t index) {
        const harmful_part_row how = row();
        const bool crashes = is_harmful(c) && monotonic_now() >= began_ + calm_time + how.sound_for;
        if (crashes) {
            arrivals_.push_back(monotonic_now());
        }
        const bool streams = c.request().starts_with("GET /r/");
        const std::string framing = how.close_delimited ? "Connection: close\r\n"
                                    : streams           ? "Transfer-Encoding: chunked\r\n"
                                                        : "Content-Length: 2\r\n";
        const std::string head =
            fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n{}\r\n",
                        c.field("Attempt-Id"), framing);
        if (crashes) {
            const std::string begun = how.sends_event ? head + event(1) : head;
            if (how.sends_head) {
                co_await c.send(begun);
            }
            co_await c.pause(40);
            crash(index);
            co_return;
        }
        co_await c.send(head);
        for (int i = 1; streams && i <= 3 && !c.is_closed(); ++i) {
            const std::string text = event(i);
            co_await c.pause(60);
            co_await c.send(text);
        }
        std::string end = streams ? "0\r\n\r\n" : "ok";
        if (how.close_delimited) {
            end.clear();
        }
        co_await c.send(end);
        if (how.close_delimited) {
            c.close();
        }
    }

    std::string event(int id) const {
        const std::string text = fmt::format("id: {}\ndata: d\n\n", id);
        return row().close_delimited ? text : fmt::format("{:x}\r\n{}\r\n", text.size(), text);
    }

    void crash(std::size_t index) {
        if (backends_[index]->ended()) {
            return;
        }
        backends_[index]->end_process();
        crashes_.push_back(monotonic_now());
        asio::co_spawn(
            context_,
            [this, index]() -> asio::awaitable<void> {
                co_await asio::steady_timer(context_, replacement_time)
                    .async_wait(asio::use_awaitable);
                store_.write("keyed.servers", fmt::format("i-{}", index), "");
                add_server();
            },
            asio::detached);
    }

    std::shared_ptr<call_result> send(const std::string& parts) {
        const std::string id = random_id();
        http_request request = make_request("GET", row().path + id);
        request.fields = {{"Attempt-Id", id},
                          {"Authorization", "Bearer k"},
                          {"Model", "m"},
                          {"Prompt-Prefix", parts + ",0" + id.substr(0, 8) + ":20"}};
        const auto& to = instances_[random_() % instances_.size()];
        return call_with_host(to->ip + ":8740", request);
    }

    std::string first_part() {
        return fmt::format("f{}:79", random_() % static_cast<std::uint64_t>(row().first_parts));
    }

    void send_sound() {
        sound_.push_back(
            {monotonic_now(), send(first_part() + fmt::format(",5{}:30", random_() % 8))});
    }

    void send_harmful() {
        const harmful_part_row how = row();
        const std::string bad = how.parts[random_() % how.parts.size()] + ":60";
        harmful_.push_back(send(how.comes_first ? bad + ",a1:10" : first_part() + "," + bad));
    }

    /// Sends sound requests until `end`, and harmful ones after the calm time.
    void send_until(const std::function<bool()>& ended) {
        const duration sound_gap = duration(seconds(1)) / sound_per_second;
        const duration harmful_gap = duration(seconds(1)) / row().per_second;
        time_point next_sound = monotonic_now();
        time_point next_harmful = began_ + calm_time;
        while (!ended()) {
            const time_point now = monotonic_now();
            if (now >= next_sound) {
                send_sound();
                next_sound += sound_gap;
            }
            if (!row().parts.empty() && now >= next_harmful) {
                send_harmful();
                next_harmful += harmful_gap;
            }
            context_.restart();
            context_.run_for(milliseconds(2));
        }
    }

    /// The fraction of the sound requests of a span that were served.
    double sound_fraction(time_point from, time_point until) const {
        int sent = 0;
        int served = 0;
        for (const sound_request& it : sound_) {
            if (it.sent >= from && it.sent < until) {
                ++sent;
                served += it.result->status == 200 ? 1 : 0;
            }
        }
        return sent == 0 ? 0.0 : static_cast<double>(served) / sent;
    }

    long arrivals_after(time_point when) const {
        return std::count_if(arrivals_.begin(), arrivals_.end(),
                             [&](time_point at) { return at > when; });
    }

    bool all_done() const {
        return std::all_of(sound_.begin(), sound_.end(),
                           [](const auto& it) { return it.result->done; }) &&
               std::all_of(harmful_.begin(), harmful_.end(),
                           [](const auto& it) { return it->done; });
    }

    time_point began_ = time_point::max();
    clock_points arrivals_;
    clock_points crashes_;
    std::vector<sound_request> sound_;
    std::vector<std::shared_ptr<call_result>> harmful_;
    std::mt19937_64 random_{1};
};

INSTANTIATE_TEST_SUITE_P(parts, harmful_part_system, testing::ValuesIn(part_rows()),
                         [](const auto& info) { return info.param.name; });

// Guards against a part of prompts that crashes one server after another in requests that are never
// alike.
TEST_P(harmful_part_system, is_refused_at_all_instances_and_others_are_served) {
    start_all();
    // A part that is held early crashes fewer servers than are counted: the last of them counts.
    const auto last_counted = [this] {
        return crashes_[std::min(crashes_.size(), counted_crashes) - 1];
    };
    const time_point latest = began_ + calm_time + row().sound_for + seconds(4);
    send_until([&] {
        const time_point now = monotonic_now();
        return (now >= latest || crashes_.size() >= counted_crashes) && !crashes_.empty() &&
               now >= last_counted() + 2 * contact_time + observed_time;
    });
    const time_point end = monotonic_now();
    wait_until([this] { return all_done(); });
    const time_point known = last_counted() + contact_time;
    EXPECT_LE(arrivals_after(known), max_late_arrivals) << crashes_.size() << " servers crashed";
    EXPECT_GE(sound_fraction(known + contact_time, end), min_sound_fraction);
    EXPECT_GE(sound_fraction(began_, began_ + calm_time / 2), min_sound_fraction);
    const auto refused = send(fmt::format("{}:60,a1:10", row().parts.front()));
    wait_until_done(refused);
    EXPECT_EQ(refused->status, 503);
    RecordProperty("servers_crashed", static_cast<int>(crashes_.size()));
    EXPECT_EQ(std::count_if(harmful_.begin(), harmful_.end(),
                            [](const auto& it) { return it->status == 200; }) > 0,
              row().sound_for > milliseconds(0))
        << "a response that the crash cut off looks complete";
}

/// Servers that crash for a reason that has nothing to do with requests.
class crash_loop_system : public harmful_part_system {
protected:
    harmful_part_row row() const override { return {.name = "", .parts = {}}; }

    void crash_two() {
        for (int count = 0; count < 2;) {
            const std::size_t index = random_() % backends_.size();
            if (!backends_[index]->ended()) {
                crash(index);
                ++count;
            }
        }
    }
};

// Guards against parts of prompts that are held although servers crash for another reason.
TEST_F(crash_loop_system, of_servers_without_a_cause_in_requests_holds_no_part) {
    start_all();
    time_point next_crash = began_ + seconds(1);
    const time_point end = began_ + seconds(10);
    send_until([&] {
        if (monotonic_now() >= next_crash) {
            crash_two();
            next_crash += milliseconds(750);
        }
        return monotonic_now() >= end;
    });
    wait_until([this] { return all_done(); });
    EXPECT_GE(crashes_.size(), 20U);
    for (const sound_request& it : sound_) {
        EXPECT_EQ(it.result->body.find("ends_servers"), std::string::npos);
    }
}

} // namespace
} // namespace bamboostream::test
