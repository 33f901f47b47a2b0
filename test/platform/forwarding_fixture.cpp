#include "test/platform/forwarding_fixture.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Http/address.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <fmt/format.h>

namespace bamboostream::test {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

auto token(error_code& ec) {
    return asio::redirect_error(asio::use_awaitable, ec);
}

route_rule make_route(const std::string& name, repeat_policy repeats, int attempts) {
    route_rule route;
    route.name = name;
    route.host = "host.example";
    route.path_prefix = "/" + name + "/";
    route.repeats = repeats;
    route.timeout = milliseconds(900);
    route.objective = milliseconds(150);
    route.max_attempts = attempts;
    route.services = {{service_id("calls"), 1.0}};
    return route;
}

} // namespace

routing_configuration forwarding_configuration() {
    routing_configuration out;
    out.version = 1;
    out.routes.push_back(make_route("once", repeat_policy::once, 1));
    out.routes.push_back(make_route("safe", repeat_policy::repeatable, 2));
    out.routes.push_back(make_route("long", repeat_policy::once, 1));
    out.routes.push_back(make_route("label", repeat_policy::resumable, 2));
    for (const std::size_t stream : {2, 3}) {
        out.routes[stream].streaming = true;
        out.routes[stream].services = {{service_id("engines"), 1.0}};
        out.routes[stream].timeout = milliseconds(2'500);
    }
    service_rule calls;
    calls.id = service_id("calls");
    service_rule engines;
    engines.id = service_id("engines");
    engines.engine = engine_rule{24, 30'000, 96'256.0, 14'000.0, true, 4};
    out.services = {calls, engines};
    out.workspaces = std::vector<workspace_rule>{{workspace_id("desk"), {"the-key"}, {}}};
    return out;
}

struct forwarding_fixture::caller {
    explicit caller(asio::io_context& context) : socket(context) {}
    tcp::socket socket;
    std::shared_ptr<caller_view> view = std::make_shared<caller_view>();
};

int caller_view::status() const {
    int value = 0;
    if (bytes.size() > 12) {
        std::from_chars(bytes.data() + 9, bytes.data() + 12, value);
    }
    return value;
}

std::string caller_view::field(const std::string& name) const {
    const std::string head = bytes.substr(0, bytes.find("\r\n\r\n") + 2);
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::string caller_view::body() const {
    const std::size_t head = bytes.find("\r\n\r\n");
    std::string rest = head == std::string::npos ? "" : bytes.substr(head + 4);
    if (field("Transfer-Encoding").empty()) {
        return rest;
    }
    std::string out;
    while (!rest.empty()) {
        const std::size_t line = rest.find("\r\n");
        if (line == std::string::npos) {
            break;
        }
        const std::size_t size = std::stoul(rest.substr(0, line), nullptr, 16);
        out += rest.substr(line + 2, size);
        rest.erase(0, std::min(rest.size(), line + 2 + size + 2));
    }
    return out;
}

bool caller_view::complete() const {
    if (!field("Transfer-Encoding").empty()) {
        return bytes.ends_with("0\r\n\r\n");
    }
    const std::string length = field("Content-Length");
    return !length.empty() && body().size() == std::stoul(length);
}

forwarding_fixture::forwarding_fixture() : configuration_(forwarding_configuration()) {
    state_ = std::make_unique<forwarding_state>(codec_, failure_domain_id("norra"),
                                                window_budget_rules{0.2, 50.0, seconds(10)}, 1);
    rebuild();
    server_ =
        std::make_unique<http_server>(std::vector<asio::io_context*>{&context_}, http_limits{},
                                      [this](http_exchange& exchange) -> asio::awaitable<void> {
                                          forwarded_call call(*state_, exchange, monotonic_now());
                                          co_await call.run();
                                      });
    std::string why;
    address_ = server_->listen("127.0.0.1:0", why).value();
}

forwarding_fixture::~forwarding_fixture() {
    for (const auto& c : callers_) {
        error_code ec;
        c->socket.close(ec);
    }
    server_->stop_accepting();
    for (const auto& backend : backends_) {
        backend->stop();
    }
    run_for(milliseconds(30));
}

void forwarding_fixture::rebuild() {
    state_->routes = std::make_shared<const route_table>(configuration_);
}

scripted_backend& forwarding_fixture::add(const std::string& id, backend_script script,
                                          const std::string& service, const std::string& version) {
    backends_.push_back(std::make_unique<scripted_backend>(context_, std::move(script)));
    registered_backend entry;
    entry.id = backend_id(id);
    entry.address = backends_.back()->address();
    entry.service = service_id(service);
    entry.version = software_version(version);
    entry.failure_domain = failure_domain_id("norra");
    entry.slots = 6;
    state_->registry.update(entry, monotonic_now());
    return *backends_.back();
}

void forwarding_fixture::note_start(const std::string& id, std::int64_t started_ms) {
    registered_backend entry = *state_->registry.find(backend_id(id));
    entry.started_ms = started_ms;
    entry.address = backends_.back()->address();
    state_->registry.update(entry, monotonic_now());
}

void forwarding_fixture::add_dead(const std::string& id) {
    scripted_backend& backend =
        add(id, [](scripted_connection&) -> asio::awaitable<void> { co_return; });
    backend.stop();
}

route_rule& forwarding_fixture::route(const std::string& name) {
    const auto found = std::find_if(configuration_.routes.begin(), configuration_.routes.end(),
                                    [&](const route_rule& r) { return r.name == name; });
    asio::post(context_, [this] { rebuild(); });
    return *found;
}

std::shared_ptr<caller_view> forwarding_fixture::ask(const std::string& route,
                                                     const std::string& id,
                                                     const std::string& more_fields,
                                                     const std::string& body,
                                                     const std::string& method) {
    const auto c = std::make_shared<caller>(context_);
    callers_.push_back(c);
    const std::string request =
        fmt::format("{} /{}/x?y=1 HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: {}\r\n"
                    "Authorization: Bearer the-key\r\nToken-Count: 100,40\r\n{}"
                    "Content-Length: {}\r\n\r\n{}",
                    method, route, id, more_fields, body.size(), body);
    asio::co_spawn(
        context_,
        [c, request, address = address_]() -> asio::awaitable<void> {
            error_code ec;
            co_await c->socket.async_connect(*to_endpoint(address), token(ec));
            co_await asio::async_write(c->socket, asio::buffer(request), token(ec));
            std::array<char, 4096> buffer{};
            while (!ec) {
                const std::size_t n =
                    co_await c->socket.async_read_some(asio::buffer(buffer), token(ec));
                c->view->bytes.append(buffer.data(), n);
                c->view->done = c->view->done || c->view->complete();
            }
            c->view->closed = true;
        },
        asio::detached);
    return c->view;
}

void forwarding_fixture::leave(const std::shared_ptr<caller_view>& view) {
    for (const auto& c : callers_) {
        if (c->view == view) {
            error_code ec;
            c->socket.close(ec);
        }
    }
}

void forwarding_fixture::finish(const std::shared_ptr<caller_view>& view, milliseconds limit) {
    const time_point until = monotonic_now() + limit;
    while (!view->done && !view->closed && monotonic_now() < until) {
        context_.restart();
        context_.run_for(milliseconds(2));
    }
}

void forwarding_fixture::run_for(milliseconds time) {
    context_.restart();
    context_.run_for(time);
}

std::string sealed_answer(const scripted_connection& connection, const std::string& body,
                          int status) {
    return fmt::format("HTTP/1.1 {} X\r\nAttempt-Id: {}\r\nResponse-Seal: s-{}\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       status, connection.field("Attempt-Id"), body, body.size(), body);
}

backend_script answering(const std::string& body) {
    return [body](scripted_connection& c) -> asio::awaitable<void> {
        co_await c.send(sealed_answer(c, body));
    };
}

std::string stream_head(const scripted_connection& connection) {
    return fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n"
                       "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                       connection.field("Attempt-Id"));
}

std::string events_text(int first, int last) {
    std::string out;
    for (int i = first; i <= last; ++i) {
        out += fmt::format("id: {}\ndata: d{}\n\n", i, i);
    }
    return out;
}

std::string stream_events(int first, int last) {
    std::string out;
    for (int i = first; i <= last; ++i) {
        const std::string event = events_text(i, i);
        out += fmt::format("{:x}\r\n{}\r\n", event.size(), event);
    }
    return out;
}

} // namespace bamboostream::test
