// Tests, over loopback connections, of an instance that sends requests through another one because
// it can't reach a backend server itself.

#include "bamboostream/src/Forwarding/backend_connection.h"
#include "bamboostream/src/Http/address.h"
#include "bamboostream/src/Links/frame_codec.h"
#include "test/platform/endless_script.h"
#include "test/platform/peer_group.h"
#include "test/platform/scripted_backend.h"
#include "test/platform/unreachable_addresses.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr const char* request_text = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

/// What the origin received through a connection.
struct exchange_result {
    bool connected = false;
    bool done = false;
    bool complete = false;
    bool reusable = false;
    std::string carrier;
    std::string body;
    std::string failure;
};

class tunnel_test : public testing::Test {
protected:
    tunnel_test() : group_(1, 3) { group_.run_for(milliseconds(20)); }

    peer_instance& origin() { return *group_.all.front(); }

    /// Registers a server at all instances; the origin knows it at an address of `origin_sees`.
    void add_server(const std::string& id, const std::string& address,
                    const std::string& origin_sees) {
        registered_backend entry;
        entry.id = backend_id(id);
        entry.service = service_id("s");
        for (const auto& it : group_.all) {
            entry.address = it.get() == &origin() ? origin_sees : address;
            it->forwarding.registry.update(entry, monotonic_now());
        }
    }

    std::shared_ptr<exchange_result> send(const std::string& id) {
        auto result = std::make_shared<exchange_result>();
        asio::co_spawn(
            group_.context,
            [this, id, result]() -> asio::awaitable<void> {
                connection_request wanted;
                wanted.max_idle = seconds(1);
                wanted.deadline = monotonic_now() + seconds(1);
                http_failure why;
                const registered_backend server =
                    *origin().forwarding.registry.find(backend_id(id));
                const backend_connection opened = co_await open_backend_connection(
                    origin().forwarding, server, std::move(wanted), why);
                connection_ = opened.connection;
                result->connected = connection_ != nullptr;
                result->failure = why.text;
                if (connection_) {
                    result->carrier = connection_->carrier();
                    connection_->send(request_text_, false);
                    connection_->expire_at(monotonic_now() + seconds(2));
                    if (co_await connection_->read_head(why)) {
                        while (co_await connection_->read(result->body)) {
                        }
                        result->complete = connection_->complete();
                        result->reusable = connection_->reusable();
                    }
                }
                result->done = true;
            },
            asio::detached);
        return result;
    }

    std::shared_ptr<exchange_result> finish(const std::string& id) {
        auto result = send(id);
        for (const time_point limit = monotonic_now() + seconds(4);
             !result->done && monotonic_now() < limit;) {
            group_.run_for(milliseconds(5));
        }
        return result;
    }

    /// Asks an instance for a tunnel, like another instance does.
    wire::TunnelReplyT ask(const peer_instance& carrier, const std::string& id) {
        wire::TunnelReplyT reply;
        bool done = false;
        asio::co_spawn(
            group_.context,
            [&]() -> asio::awaitable<void> {
                tcp::socket socket(group_.context);
                co_await socket.async_connect(*to_endpoint(carrier.address()), asio::use_awaitable);
                wire::TunnelRequestT request;
                request.backend = id;
                request.timeout_ms = 100;
                const std::string frame = encode_frame(make_frame(std::move(request)));
                co_await asio::async_write(socket, asio::buffer(frame), asio::use_awaitable);
                std::array<unsigned char, 4> head{};
                co_await asio::async_read(socket, asio::buffer(head), asio::use_awaitable);
                std::string body(decode_length(head), '\0');
                co_await asio::async_read(socket, asio::buffer(body), asio::use_awaitable);
                reply = *decode_frame(body)->message.AsTunnelReply();
                done = true;
            },
            asio::detached);
        for (const time_point limit = monotonic_now() + seconds(2);
             !done && monotonic_now() < limit;) {
            group_.run_for(milliseconds(5));
        }
        return reply;
    }

    std::string refusing_address() const { return unreachable_.refusing(); }
    std::string silent_address() const { return unreachable_.silent(); }

    peer_group group_;
    unreachable_addresses unreachable_{group_.context};
    std::shared_ptr<http_connection> connection_;
    std::string request_text_ = request_text;
};

/// How the origin fails to reach a server of which the other instances know that it leaves.
class tunnel_to_leaving_server : public tunnel_test, public testing::WithParamInterface<bool> {};

INSTANTIATE_TEST_SUITE_P(table, tunnel_to_leaving_server, testing::Bool(),
                         [](const auto& info) { return info.param ? "refused" : "silent"; });

