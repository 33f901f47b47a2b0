#include "test/platform/standin_store.h"

#include "bamboostream/src/Control/async_wait.h"

#include <array>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

namespace bamboostream::test {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr milliseconds poll_step{5};
/// Delay of silent calls; callers time out long before.
constexpr seconds silent_duration{5};
constexpr std::array<const char*, 3> topic_names = {"keyed.op", "keyed.servers",
                                                    "keyed.quarantine"};

std::string big_endian(std::uint64_t value, int bytes) {
    std::string out;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        out += static_cast<char>(value >> shift & 0xff);
    }
    return out;
}

std::size_t from_big_endian(const std::string& bytes) {
    std::size_t out = 0;
    for (const char c : bytes) {
        out = out << 8 | static_cast<unsigned char>(c);
    }
    return out;
}

std::string base64(const std::string& text) {
    std::string out(boost::beast::detail::base64::encoded_size(text.size()), '\0');
    out.resize(boost::beast::detail::base64::encode(out.data(), text.data(), text.size()));
    return out;
}

} // namespace

standin_store::standin_store(asio::io_context& context) : context_(context) {}

standin_store::~standin_store() {
    for (const auto& server : servers_) {
        server->stop_accepting();
    }
}

std::string standin_store::add_address() {
    const auto address = std::make_shared<std::string>();
    servers_.push_back(std::make_unique<http_server>(
        std::vector<asio::io_context*>{&context_}, http_limits{},
        [this, address](http_exchange& exchange) { return handle(exchange, *address); }));
    std::string why;
    *address = servers_.back()->listen("127.0.0.1:0", why).value();
    return *address;
}

void standin_store::set_manner(const std::string& address, store_manner manner) {
    for (const char* topic : topic_names) {
        set_manner(address, topic, manner);
    }
}

void standin_store::set_manner(const std::string& address, const std::string& topic,
                               store_manner manner) {
    manners_[{address, topic}] = manner;
}

store_manner standin_store::manner_at(const place& where) const {
    const auto found = manners_.find(where);
    return found == manners_.end() ? store_manner::answers : found->second;
}

int standin_store::waiting_reads(const std::string& address, const std::string& topic) const {
    const auto found = waiting_.find({address, topic});
    return found == waiting_.end() ? 0 : found->second;
}

void standin_store::write(const std::string& topic, const std::string& key,
                          const std::string& value) {
    topic_state& t = topics_[topic];
    t.records.push_back({key, value});
    if (value.empty()) {
        t.newest.erase(key);
    } else {
        t.newest[key] = value;
    }
}

void standin_store::forget_history(const std::string& topic) {
    topic_state& t = topics_[topic];
    t.first = t.end();
    t.records.clear();
}

asio::awaitable<void> standin_store::handle(http_exchange& exchange, const std::string& address) {
    ++calls_;
    const place where{address, exchange.request().parameter("topic").value_or("")};
    const store_manner manner = manner_at(where);
    if (manner != store_manner::answers) {
        co_await reject(exchange, manner);
    } else if (exchange.request().path == "/log-newest") {
        co_await newest(exchange);
    } else if (exchange.request().path == "/log-append") {
        co_await append(exchange);
    } else if (exchange.request().path == "/log-read") {
        co_await read(exchange, where);
    } else {
        co_await exchange.respond_json(404, "{}");
    }
}

asio::awaitable<void> standin_store::reject(http_exchange& exchange, store_manner manner) {
    if (manner == store_manner::is_silent) {
        co_await pause_for(silent_duration);
    }
    co_await exchange.respond_json(503, "{}");
}

asio::awaitable<void> standin_store::newest(http_exchange& exchange) {
    const topic_state& t = topics_[exchange.request().parameter("topic").value_or("")];
    json::array items;
    for (const auto& [key, value] : t.newest) {
        json::object item;
        item["key"] = key;
        item["value"] = base64(value);
        items.push_back(std::move(item));
    }
    json::object answer;
    answer["items"] = std::move(items);
    answer["more_pages"] = false;
    answer["end"] = t.end();
    co_await exchange.respond_json(200, json::serialize(answer));
}

asio::awaitable<void> standin_store::append(http_exchange& exchange) {
    const auto topic = exchange.request().parameter("topic");
    const std::string& body = exchange.request().body;
    constexpr std::size_t head = 4;
    // Clients append only one record per call.
    const std::size_t size = body.size() <= head ? 0 : from_big_endian(body.substr(0, head));
    if (!topic || topic == "keyed.op" || topic == "keyed.servers" || size == 0 ||
        body.size() != head + size) {
        co_await exchange.respond_json(topic ? 403 : 400, "{}");
        co_return;
    }
    const auto key_size = static_cast<std::size_t>(static_cast<unsigned char>(body[head]));
    write(*topic, body.substr(head + 1, key_size), body.substr(head + 1 + key_size));
    json::object answer;
    answer["end"] = topics_[*topic].end();
    co_await exchange.respond_json(200, json::serialize(answer));
}

asio::awaitable<void> standin_store::read(http_exchange& exchange, const place& where) {
    const http_request& request = exchange.request();
    const topic_state& t = topics_[request.parameter("topic").value_or("")];
    const std::int64_t from = request.number_parameter("from", 0);
    const time_point until = monotonic_now() + milliseconds(request.number_parameter("wait_ms", 0));
    ++waiting_[where];
    while (from >= t.end() && monotonic_now() < until &&
           manner_at(where) == store_manner::answers) {
        co_await pause_for(poll_step);
    }
    --waiting_[where];
    if (const store_manner manner = manner_at(where); manner != store_manner::answers) {
        co_await reject(exchange, manner);
        co_return;
    }
    if (from < t.first) {
        co_await exchange.respond_json(410, "{}");
        co_return;
    }
    std::string body = big_endian(static_cast<std::uint64_t>(t.end()), 8) +
                       big_endian(static_cast<std::uint64_t>(t.first), 8);
    for (std::int64_t i = from; i < t.end(); ++i) {
        const record& r = t.records[static_cast<std::size_t>(i - t.first)];
        body += big_endian(1 + r.key.size() + r.value.size(), 4) + big_endian(r.key.size(), 1) +
                r.key + r.value;
    }
    co_await exchange.respond(200, "application/octet-stream", body, {});
}

} // namespace bamboostream::test
