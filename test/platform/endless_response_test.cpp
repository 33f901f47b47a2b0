#include "bamboostream/Http"
#include "platform/http_generation_mover.h"
#include "platform/store_client.h"
#include "test/platform/endless_script.h"
#include "test/platform/forwarding_fixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

/// More than any limit and what the sockets of both ends hold: 8 MiB of a body, 6 MB of buffers.
constexpr std::size_t most_sent = 16 * 1024 * 1024;

struct forwarded_row {
    endless_kind kind;
    const char* route;
    int ms_per_byte;
    /// The caller's status if no other server can answer. 0: the answer is aborted.
    int status;
};

std::string name_of(const testing::TestParamInfo<forwarded_row>& info) {
    return fmt::format("{}_{}_{}", to_string(info.param.kind), info.param.route,
                       info.param.ms_per_byte == 0 ? "fast" : "slow");
}

std::vector<forwarded_row> forwarded_rows() {
    using kind = endless_kind;
    std::vector<forwarded_row> out;
    // The time of a head is shorter than the timeout of the streams' route.
    for (const kind it : {kind::head_line, kind::head_fields, kind::interim_responses}) {
        out.push_back({it, "once", 0, 502});
        out.push_back({it, "once", 100, 504});
        out.push_back({it, "long", 0, 502});
        out.push_back({it, "long", 100, 502});
    }
    for (const kind it : {kind::chunk_extension, kind::chunk_extensions, kind::trailers}) {
        out.push_back({it, "once", 0, 502});
        out.push_back({it, "once", 100, 504});
        out.push_back({it, "long", 0, 502});
        out.push_back({it, "long", 100, 504});
    }
    for (const kind it : {kind::chunks, kind::unframed_body}) {
        out.push_back({it, "once", 0, 0});
        out.push_back({it, "once", 100, 504});
        out.push_back({it, "long", 0, 502});
        out.push_back({it, "long", 100, 504});
    }
    out.push_back({kind::event_line, "long", 0, 502});
    out.push_back({kind::event_line, "long", 100, 504});
    out.push_back({kind::comments, "long", 0, 0});
    out.push_back({kind::comments, "long", 100, 0});
    out.push_back({kind::empty_lines, "long", 0, 0});
    return out;
}

bool is_streaming(const forwarded_row& row) {
    return std::string_view(row.route) == "long" || std::string_view(row.route) == "label";
}

class endless_response : public testing::TestWithParam<forwarded_row> {
protected:
    forwarding_fixture f_;
    std::shared_ptr<endless_record> sent_ = std::make_shared<endless_record>();
};

INSTANTIATE_TEST_SUITE_P(table, endless_response, testing::ValuesIn(forwarded_rows()), name_of);

// Guards against a response that is read, and kept, until the deadline of its request.
TEST_P(endless_response, ends_at_a_limit_with_a_true_answer) {
    const forwarded_row& row = GetParam();
    f_.add("bad", send_endlessly(row.kind, row.ms_per_byte, sent_),
           is_streaming(row) ? "engines" : "calls");
    const time_point began = monotonic_now();
    const auto view = f_.ask(row.route, "attempt-1");
    f_.finish(view);
    const double took = to_milliseconds(monotonic_now() - began);
    f_.run_for(milliseconds(250));
    EXPECT_LT(took, is_streaming(row) ? 2'600 : 1'000);
    if (row.status == 0) {
        EXPECT_TRUE(view->closed && !view->complete());
    } else {
        EXPECT_EQ(view->status(), row.status);
    }
    EXPECT_LT(sent_->bytes, most_sent);
    EXPECT_EQ(sent_->responses, 1);
    EXPECT_EQ(sent_->closed, 1) << "the connection is open";
}

class repeated_request : public endless_response {};

/// A plain response that is too large to be kept has begun to be relayed when it ends.
std::vector<forwarded_row> repeated_rows() {
    std::vector<forwarded_row> out;
    for (const forwarded_row& row : forwarded_rows()) {
        const bool relayed = row.status == 0 && !is_streaming(row);
        if (row.ms_per_byte == 0 && !relayed) {
            out.push_back({row.kind, is_streaming(row) ? "label" : "safe", 0, 200});
        }
    }
    return out;
}

INSTANTIATE_TEST_SUITE_P(table, repeated_request, testing::ValuesIn(repeated_rows()), name_of);

// Guards against a request that fails although another server can run it.
TEST_P(repeated_request, is_replaced_by_that_of_another_server) {
    const forwarded_row& row = GetParam();
    const std::string service = is_streaming(row) ? "engines" : "calls";
    f_.add("bad", send_endlessly(row.kind, 0, sent_), service);
    f_.add("bad-2", send_endlessly(row.kind, 0, sent_), service);
    f_.route(row.route).max_attempts = 3;
    f_.add(
        "good",
        [&row](scripted_connection& c) -> asio::awaitable<void> {
            const std::string bytes = is_streaming(row)
                                          ? stream_head(c) + stream_events(1, 2) + stream_end
                                          : sealed_answer(c, "ok");
            co_await c.send(bytes);
        },
        service);
    const auto view = f_.ask(row.route, "attempt-1");
    f_.finish(view);
    EXPECT_EQ(view->status(), 200);
    EXPECT_TRUE(view->complete());
    EXPECT_TRUE(view->body().ends_with(is_streaming(row) ? events_text(1, 2) : "ok"));
}