// Guards against a request that reaches a leaving server through an instance that knows of the
// departure, from one that doesn't.
TEST_P(tunnel_to_leaving_server, is_not_opened_and_tells_the_origin) {
    scripted_backend server(group_.context, [](scripted_connection& c) -> asio::awaitable<void> {
        co_await c.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    add_server("b", server.address(), GetParam() ? refusing_address() : silent_address());
    for (const auto& it : group_.all) {
        if (it.get() != &origin()) {
            it->forwarding.registry.mark_leaving(backend_id("b"));
        }
    }
    EXPECT_FALSE(finish("b")->connected);
    EXPECT_EQ(server.connections(), 0);
    EXPECT_FALSE(origin().forwarding.registry.takes_work(backend_id("b")));
}

backend_script answering_with(std::string response) {
    return [response = std::move(response)](scripted_connection& c) -> asio::awaitable<void> {
        co_await c.send(response);
    };
}

constexpr const char* framed_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

TEST_F(tunnel_test, a_refused_connection_goes_through_another_instance) {
    scripted_backend server(group_.context, answering_with(framed_response));
    add_server("i-0", server.address(), refusing_address());
    const auto result = finish("i-0");
    EXPECT_EQ(result->body, "ok");
    EXPECT_TRUE(result->complete && result->reusable);
    EXPECT_FALSE(result->carrier.empty());
    EXPECT_NE(result->carrier, origin().address());
    EXPECT_TRUE(origin().forwarding.reachability.is_cut_off(service_id("s"), backend_id("i-0")));
    EXPECT_EQ(server.requests(), std::vector<std::string>{request_text});
    server.stop();
}

// Guards against a response without an end that two instances go on to pass and to read.
TEST_F(tunnel_test, a_response_without_an_end_ends_at_a_limit) {
    const auto record = std::make_shared<endless_record>();
    scripted_backend server(group_.context,
                            send_endlessly(endless_kind::chunk_extensions, 0, record));
    add_server("i-0", server.address(), refusing_address());
    const auto result = finish("i-0");
    EXPECT_TRUE(result->done && !result->complete && !result->carrier.empty());
    EXPECT_EQ(connection_->exceeded(), response_limit::framing_bytes);
    group_.run_for(milliseconds(200));
    EXPECT_EQ(record->closed, 1);
    server.stop();
}

TEST_F(tunnel_test, a_connection_without_an_answer_goes_through_another_instance) {
    scripted_backend server(group_.context, answering_with(framed_response));
    add_server("i-0", server.address(), silent_address());
    const time_point began = monotonic_now();
    EXPECT_EQ(finish("i-0")->body, "ok");
    EXPECT_LT(monotonic_now() - began, milliseconds(300));
    // From now on without the wait.
    const time_point second = monotonic_now();
    EXPECT_EQ(finish("i-0")->body, "ok");
    EXPECT_LT(monotonic_now() - second, milliseconds(100));
    server.stop();
}

TEST_F(tunnel_test, a_server_that_is_down_is_not_taken_for_cut_off) {
    add_server("i-0", refusing_address(), refusing_address());
    const time_point began = monotonic_now();
    const auto result = finish("i-0");
    EXPECT_FALSE(result->connected);
    EXPECT_NE(result->failure, "");
    EXPECT_LT(monotonic_now() - began, milliseconds(100));
    EXPECT_EQ(origin().forwarding.reachability.servers_cut_off(), 0u);
}

TEST_F(tunnel_test, a_server_that_no_instance_reaches_is_given_up_in_time) {
    add_server("i-0", silent_address(), silent_address());
    const time_point began = monotonic_now();
    EXPECT_FALSE(finish("i-0")->connected);
    EXPECT_LT(monotonic_now() - began, milliseconds(600));
    EXPECT_EQ(origin().forwarding.reachability.servers_cut_off(), 0u);
}

// Guards against two instances that are both cut off sending a request to and fro.
TEST_F(tunnel_test, an_instance_that_is_cut_off_itself_carries_no_tunnel) {
    scripted_backend server(group_.context, answering_with(framed_response));
    add_server("i-0", server.address(), refusing_address());
    for (std::size_t i = 1; i < group_.all.size(); ++i) {
        group_.all[i]->forwarding.reachability.on_reached_by_peer(
            service_id("s"), backend_id("i-0"), {}, monotonic_now());
    }
    EXPECT_FALSE(finish("i-0")->connected);
    EXPECT_EQ(server.connections(), 0);
    server.stop();
}

// Guards against requests that fail although the server can be reached directly, because two others
// of its service can't.
TEST_F(tunnel_test, a_server_that_is_only_assumed_cut_off_is_reached_directly_or_for_others) {
    scripted_backend server(group_.context, answering_with(framed_response));
    add_server("i-0", server.address(), refusing_address());
    add_server("i-1", server.address(), refusing_address());
    add_server("i-2", refusing_address(), server.address());
    EXPECT_EQ(finish("i-0")->body, "ok");
    EXPECT_EQ(finish("i-1")->body, "ok");
    EXPECT_TRUE(origin().forwarding.reachability.is_cut_off(service_id("s"), backend_id("i-2")));
    EXPECT_EQ(finish("i-2")->body, "ok");
    server.stop();
}

TEST_F(tunnel_test, a_carrier_tries_a_server_that_it_only_assumes_to_be_cut_off) {
    scripted_backend server(group_.context, answering_with(framed_response));
    add_server("i-0", server.address(), refusing_address());
    for (std::size_t i = 1; i < group_.all.size(); ++i) {
        forwarding_state& state = group_.all[i]->forwarding;
        const auto usable = state.registry.usable(service_id("s"));
        for (const char* other : {"i-8", "i-9"}) {
            state.reachability.on_reached_by_peer(service_id("s"), backend_id(other), usable,
                                                  monotonic_now());
        }
        ASSERT_TRUE(state.reachability.is_cut_off(service_id("s"), backend_id("i-0")));
    }
    EXPECT_EQ(finish("i-0")->body, "ok");
    server.stop();
}

/// How a carrier sees the server that it is asked for, and the other servers of the service.
struct carrier_view_row {
    std::string name;
    bool silent;
    enum class others : std::uint8_t { none, reached, like_the_server } rest;
    wire::ServiceReach expected;
    friend void PrintTo(const carrier_view_row& row, std::ostream* out) { *out << row.name; }
};

class carrier_view : public tunnel_test, public testing::WithParamInterface<carrier_view_row> {};

using other_servers = carrier_view_row::others;
INSTANTIATE_TEST_SUITE_P(
    table, carrier_view,
    testing::Values(
        carrier_view_row{"refused_alone", false, other_servers::reached,
                         wire::ServiceReach::reached},
        carrier_view_row{"silent_alone", true, other_servers::reached, wire::ServiceReach::reached},
        carrier_view_row{"all_refused", false, other_servers::like_the_server,
                         wire::ServiceReach::not_reached},
        carrier_view_row{"all_silent", true, other_servers::like_the_server,
                         wire::ServiceReach::not_reached},
        carrier_view_row{"only_server", false, other_servers::none, wire::ServiceReach::unknown}),
    [](const auto& info) { return info.param.name; });

// Guards against a server being taken for down because an instance asked that is cut off itself.
TEST_P(carrier_view, tells_a_server_that_is_down_from_a_network_failure_of_its_own) {
    scripted_backend server(group_.context, answering_with(framed_response));
    const std::string lost = GetParam().silent ? silent_address() : refusing_address();
    add_server("i-0", lost, lost);
    if (GetParam().rest != other_servers::none) {
        const bool reached = GetParam().rest == other_servers::reached;
        add_server("i-1", reached ? server.address() : lost, lost);
        add_server("i-2", reached ? server.address() : lost, lost);
    }
    const wire::TunnelReplyT reply = ask(*group_.all[1], "i-0");
    EXPECT_EQ(reply.result,
              GetParam().silent ? wire::TunnelResult::no_answer : wire::TunnelResult::refused);
    EXPECT_EQ(reply.service, GetParam().expected);
    server.stop();
}

/// How a server ends a response that has no length.
struct end_row {
    std::string name;
    bool reset;
    friend void PrintTo(const end_row& row, std::ostream* out) { *out << row.name; }
};

class tunneled_response_end : public tunnel_test, public testing::WithParamInterface<end_row> {};

INSTANTIATE_TEST_SUITE_P(table, tunneled_response_end,
                         testing::Values(end_row{"closed", false}, end_row{"reset", true}),
                         [](const auto& info) { return info.param.name; });

// Guards against a response that the server broke off looking complete to the caller.
TEST_P(tunneled_response_end, is_complete_only_if_the_server_closed_in_order) {
    const bool reset = GetParam().reset;
    scripted_backend server(group_.context,
                            [reset](scripted_connection& c) -> asio::awaitable<void> {
                                co_await c.send("HTTP/1.1 200 OK\r\n\r\nhalf");
                                co_await c.pause(30);
                                if (reset) {
                                    c.reset();
                                } else {
                                    c.close();
                                }
                            });
    add_server("i-0", server.address(), refusing_address());
    const auto result = finish("i-0");
    EXPECT_EQ(result->body, "half");
    EXPECT_EQ(result->complete, !reset);
    EXPECT_FALSE(result->reusable);
    server.stop();
}

// Guards against a part of a response that looks complete because the carrier's write took the
// error of the server's reset.
TEST_P(tunneled_response_end, is_complete_only_if_the_server_closed_in_order_during_the_upload) {
    const bool reset = GetParam().reset;
    request_text_ = fmt::format("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: {0}\r\n\r\n{1}",
                                900'000, std::string(900'000, 'u'));
    scripted_backend server(group_.context,
                            [reset](scripted_connection& c) -> asio::awaitable<void> {
                                co_await c.send("HTTP/1.1 200 OK\r\n\r\nhalf");
                                co_await c.pause(30);
                                if (reset) {
                                    c.reset();
                                } else {
                                    c.close();
                                }
                            });
    server.answer_before_the_body();
    add_server("i-0", server.address(), refusing_address());
    const auto result = finish("i-0");
    EXPECT_EQ(result->body, "half");
    EXPECT_EQ(result->complete, !reset);
    EXPECT_FALSE(result->carrier.empty());
    server.stop();
}

struct carrier_end_row {
    std::string name;
    /// What the carrier sends after the response, before it closes its connection in order.
    std::string last_bytes;
    bool complete;
    friend void PrintTo(const carrier_end_row& row, std::ostream* out) { *out << row.name; }
};

class carrier_end : public testing::TestWithParam<carrier_end_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, carrier_end,
    testing::Values(carrier_end_row{"after_the_server_has_closed", encode_tunnel_end(), true},
                    carrier_end_row{"before_the_server_has_closed", "", false},
                    carrier_end_row{"within_a_record", std::string("\2\0\0\0x", 5), false}),
    [](const auto& info) { return info.param.name; });

