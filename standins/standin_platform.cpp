// A stand-in for the platform: a list of machines whose changes become visible with a lag, and a
// weight store with a limited rate of loads. `POST /control` injects faults.

#include "bamboostream/Contracts"
#include "standins/standin_server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <map>

using namespace bamboostream;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

class platform_server {
public:
    platform_server(milliseconds lag, std::int64_t weight_rate)
        : lag_(lag), weight_rate_(weight_rate) {}

    asio::awaitable<void> handle(http_exchange& exchange) {
        const http_request& request = exchange.request();
        const std::vector<std::string> path = split_path(request.path);
        if (path.size() == 1 && path[0] == "control") {
            co_await control(exchange);
        } else if (path.size() == 2 && path[0] == "control" && path[1] == "instances") {
            co_await change(exchange);
        } else if (down_) {
            co_await exchange.respond_json(503, R"({"error":{"code":"unavailable"}})");
        } else if (path.size() == 2 && path[1] == "instances") {
            co_await list(exchange);
        } else if (path.size() == 4 && path[1] == "weights") {
            co_await weights(exchange);
        } else {
            co_await exchange.respond_json(404, R"({"error":{"code":"not_found"}})");
        }
    }

private:
    /// A change of the list that becomes visible at `visible_at`.
    struct pending_change {
        time_point visible_at{};
        std::string address;
        json::value machine;
    };

    /// Adds or changes the machine in the request's body, or removes it if the body contains a
    /// nonzero "remove". The change is visible after the lag, or immediately with a nonzero "now".
    asio::awaitable<void> change(http_exchange& exchange) {
        std::string why;
        const auto value = parse_json(exchange.request().body, why);
        if (!value || text_at(*value, "address").empty()) {
            co_await exchange.respond_json(400, R"({"error":{"code":"bad_machine"}})");
            co_return;
        }
        const bool now = number_at(*value, "now") != 0;
        pending_.push_back(
            {monotonic_now() + (now ? milliseconds(0) : lag_), text_at(*value, "address"), *value});
        co_await exchange.respond_json(200, "{}");
    }

    void apply_due() {
        const time_point now = monotonic_now();
        std::deque<pending_change> later;
        for (pending_change& p : pending_) {
            if (p.visible_at > now) {
                later.push_back(std::move(p));
            } else if (number_at(p.machine, "remove") != 0) {
                machines_.erase(p.address);
            } else {
                machines_[p.address] = std::move(p.machine);
            }
        }
        pending_ = std::move(later);
    }

    asio::awaitable<void> list(http_exchange& exchange) {
        apply_due();
        json::array out;
        for (const auto& [address, machine] : machines_) {
            out.push_back(machine);
        }
        std::string body = json::serialize(json::object{{"instances", std::move(out)}});
        co_await exchange.respond_json(200, std::move(body));
    }

    asio::awaitable<void> weights(http_exchange& exchange) {
        const time_point now = monotonic_now();
        while (!loads_.empty() && now - loads_.front() > seconds(1)) {
            loads_.pop_front();
        }
        if (static_cast<std::int64_t>(loads_.size()) >= weight_rate_) {
            ++weights_refused_;
            co_await exchange.respond_json(429, R"({"error":{"code":"too_many_loads"}})");
            co_return;
        }
        loads_.push_back(now);
        co_await exchange.respond_json(200, "{}");
    }

    asio::awaitable<void> control(http_exchange& exchange) {
        std::string why;
        const auto value = parse_json(exchange.request().body, why);
        if (value) {
            down_ = number_at(*value, "down", down_ ? 1 : 0) != 0;
            lag_ = milliseconds(number_at(*value, "lag_ms", lag_.count()));
            log_event(events::fault_set, "{}", exchange.request().body);
        }
        std::string body = json::serialize(json::object{{"weights_refused", weights_refused_}});
        co_await exchange.respond_json(200, std::move(body));
    }

    milliseconds lag_;
    std::int64_t weight_rate_;
    std::map<std::string, json::value> machines_;
    std::deque<pending_change> pending_;
    std::deque<time_point> loads_;
    std::int64_t weights_refused_ = 0;
    bool down_ = false;
};

} // namespace

int main(int argc, char** argv) {
    standins::standin_options options;
    milliseconds lag{0};
    std::int64_t weight_rate = 2;
    settings s("standin-platform", "Stand-in for the platform's instance list and weight store");
    standins::add_standin_settings(s, options);
    s.duration_ms("list-lag-ms", &lag, "How late a change shows in the list", 0, 600'000);
    s.number("weight-loads-per-second", &weight_rate, "Loads the weight store bears", 1, 100'000);
    if (s.parse(argc, argv) != settings_outcome::run) {
        return s.exit_code();
    }
    asio::io_context context;
    platform_server server(lag, weight_rate);
    return standins::run_standin(context, options,
                                 [&](http_exchange& exchange) { return server.handle(exchange); });
}
