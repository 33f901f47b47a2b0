// A stand-in for the platform's append-only log: in-memory streams of records with a limited append
// rate and a retention time. `POST /control` injects faults. docs/CONTRACTS.md describes the
// interface.

#include "bamboostream/Contracts"
#include "standins/standin_server.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <map>
#include <random>

using namespace bamboostream;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// The retained records of a stream; `first` is the offset of the oldest.
struct stream_data {
    std::int64_t first = 0;
    std::deque<log_record> records;
};

/// Faults that are set with `POST /control`.
struct log_faults {
    bool down = false;
    milliseconds delay{0};
    /// Fraction of appends that take effect but whose response is lost.
    double lose_answers = 0.0;
};

class log_server {
public:
    log_server(asio::io_context& context, std::int64_t rate, milliseconds retention,
               std::int64_t seed)
        : context_(context), rate_(static_cast<double>(rate)), retention_(retention),
          random_(static_cast<std::uint64_t>(seed)), append_tokens_(static_cast<double>(rate) / 4) {
    }

    asio::awaitable<void> handle(http_exchange& exchange) {
        const http_request& request = exchange.request();
        const std::vector<std::string> path = split_path(request.path);
        if (path.size() == 1 && path[0] == "control") {
            co_await control(exchange);
        } else if (faults_.down) {
            co_await exchange.respond_json(503, R"({"error":{"code":"unavailable"}})");
        } else if (path.size() == 4 && path[1] == "streams" && request.method == "POST") {
            co_await append(exchange, path[2]);
        } else if (path.size() == 4 && path[1] == "streams" && request.method == "GET") {
            co_await read(exchange, path[2]);
        } else {
            co_await exchange.respond_json(404, R"({"error":{"code":"not_found"}})");
        }
    }

private:
    asio::awaitable<void> sleep(milliseconds time) {
        asio::steady_timer timer(context_, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    /// Token bucket that holds a quarter of a second's appends; false if it is empty.
    bool consume_append_token() {
        const time_point now = monotonic_now();
        const double elapsed = std::chrono::duration<double>(now - refilled_).count();
        append_tokens_ = std::min(rate_ / 4, append_tokens_ + elapsed * rate_);
        refilled_ = now;
        if (append_tokens_ < 1.0) {
            return false;
        }
        append_tokens_ -= 1.0;
        return true;
    }

    asio::awaitable<void> append(http_exchange& exchange, std::string name) {
        if (!consume_append_token()) {
            ++refused_;
            co_await exchange.respond_json(429, R"({"error":{"code":"too_many_appends"}})");
            co_return;
        }
        if (faults_.delay.count() > 0) {
            co_await sleep(faults_.delay);
        }
        ++appends_;
        stream_data& stream = streams_[name];
        const std::int64_t offset = stream.first + static_cast<std::int64_t>(stream.records.size());
        stream.records.push_back({offset, wall_now(), exchange.request().body});
        for (asio::steady_timer* waiter : waiters_) {
            waiter->cancel();
        }
        if (std::uniform_real_distribution<>(0, 1)(random_) < faults_.lose_answers) {
            // The record is stored, but the response is withheld beyond the client's timeout.
            co_await sleep(milliseconds(30'000));
            co_return;
        }
        std::string body = json::serialize(json::object{{"offset", offset}});
        co_await exchange.respond_json(200, std::move(body));
    }

    void expire(stream_data& stream) const {
        const wall_time oldest = wall_now() - retention_.count();
        while (!stream.records.empty() && stream.records.front().time < oldest) {
            stream.records.pop_front();
            ++stream.first;
        }
    }

    asio::awaitable<void> read(http_exchange& exchange, std::string name) {
        const std::int64_t from = exchange.request().number_parameter("from", 0);
        const std::int64_t limit = exchange.request().number_parameter("limit", 1000);
        const milliseconds wait(exchange.request().number_parameter("wait_ms", 0));
        if (faults_.delay.count() > 0) {
            co_await sleep(faults_.delay);
        }
        const time_point until = monotonic_now() + wait;
        while (next_offset(streams_[name]) <= from && monotonic_now() < until && !faults_.down) {
            asio::steady_timer timer(context_);
            timer.expires_at(until);
            waiters_.push_back(&timer);
            boost::system::error_code ec;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            std::erase(waiters_, &timer);
        }
        stream_data& stream = streams_[name];
        expire(stream);
        json::array records;
        for (std::int64_t at = std::max(from, stream.first);
             at < next_offset(stream) && at < from + limit; ++at) {
            const log_record& r = stream.records[static_cast<std::size_t>(at - stream.first)];
            records.push_back(
                json::object{{"offset", r.offset}, {"time_ms", r.time}, {"data", r.data}});
        }
        std::string body = json::serialize(json::object{{"first_offset", stream.first},
                                                        {"next_offset", next_offset(stream)},
                                                        {"records", std::move(records)}});
        co_await exchange.respond_json(200, std::move(body));
    }

    static std::int64_t next_offset(const stream_data& stream) {
        return stream.first + static_cast<std::int64_t>(stream.records.size());
    }

    asio::awaitable<void> control(http_exchange& exchange) {
        std::string why;
        const auto value = parse_json(exchange.request().body, why);
        if (value && value->is_object()) {
            const json::object& set = value->get_object();
            faults_.down = number_at(*value, "down", faults_.down ? 1 : 0) != 0;
            faults_.delay = milliseconds(number_at(*value, "delay_ms", faults_.delay.count()));
            faults_.lose_answers = real_at(*value, "lose_answers", faults_.lose_answers);
            if (set.contains("expire_all")) {
                expire_all();
            }
            log_event(events::fault_set, "{}", exchange.request().body);
        }
        std::string body =
            json::serialize(json::object{{"appends", appends_}, {"refused", refused_}});
        co_await exchange.respond_json(200, std::move(body));
    }

    void expire_all() {
        for (auto& [name, stream] : streams_) {
            stream.first = next_offset(stream);
            stream.records.clear();
        }
    }

    asio::io_context& context_;
    double rate_;
    milliseconds retention_;
    std::mt19937_64 random_;
    double append_tokens_;
    time_point refilled_ = monotonic_now();
    std::map<std::string, stream_data> streams_;
    std::vector<asio::steady_timer*> waiters_;
    log_faults faults_;
    std::int64_t appends_ = 0;
    std::int64_t refused_ = 0;
};

} // namespace

int main(int argc, char** argv) {
    standins::standin_options options;
    std::int64_t rate = 400;
    std::int64_t seed = 1;
    milliseconds retention{3'600'000};
    settings s("standin-log", "Stand-in for the platform's append-only log");
    standins::add_standin_settings(s, options);
    s.number("appends-per-second", &rate, "Appends accepted a second", 1, 1'000'000);
    s.duration_ms("retention-ms", &retention, "How long records are kept", 100, 864'000'000);
    s.number("seed", &seed, "Seed of the faults", 0, INT32_MAX);
    if (s.parse(argc, argv) != settings_outcome::run) {
        return s.exit_code();
    }
    asio::io_context context;
    log_server server(context, rate, retention, seed);
    return standins::run_standin(context, options,
                                 [&](http_exchange& exchange) { return server.handle(exchange); });
}