// Guards against a response without a length looking complete because the carrier's process ended.
TEST_P(carrier_end, completes_a_response_only_after_the_server_has_closed) {
    asio::io_context context{1};
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    tcp::socket origin(context);
    origin.connect(acceptor.local_endpoint());
    tcp::socket carrier = acceptor.accept();
    asio::write(carrier, asio::buffer(encode_tunnel_record("HTTP/1.1 200 OK\r\n\r\nhalf") +
                                      GetParam().last_bytes));
    carrier.shutdown(tcp::socket::shutdown_send);
    const auto connection = std::make_shared<http_connection>(context.get_executor());
    connection->adopt_tunnel(std::move(origin), "carrier");
    std::string body;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            http_failure why;
            connection->send(request_text, false);
            if (co_await connection->read_head(why)) {
                while (co_await connection->read(body)) {
                }
            }
        },
        asio::detached);
    context.run_for(seconds(2));
    EXPECT_TRUE(body.starts_with("half")) << body;
    EXPECT_EQ(connection->complete(), GetParam().complete);
}

// Guards against servers that go on with the work of a caller that has left.
TEST_F(tunnel_test, a_closed_tunnel_closes_the_connection_to_the_server) {
    bool closed = false;
    scripted_backend server(group_.context,
                            [&closed](scripted_connection& c) -> asio::awaitable<void> {
                                co_await c.wait_for_close();
                                closed = true;
                            });
    add_server("i-0", server.address(), refusing_address());
    send("i-0");
    while (server.requests().empty()) {
        group_.run_for(milliseconds(5));
    }
    EXPECT_EQ(group_.all[1]->forwarding.counters.open_tunnels +
                  group_.all[2]->forwarding.counters.open_tunnels,
              1u);
    connection_->close();
    group_.run_for(milliseconds(100));
    EXPECT_TRUE(closed);
    EXPECT_EQ(group_.all[1]->forwarding.counters.open_tunnels +
                  group_.all[2]->forwarding.counters.open_tunnels,
              0u);
    server.stop();
}

