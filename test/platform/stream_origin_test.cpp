// Tests of what is known of the server that began a stream, when its caller takes it up again.

#include "bamboostream/src/Gateway/peer_frames.h"
#include "test/platform/decision_helpers.h"
#include "test/platform/forwarding_fixture.h"
#include "test/platform/peer_group.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <random>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

const stream_origin blue{service_id("engines"), software_version("blue")};
const stream_origin green{service_id("engines"), software_version("v1.10")};
const request_digest stream{1, 2};

TEST(stream_origin_table_test, keeps_an_origin_for_its_time) {
    stream_origin_table table;
    table.record(stream, blue, start + seconds(2));
    table.record(stream, blue, start + seconds(1));
    EXPECT_EQ(table.find(stream, start + milliseconds(1'999))->origin, blue);
    EXPECT_FALSE(table.find(stream, start + seconds(2)));
    EXPECT_FALSE(table.find({1, 3}, start));
    table.expire(start + seconds(2));
    EXPECT_EQ(table.size(), 0u);
}

// Guards against a guess between two origins that are reported for one stream.
TEST(stream_origin_table_test, knows_nothing_of_a_stream_with_two_origins) {
    stream_origin_table table;
    table.record(stream, blue, start + seconds(2));
    table.record(stream, green, start + seconds(2));
    table.record(stream, blue, start + seconds(2));
    EXPECT_FALSE(table.find(stream, start));
}

TEST(stream_origin_table_test, keeps_nothing_without_a_version) {
    stream_origin_table table;
    table.record(stream, {service_id("engines"), {}}, start + seconds(2));
    EXPECT_EQ(table.size(), 0u);
}

// Guards against memory that grows with the number of streams.
TEST(stream_origin_table_test, is_bounded) {
    stream_origin_table table;
    for (std::uint64_t i = 0; i < stream_origin_table::max_size + 10; ++i) {
        table.record({i, i}, blue, start + seconds(2));
    }
    EXPECT_EQ(table.size(), stream_origin_table::max_size);
}

/// The fields with which a caller takes up the stream of attempt "a1" after its event 2, the
/// version of the only servers then, and the answer. An empty `error` stands for the rest of the
/// stream.
struct take_up_row {
    std::string name;
    std::string path;
    std::string fields;
    std::vector<std::string> versions;
    int status;
    std::string error;
};

void PrintTo(const take_up_row& row, std::ostream* out) {
    *out << row.name;
}

constexpr const char* proper_fields = "Resumes: a1\r\nLast-Event-Id: 2\r\n";

class taken_up : public testing::TestWithParam<take_up_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, taken_up,
    testing::Values(
        take_up_row{"same_version", "label", proper_fields, {"blue"}, 200, ""},
        take_up_row{"among_others", "label", proper_fields, {"v2", "v2", "blue", "v2"}, 200, ""},
        take_up_row{"other_version", "label", proper_fields, {"v1.10"}, 503, "not_run"},
        take_up_row{"unknown_version", "label", proper_fields, {""}, 503, "not_run"},
        take_up_row{"unknown_attempt",
                    "label",
                    "Resumes: a2\r\nLast-Event-Id: 2\r\n",
                    {"blue"},
                    503,
                    "stream_unknown"},
        take_up_row{"other_route", "label/other", proper_fields, {"blue"}, 503, "stream_unknown"},
        take_up_row{
            "no_attempt", "label", "Last-Event-Id: 2\r\n", {"blue"}, 400, "malformed_resumption"},
        take_up_row{"no_event", "label", "Resumes: a1\r\n", {"blue"}, 400, "malformed_resumption"},
        take_up_row{"event_without_a_number",
                    "label",
                    "Resumes: a1\r\nLast-Event-Id: x\r\n",
                    {"blue"},
                    400,
                    "malformed_resumption"}),
    [](const auto& info) { return info.param.name; });

// Guards against a stream that goes on at another software version when its caller takes it up.
TEST_P(taken_up, goes_on_only_at_its_version) {
    forwarding_fixture f;
    scripted_backend& first = f.add(
        "i-0",
        [](scripted_connection& c) -> asio::awaitable<void> {
            co_await c.send(stream_head(c) + stream_events(0, 2));
            c.reset();
        },
        "engines", "blue");
    f.route("label").max_attempts = 1;
    const auto begun = f.ask("label", "a1");
    f.finish(begun);
    ASSERT_EQ(begun->body(), events_text(0, 2));
    first.stop();
    f.state().registry.forget(backend_id("i-0"));
    std::size_t index = 0;
    for (const std::string& version : GetParam().versions) {
        f.add(
            fmt::format("i-{}", ++index),
            [version](scripted_connection& c) -> asio::awaitable<void> {
                EXPECT_EQ(version, "blue");
                EXPECT_EQ(c.field("Last-Event-Id"), "2");
                co_await c.send(stream_head(c) + stream_events(3, 4) + stream_end);
            },
            "engines", version);
    }
    const auto rest = f.ask(GetParam().path, "b1", GetParam().fields);
    f.finish(rest);
    EXPECT_EQ(rest->status(), GetParam().status) << rest->bytes;
    EXPECT_NE(rest->bytes.find(GetParam().error), std::string::npos) << rest->bytes;
    EXPECT_EQ(!rest->field("Retry-After").empty(), GetParam().status == 503);
    if (GetParam().error.empty()) {
        EXPECT_EQ(rest->body(), events_text(3, 4));
    }
}

// Guards against a stream that its caller takes up twice and whose second rest is of another
// version: the caller names the attempt that brought the first event each time.
TEST(taken_up_twice, stays_at_its_version) {
    forwarding_fixture f;
    f.route("label").max_attempts = 1;
    const auto break_off = [](int first, int last) -> backend_script {
        return [first, last](scripted_connection& c) -> asio::awaitable<void> {
            co_await c.send(stream_head(c) + stream_events(first, last));
            c.reset();
        };
    };
    f.add("i-1", break_off(0, 2), "engines", "blue");
    f.finish(f.ask("label", "a1"));
    f.state().registry.forget(backend_id("i-1"));
    f.add("i-2", break_off(3, 4), "engines", "blue");
    const auto second = f.ask("label", "b1", proper_fields);
    f.finish(second);
    ASSERT_EQ(second->body(), events_text(3, 4));
    f.state().registry.forget(backend_id("i-2"));
    scripted_backend& other = f.add("i-3", break_off(5, 6), "engines", "v2");
    const auto third = f.ask("label", "c1", "Resumes: a1\r\nLast-Event-Id: 4\r\n");
    f.finish(third);
    EXPECT_EQ(third->status(), 503);
    EXPECT_TRUE(other.requests().empty());
}

// Guards against a service of a split route that continues what another service began.
TEST(taken_up_on_a_split_route, goes_on_at_its_service) {
    forwarding_fixture f;
    const backend_script begin = [](scripted_connection& c) -> asio::awaitable<void> {
        co_await c.send(stream_head(c) + stream_events(0, 2));
        c.reset();
    };
    f.add("i-1", begin, "engines", "blue");
    f.route("label").max_attempts = 1;
    f.finish(f.ask("label", "a1"));
    scripted_backend& other = f.add("i-2", answering("never asked"), "calls", "blue");
    f.route("label").services = {{service_id("calls"), 0.9}, {service_id("engines"), 0.1}};
    for (int i = 0; i < 8; ++i) {
        f.finish(f.ask("label", fmt::format("b{}", i), proper_fields));
    }
    f.route("label").services = {{service_id("calls"), 1.0}};
    const auto refused = f.ask("label", "c1", proper_fields);
    f.finish(refused);
    EXPECT_EQ(refused->status(), 503);
    EXPECT_TRUE(other.requests().empty());
}

class shared_origins : public testing::Test {
protected:
    std::optional<stream_origin> find(peer_instance& at, const request_digest& digest) {
        std::optional<stream_origin> out;
        bool done = false;
        asio::co_spawn(
            group_.context,
            [&]() -> asio::awaitable<void> {
                out = co_await at.origins->find(digest);
                done = true;
            },
            asio::detached);
        group_.context.restart();
        while (!done) {
            group_.context.run_one();
        }
        return out;
    }

    static request_digest digest_of(int number) {
        return request_digest::of({"s", std::to_string(number)});
    }

    void record(peer_instance& at, int count) {
        for (int i = 0; i < count; ++i) {
            at.origins->record(digest_of(i), blue, seconds(60));
        }
        group_.run_for(milliseconds(50));
    }

    peer_group group_{4, 4};
};

TEST_F(shared_origins, are_known_at_every_instance) {
    record(*group_.all.front(), 20);
    for (const auto& it : group_.all) {
        for (int i = 0; i < 20; ++i) {
            EXPECT_EQ(find(*it, digest_of(i)), blue);
        }
        EXPECT_FALSE(find(*it, digest_of(20)));
    }
}

// Guards against streams that can't be taken up after many instances were killed at once.
TEST_F(shared_origins, survive_the_loss_of_most_instances) {
    constexpr int streams = 200;
    record(*group_.all.front(), streams);
    std::vector<peer_instance*> order;
    for (const auto& it : group_.all) {
        order.push_back(it.get());
    }
    std::shuffle(order.begin() + 1, order.end(), std::mt19937_64(1));
    const std::size_t killed = order.size() * 6 / 10;
    for (std::size_t i = 0; i < killed; ++i) {
        group_.kill(*order[i]);
    }
    int known = 0;
    for (int i = 0; i < streams; ++i) {
        known += find(*order.back(), digest_of(i)) ? 1 : 0;
    }
    // A stream is lost only if all its five holders are among the killed, of whom one forwarded it.
    EXPECT_GE(known, streams * 95 / 100);
}

// Guards against a guess by an instance that is cut off from all that know the stream.
TEST_F(shared_origins, are_unknown_to_an_instance_without_peers) {
    record(*group_.all.front(), 20);
    peer_instance& alone = *group_.all.back();
    for (const auto& it : group_.all) {
        if (it.get() != &alone) {
            group_.kill(*it);
        }
    }
    for (int i = 20; i < 30; ++i) {
        EXPECT_FALSE(find(alone, digest_of(i)));
    }
}

// Guards against an open stream that is forgotten because its holders restart one after the other.
TEST_F(shared_origins, are_reported_again_while_the_stream_is_open) {
    peer_instance& forwards = *group_.all.front();
    record(forwards, 1);
    forwards.origins->start();
    for (const auto& it : group_.all) {
        if (it.get() != &forwards) {
            it->forwarding.origins = stream_origin_table();
        }
    }
    group_.run_for(milliseconds(5'200));
    group_.kill(forwards);
    EXPECT_EQ(find(*group_.all.back(), digest_of(0)), blue);
}

} // namespace
} // namespace bamboostream::test
