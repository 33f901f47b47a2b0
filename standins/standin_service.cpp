// A stand-in for a service without generations: accepts any operation and keeps a journal of the
// executed operations with their idempotency keys. `POST /control` injects faults.

#include "bamboostream/Contracts"
#include "standins/standin_server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <random>

using namespace bamboostream;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

struct journal_entry {
    std::string key;
    std::string operation;
    std::string workspace;
    wall_time at = 0;
};

class service_server {
public:
    service_server(asio::io_context& context, milliseconds work) : context_(context), work_(work) {}

    asio::awaitable<void> handle(http_exchange& exchange) {
        const http_request& request = exchange.request();
        const std::vector<std::string> path = split_path(request.path);
        if (path.size() == 1 && path[0] == "control") {
            co_await control(exchange);
        } else if (path.size() == 2 && path[1] == "journal") {
            co_await serve_journal(exchange);
        } else if (path.size() == 2 && path[1] == "status") {
            co_await respond(exchange, 200, status());
        } else if (path.size() == 4 && path[1] == "services" && request.method == "POST") {
            co_await run(exchange, path[3]);
        } else {
            co_await respond(exchange, 404, R"({"error":{"code":"not_found"}})");
        }
    }

private:
    asio::awaitable<bool> respond(http_exchange& exchange, int status, std::string body,
                                  bool not_run = false) const {
        std::vector<http_field> fields{
            {std::string(backend_state_field), leaving_ ? "leaving" : "live"},
            {std::string(backend_start_field), std::to_string(start_stamp_)}};
        if (not_run) {
            fields.push_back({std::string(not_run_field), "true"});
        }
        co_return co_await exchange.respond_json(status, std::move(body), fields);
    }

    std::string status() const {
        return json::serialize(json::object{
            {"state", leaving_ ? "leaving" : "live"},
            {"start_stamp", start_stamp_},
            {"load", json::object{{"running", running_}}},
        });
    }

    asio::awaitable<void> sleep(milliseconds time) {
        asio::steady_timer timer(context_, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::awaitable<void> run(http_exchange& exchange, std::string operation) {
        if (leaving_) {
            ++refused_while_leaving_;
            co_await respond(exchange, 503, R"({"error":{"code":"leaving"}})", true);
            co_return;
        }
        const http_request& request = exchange.request();
        const std::string key(request.field("Idempotency-Key"));
        journal_.push_back({key, operation, std::string(request.field("Workspace")), wall_now()});
        const std::size_t number = journal_.size();
        ++running_;
        co_await sleep(work_);
        --running_;
        if (lose_next_ > 0) {
            --lose_next_;
            co_await sleep(milliseconds(30'000));
            co_return;
        }
        const json::object answer{{"key", key},
                                  {"operation", operation},
                                  {"number", number},
                                  {"body_digest", sha256_hex(request.body).substr(0, 16)}};
        co_await respond(exchange, 200, json::serialize(answer));
    }

    asio::awaitable<void> serve_journal(http_exchange& exchange) {
        json::array out;
        for (const journal_entry& entry : journal_) {
            out.push_back(json::object{{"key", entry.key},
                                       {"operation", entry.operation},
                                       {"workspace", entry.workspace},
                                       {"at_ms", entry.at}});
        }
        std::string body = json::serialize(json::object{
            {"ran", std::move(out)}, {"refused_while_leaving", refused_while_leaving_}});
        co_await respond(exchange, 200, std::move(body));
    }

    asio::awaitable<void> control(http_exchange& exchange) {
        std::string why;
        const auto value = parse_json(exchange.request().body, why);
        if (value) {
            leaving_ = number_at(*value, "leaving", leaving_ ? 1 : 0) != 0;
            lose_next_ = number_at(*value, "lose_answers", lose_next_);
            work_ = milliseconds(number_at(*value, "work_ms", work_.count()));
            log_event(events::fault_set, "{}", exchange.request().body);
        }
        co_await respond(exchange, 200, "{}");
    }

    asio::io_context& context_;
    milliseconds work_;
    std::vector<journal_entry> journal_;
    wall_time start_stamp_ = wall_now();
    bool leaving_ = false;
    std::int64_t lose_next_ = 0;
    std::int64_t running_ = 0;
    std::int64_t refused_while_leaving_ = 0;
};

} // namespace

int main(int argc, char** argv) {
    standins::standin_options options;
    milliseconds work{5};
    settings s("standin-service", "Stand-in for a plain service with a journal");
    standins::add_standin_settings(s, options);
    s.duration_ms("work-ms", &work, "Time an operation takes", 0, 60'000);
    if (s.parse(argc, argv) != settings_outcome::run) {
        return s.exit_code();
    }
    asio::io_context context;
    service_server server(context, work);
    return standins::run_standin(context, options,
                                 [&](http_exchange& exchange) { return server.handle(exchange); });
}