TEST_F(tunnel_test, a_large_response_arrives_whole) {
    const std::string body(3'000'000, 'b');
    scripted_backend server(
        group_.context, answering_with(fmt::format(
                            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body)));
    add_server("i-0", server.address(), refusing_address());
    const auto result = finish("i-0");
    EXPECT_TRUE(result->complete);
    EXPECT_EQ(result->body.size(), body.size());
    EXPECT_EQ(result->body, body);
    server.stop();
}

TEST_F(tunnel_test, direct_connections_are_used_again_when_they_work) {
    scripted_backend server(group_.context, answering_with(framed_response));
    add_server("i-0", server.address(), refusing_address());
    EXPECT_FALSE(finish("i-0")->carrier.empty());
    add_server("i-0", server.address(), server.address());
    group_.run_for(milliseconds(1'000));
    EXPECT_EQ(origin().forwarding.reachability.servers_cut_off(), 0u);
    const auto result = finish("i-0");
    EXPECT_EQ(result->body, "ok");
    EXPECT_TRUE(result->carrier.empty());
    server.stop();
}

// Guards against waiting for an instance that doesn't know the request for a tunnel.
TEST_F(tunnel_test, an_instance_that_closes_the_connection_is_passed_over) {
    scripted_backend server(group_.context, answering_with(framed_response));
    add_server("i-0", server.address(), refusing_address());
    group_.all[1]->links.on_tunnel_request(nullptr);
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(finish("i-0")->carrier, group_.all[2]->address());
    }
    server.stop();
}

} // namespace
} // namespace bamboostream::test