struct fetched_row {
    endless_kind kind;
    int ms_per_byte;
};

class endless_fetch : public testing::TestWithParam<fetched_row> {
protected:
    asio::io_context context_{1};
    std::shared_ptr<endless_record> sent_ = std::make_shared<endless_record>();
    scripted_backend server_{context_,
                             send_endlessly(GetParam().kind, GetParam().ms_per_byte, sent_)};

    void run(asio::awaitable<void> call, milliseconds limit) {
        const auto done = std::make_shared<bool>(false);
        asio::co_spawn(context_, std::move(call),
                       [done](const std::exception_ptr&) { *done = true; });
        const time_point until = monotonic_now() + limit;
        while (!*done && monotonic_now() < until) {
            context_.restart();
            context_.run_for(milliseconds(2));
        }
        EXPECT_TRUE(*done) << "still reading";
        context_.restart();
        context_.run_for(milliseconds(150));
        EXPECT_LT(sent_->bytes, most_sent);
        EXPECT_EQ(sent_->closed, sent_->responses) << "the connection is open";
    }
};

std::vector<fetched_row> fetched_rows() {
    std::vector<fetched_row> out;
    for (const endless_kind kind :
         {endless_kind::head_line, endless_kind::head_fields, endless_kind::interim_responses,
          endless_kind::chunks, endless_kind::chunk_extension, endless_kind::chunk_extensions,
          endless_kind::trailers, endless_kind::unframed_body}) {
        out.push_back({kind, 0});
        out.push_back({kind, 100});
    }
    return out;
}

INSTANTIATE_TEST_SUITE_P(table, endless_fetch, testing::ValuesIn(fetched_rows()),
                         [](const auto& info) {
                             return fmt::format("{}_{}", to_string(info.param.kind),
                                                info.param.ms_per_byte == 0 ? "fast" : "slow");
                         });

// Guards against reports, checks and moves that read, and keep, what never ends. The contracts of
// the product's own interface use the same function.
TEST_P(endless_fetch, ends_a_status_check) {
    run(
        [](asio::any_io_executor executor, std::string address) -> asio::awaitable<void> {
            platform::http_generation_mover mover(executor);
            EXPECT_FALSE(co_await mover.is_leaving(address, milliseconds(800)));
        }(context_.get_executor(), server_.address()),
        milliseconds(2'000));
    EXPECT_LT(sent_->bytes, 8U * 1024 * 1024);
}

// Guards against a store that keeps an instance from asking another time.
TEST_P(endless_fetch, ends_a_read_of_the_store) {
    platform::store_client store(context_.get_executor(), server_.address());
    run(
        [](platform::store_client& client) -> asio::awaitable<void> {
            store_failure why;
            EXPECT_FALSE(co_await client.newest(record_topic::operator_documents, why));
        }(store),
        milliseconds(8'000));
}

/// A sound body that is too large to be kept, in the framing that it arrives in.
struct large_row {
    const char* name;
    const char* framing;
    int status;
    bool breaks_off;
};

class large_body : public testing::TestWithParam<large_row> {};

INSTANTIATE_TEST_SUITE_P(table, large_body,
                         testing::Values(large_row{"length", "length", 200, false},
                                         large_row{"chunks", "chunks", 200, false},
                                         large_row{"failure", "length", 500, false},
                                         large_row{"broken_length", "length", 200, true},
                                         large_row{"broken_chunks", "chunks", 200, true}),
                         [](const auto& info) { return info.param.name; });

// Guards against limits that cut off sound bodies, and against a part that looks like the whole.
TEST_P(large_body, arrives_whole_or_is_aborted) {
    const large_row& row = GetParam();
    const std::string body(1'500'000, 'x');
    forwarding_fixture f;
    f.add("i-1", [&](scripted_connection& c) -> asio::awaitable<void> {
        const bool has_length = std::string_view(row.framing) == "length";
        const std::string framing = has_length ? fmt::format("Content-Length: {}", body.size())
                                               : std::string("Transfer-Encoding: chunked");
        const std::string head =
            fmt::format("HTTP/1.1 {} X\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n{}\r\n\r\n",
                        row.status, c.field("Attempt-Id"), framing);
        const std::string sent =
            has_length ? body : fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body);
        co_await c.send(head + sent.substr(0, row.breaks_off ? sent.size() / 2 : sent.size()));
        if (row.breaks_off) {
            c.close();
        }
    });
    const auto view = f.ask("once", "attempt-1");
    f.finish(view);
    EXPECT_EQ(view->status(), row.status);
    EXPECT_EQ(view->complete(), !row.breaks_off);
    EXPECT_EQ(view->field("Content-Length").empty(), std::string_view(row.framing) == "chunks");
    EXPECT_TRUE(row.breaks_off || view->body() == body);
}

// Guards against "not run" from a server that can't be believed.
TEST(endless_refusal, is_not_reported_as_not_run) {
    forwarding_fixture f;
    f.add("i-1", [](scripted_connection& c) -> asio::awaitable<void> {
        const std::string head = fmt::format(
            "HTTP/1.1 503 X\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\nNot-Executed: 1\r\n"
            "Transfer-Encoding: chunked\r\n\r\n",
            c.field("Attempt-Id"));
        co_await c.send(head);
        const std::string chunk = fmt::format("4000\r\n{}\r\n", std::string(0x4000, 'x'));
        while (!c.is_closed()) {
            co_await c.send(chunk);
        }
        c.close();
    });
    const auto view = f.ask("once", "attempt-1");
    f.finish(view);
    EXPECT_EQ(view->status(), 502);
}

// Guards against a server that stays without requests after it answers again.
TEST(endless_response_server, counts_as_failing_until_it_answers) {
    forwarding_fixture f;
    const auto record = std::make_shared<endless_record>();
    bool faulty = true;
    const backend_script endless = send_endlessly(endless_kind::head_fields, 0, record);
    const backend_script sound = answering("ok");
    f.add("i-1", [&](scripted_connection& c) -> asio::awaitable<void> {
        if (faulty) {
            co_await endless(c);
        } else {
            co_await sound(c);
        }
    });
    const auto first = f.ask("once", "attempt-1");
    f.finish(first);
    EXPECT_EQ(first->status(), 502);
    const auto counts = response_guard::of(f.context().get_executor()).counts();
    EXPECT_EQ(counts.at(static_cast<std::size_t>(response_limit::head_bytes)), 1U);
    faulty = false;
    const auto second = f.ask("once", "attempt-2");
    f.finish(second);
    EXPECT_EQ(second->status(), 200);
}

// Guards against connections that always have bytes ready and take the event loop from others.
TEST(endless_reading, leaves_time_to_others) {
    asio::io_context context{1};
    response_limits limits;
    limits.framing_bytes = std::size_t{1} << 30U;
    response_guard::of(context.get_executor()).configure(limits);
    scripted_backend server(
        context, send_endlessly(endless_kind::comments, 0, std::make_shared<endless_record>()));
    std::size_t read = 0;
    for (int i = 0; i < 32; ++i) {
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                const auto connection =
                    std::make_shared<http_connection>(co_await asio::this_coro::executor);
                http_failure why;
                EXPECT_TRUE(co_await connection->connect(server.address(), seconds(5), why));
                connection->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n", false);
                EXPECT_TRUE(co_await connection->read_head(why));
                std::string bytes;
                while (co_await connection->read(bytes)) {
                    read += bytes.size();
                    bytes.clear();
                }
            },
            asio::detached);
    }
    const time_point began = monotonic_now();
    context.run_for(milliseconds(400));
    const double seconds_run = to_milliseconds(monotonic_now() - began) / 1000.0;
    const double bursts = 32 * 20e3;
    EXPECT_LT(static_cast<double>(read), bursts + seconds_run * (17e6 + 32 * 262e3));
    EXPECT_GT(read, 32U * 16'000) << "nothing is read";
}

struct stream_row {
    const char* name;
    /// What arrives every `interval`.
    event_stream_step step;
    milliseconds interval;
    /// The limit that it exceeds within an hour.
    response_limit exceeded;
};

class event_stream_limit : public testing::TestWithParam<stream_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, event_stream_limit,
    testing::Values(
        stream_row{"keep_alive_each_second", {0, 0, true, 20}, seconds(1), response_limit::none},
        stream_row{
            "comment_byte_by_byte", {1, 64, true, 1}, milliseconds(100), response_limit::none},
        stream_row{"event_after_pauses", {0, 0, true, 0}, seconds(600), response_limit::none},
        stream_row{"comments_at_full_speed",
                   {0, 0, true, 4'096},
                   milliseconds(1),
                   response_limit::bytes_without_event},
        stream_row{"event_byte_by_byte",
                   {100, 128, false, 0},
                   milliseconds(100),
                   response_limit::event_time},
        stream_row{"long_event",
                   {300'000, 300'000, false, 0},
                   milliseconds(1),
                   response_limit::event_bytes},
        stream_row{"no_memory_left",
                   {200'000, 262'144, false, 0},
                   milliseconds(1),
                   response_limit::memory}),
    [](const auto& info) { return info.param.name; });

// Guards against limits that end sound streams with long pauses, and against streams without them.
TEST_P(event_stream_limit, is_exceeded_only_by_streams_without_end) {
    asio::io_context context;
    response_guard& guard = response_guard::of(context.get_executor());
    guard.memory().set_limit(memory_use::response, 100'000);
    event_stream_limits limits({}, guard);
    const time_point began{};
    response_limit exceeded = response_limit::none;
    for (time_point now = began;
         exceeded == response_limit::none && now < began + std::chrono::hours(1);
         now += GetParam().interval) {
        exceeded = limits.check(GetParam().step, now);
    }
    EXPECT_EQ(exceeded, GetParam().exceeded) << to_string(exceeded);
}

} // namespace
} // namespace bamboostream::test
