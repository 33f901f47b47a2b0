// A stand-in for a model engine, based on `engine_model`. It streams generations as server-sent
// events that can be resumed and cancelled, reports its load with a lag, publishes cache events
// with a delay and with gaps, accepts placement orders and keeps a journal of its generations.
// `POST /control` injects faults.

#include "bamboostream/Contracts"
#include "standins/engine_model.h"
#include "standins/standin_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace bamboostream;
using namespace bamboostream::standins;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr milliseconds keep_alive_period{500};
constexpr milliseconds finished_retention{30'000};

/// How this engine carries out placement orders.
struct order_options {
    /// Rejects orders with a lower fencing number than an earlier order.
    bool fencing = true;
    milliseconds load_time{300};
    /// Address from which weights are loaded; empty to load without a store.
    std::string weight_store;
};

/// A generation and the number of its tokens so far. Token texts are a function of the digest and
/// the token's index, so a stream can be resumed from any index.
struct generation {
    std::string id;
    std::string request_key;
    std::string digest;
    std::uint64_t number = 0;
    std::uint32_t tokens = 0;
    bool finished = false;
    bool cancelled = false;
    bool length_limited = false;
    wall_time started = 0;
    time_point ended{};
    std::uint32_t prompt_tokens = 0;
    std::uint32_t preemptions = 0;
    std::vector<asio::steady_timer*> watchers;

    void notify() {
        for (asio::steady_timer* watcher : watchers) {
            watcher->cancel();
        }
    }
};

/// A log-normal distribution of output lengths, in tokens.
struct length_distribution {
    double median = 0.0;
    double sigma = 0.0;
};

/// Draws an output length from the heavy-tailed distribution of `kind`. The random generator is
/// seeded from `seed` and the request's key, so that a request has the same length on every engine
/// and attempt.
std::uint32_t draw_length(const std::string& kind, std::uint64_t seed, const std::string& key) {
    static const std::map<std::string, length_distribution> kinds = {
        {"label", {12.0, 0.5}}, {"summary", {220.0, 0.8}}, {"draft", {160.0, 0.9}},
        {"short", {20.0, 0.6}}, {"long", {500.0, 0.8}},    {"constant", {64.0, 0.0}},
    };
    const auto found = kinds.find(kind);
    const length_distribution distribution =
        found == kinds.end() ? length_distribution{120.0, 0.9} : found->second;
    std::mt19937_64 random(stable_hash(key, seed));
    const double normal = std::normal_distribution<double>(0.0, 1.0)(random);
    return static_cast<std::uint32_t>(
        std::clamp(distribution.median * std::exp(distribution.sigma * normal), 1.0, 20'000.0));
}

class engine_server {
public:
    engine_server(asio::io_context& context, engine_parameters parameters, std::string model,
                  std::string version, order_options rules, std::int64_t seed)
        : context_(context), model_(parameters), served_model_(std::move(model)),
          version_(std::move(version)), order_options_(std::move(rules)),
          seed_(static_cast<std::uint64_t>(seed)), step_timer_(context) {}

    asio::awaitable<void> handle(http_exchange& exchange) {
        const http_request& request = exchange.request();
        const std::vector<std::string> path = split_path(request.path);
        const bool v1 = path.size() >= 2 && path[0] == "v1";
        if (path.size() == 1 && path[0] == "control") {
            co_await control(exchange);
        } else if (v1 && path[1] == "status") {
            co_await respond(exchange, 200, status());
        } else if (v1 && path[1] == "journal") {
            co_await respond(exchange, 200, journal());
        } else if (v1 && path[1] == "cache-events") {
            co_await cache_events(exchange);
        } else if (v1 && path[1] == "orders" && request.method == "POST") {
            co_await order(exchange);
        } else if (v1 && path[1] == "completions" && request.method == "POST") {
            co_await complete(exchange);
        } else if (v1 && path.size() == 3 && path[1] == "generations") {
            co_await generation_request(exchange, path[2]);
        } else {
            co_await respond(exchange, 404, R"({"error":{"code":"not_found"}})");
        }
    }

private:
    std::vector<http_field> state_fields() const {
        return {{std::string(backend_state_field), leaving_ ? "leaving" : "live"},
                {std::string(backend_start_field), std::to_string(start_stamp_)}};
    }

    asio::awaitable<bool> respond(http_exchange& exchange, int status, std::string body,
                                  bool not_run = false) {
        std::vector<http_field> fields = state_fields();
        if (not_run) {
            fields.push_back({std::string(not_run_field), "true"});
        }
        co_return co_await exchange.respond_json(status, std::move(body), fields);
    }

    std::string status() {
        run_model();
        const engine_report r = model_.report(monotonic_now());
        return json::serialize(json::object{
            {"state", leaving_   ? "leaving"
                      : loading_ ? "loading"
                                 : "live"},
            {"start_stamp", start_stamp_},
            {"model", served_model_},
            {"version", version_},
            {"role", role_},
            {"adapters", json::array(adapters_.begin(), adapters_.end())},
            {"fencing", last_fencing_},
            {"load", json::object{{"capacity_tokens", r.capacity_tokens},
                                  {"used_tokens", r.used_tokens},
                                  {"running", r.running},
                                  {"waiting", r.waiting},
                                  {"max_running", r.max_running},
                                  {"preemptions", r.preemptions},
                                  {"step_ms", r.step_ms},
                                  {"age_ms", r.age.count()}}},
        });
    }

    std::string journal() const {
        json::array out;
        for (const auto& [id, g] : generations_) {
            out.push_back(json::object{{"generation", id},
                                       {"request_key", g->request_key},
                                       {"tokens", g->tokens},
                                       {"finished", g->finished},
                                       {"cancelled", g->cancelled},
                                       {"preemptions", g->preemptions},
                                       {"started_ms", g->started}});
        }
        return json::serialize(
            json::object{{"generations", std::move(out)},
                         {"preemptions", model_.preemptions()},
                         {"tokens", model_.tokens_served()},
                         {"refused_while_leaving", refused_while_leaving_},
                         {"orders", json::array(orders_.begin(), orders_.end())}});
    }

    asio::awaitable<void> cache_events(http_exchange& exchange) {
        // Withholds the newest 4 events as a delay, and drops every seventh as a gap.
        const auto after =
            static_cast<std::uint64_t>(exchange.request().number_parameter("after", 0));
        json::array out;
        const std::size_t held_back = 4;
        const auto& events = model_.cache_events();
        for (std::size_t i = 0; i + held_back < events.size(); ++i) {
            if (events[i].number >= after && events[i].number % 7 != 6) {
                out.push_back(json::object{{"number", events[i].number},
                                           {"prefix", events[i].prefix},
                                           {"stored", events[i].stored}});
            }
        }
        std::string body = json::serialize(json::object{{"events", std::move(out)}});
        co_await respond(exchange, 200, std::move(body));
    }

    void run_model() {
        model_.advance(monotonic_now(), [this](const model_event& e) { on_event(e); });
        schedule_step();
    }

    void schedule_step() {
        const auto next = model_.next_step_end();
        if (!next || step_scheduled_) {
            return;
        }
        step_scheduled_ = true;
        step_timer_.expires_at(*next);
        step_timer_.async_wait([this](boost::system::error_code) {
            step_scheduled_ = false;
            run_model();
        });
    }

    void on_event(const model_event& e) {
        const auto found = generations_by_number_.find(e.id);
        if (found == generations_by_number_.end()) {
            return;
        }
        generation& g = *found->second;
        switch (e.what) {
        case model_event::kind::token:
            g.tokens = e.sequence + 1;
            break;
        case model_event::kind::finished:
            g.finished = true;
            g.ended = monotonic_now();
            generations_by_number_.erase(found);
            break;
        case model_event::kind::preempted:
            ++g.preemptions;
            break;
        }
        g.notify();
    }

    asio::awaitable<void> complete(http_exchange& exchange) {
        std::string why;
        const auto value = parse_json(exchange.request().body, why);
        if (!value || !value->is_object()) {
            co_await respond(exchange, 400, R"({"error":{"code":"bad_request"}})", true);
            co_return;
        }
        if (leaving_ || loading_ || text_at(*value, "model") != served_model_) {
            refused_while_leaving_ += leaving_ ? 1 : 0;
            co_await respond(exchange, leaving_ || loading_ ? 503 : 404,
                             R"({"error":{"code":"not_served"}})", true);
            co_return;
        }
        const std::string id = text_at(*value, "generation_id");
        auto g = find(id);
        if (!g) {
            g = start(id, *value);
        }
        co_await stream(exchange, g, 0);
    }

    std::shared_ptr<generation> find(const std::string& id) const {
        const auto found = generations_.find(id);
        return found == generations_.end() ? nullptr : found->second;
    }

    std::shared_ptr<generation> start(const std::string& id, const json::value& value) {
        auto g = std::make_shared<generation>();
        g->id = id;
        g->request_key = text_at(value, "request_key");
        g->digest = sha256_hex(text_at(value, "prompt")).substr(0, 8);
        g->number = next_number_++;
        g->started = wall_now();
        g->prompt_tokens = static_cast<std::uint32_t>(number_at(value, "prompt_tokens", 32));
        const std::string key = g->request_key.empty() ? id : g->request_key;
        std::uint32_t length = draw_length(text_at(value, "kind"), seed_, key);
        const auto max_tokens = static_cast<std::uint32_t>(number_at(value, "max_tokens", 0));
        g->length_limited = max_tokens > 0 && length >= max_tokens;
        length = max_tokens > 0 ? std::min(length, max_tokens) : length;
        model_job job;
        job.id = g->number;
        job.prompt_tokens = g->prompt_tokens;
        job.output_tokens = length;
        job.priority = static_cast<priority_level>(
            std::clamp<std::int64_t>(number_at(value, "priority", 1), 0, 2));
        generations_[id] = g;
        generations_by_number_[g->number] = g;
        model_.submit(job, monotonic_now());
        schedule_step();
        remove_expired();
        return g;
    }

    void remove_expired() {
        const time_point now = monotonic_now();
        if (!keep_journal_) {
            std::erase_if(generations_, [now](const auto& item) {
                return item.second->finished && now - item.second->ended > finished_retention;
            });
        }
    }

    /// Streams the tokens of a generation from index `from` until it ends. Every event carries the
    /// generation's id and the token's index. The `misbehave` fault adds foreign, repeated and
    /// out-of-order events.
    asio::awaitable<void> stream(http_exchange& exchange, std::shared_ptr<generation> g,
                                 std::uint64_t from) {
        std::vector<http_field> fields = state_fields();
        if (!co_await exchange.begin_stream(200, "text/event-stream", fields)) {
            co_return;
        }
        std::uint64_t next = from;
        std::string out;
        while (true) {
            if (stalled_) {
                co_await pause(milliseconds(50));
                continue;
            }
            out.clear();
            while (next < g->tokens) {
                append_token(out, *g, next++);
            }
            const bool end = g->finished || g->cancelled;
            if (end && next >= g->tokens) {
                const std::string_view reason = g->cancelled        ? "cancelled"
                                                : g->length_limited ? "length"
                                                                    : "stop";
                fmt::format_to(std::back_inserter(out),
                               "data: {{\"id\":\"{}\",\"seq\":{},\"finish_reason\":\"{}\"}}\n\n",
                               g->id, g->tokens, reason);
                co_await exchange.write(out);
                co_await exchange.end_stream();
                co_return;
            }
            if (!out.empty()) {
                co_await exchange.write(out);
            }
            if (next >= g->tokens && !g->finished) {
                const bool more = co_await wait_for_more(*g);
                if (!more) {
                    co_await exchange.write(": keep-alive\n\n");
                }
            }
            if (exchange.caller_gone()) {
                co_return;
            }
        }
    }

    void append_token(std::string& out, const generation& g, std::uint64_t number) {
        const auto event = [&](std::string_view id, std::uint64_t n) {
            fmt::format_to(std::back_inserter(out),
                           "data: {{\"id\":\"{}\",\"seq\":{},\"text\":\"{}.{} \"}}\n\n", id, n,
                           g.digest, n);
        };
        if (misbehave_ > 0 && number % 5 == 3) {
            --misbehave_;
            event("ffffffffffffffffffffffffffffffff", number); // another generation
            event(g.id, number > 0 ? number - 1 : 0);          // duplicate
            event(g.id, number + 2);                           // out of order
        }
        event(g.id, number);
    }

    asio::awaitable<void> pause(milliseconds time) {
        asio::steady_timer timer(context_, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    /// False if the generation did not change for a keep-alive period.
    asio::awaitable<bool> wait_for_more(generation& g) {
        asio::steady_timer timer(context_, keep_alive_period);
        g.watchers.push_back(&timer);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        std::erase(g.watchers, &timer);
        co_return ec.failed();
    }

    asio::awaitable<void> generation_request(http_exchange& exchange, std::string id) {
        const auto g = find(id);
        if (!g) {
            co_await respond(exchange, 404, R"({"error":{"code":"unknown_generation"}})");
        } else if (exchange.request().method == "DELETE") {
            if (!g->finished && model_.cancel(g->number)) {
                g->cancelled = true;
                g->ended = monotonic_now();
                generations_by_number_.erase(g->number);
                g->notify();
            }
            co_await respond(exchange, 200, "{}");
        } else {
            const auto from =
                static_cast<std::uint64_t>(exchange.request().number_parameter("from", 0));
            co_await stream(exchange, g, from);
        }
    }

    asio::awaitable<void> order(http_exchange& exchange) {
        std::string why;
        const auto value = parse_json(exchange.request().body, why);
        if (!value) {
            co_await respond(exchange, 400, R"({"error":{"code":"bad_request"}})");
            co_return;
        }
        const std::int64_t fencing = number_at(*value, "fencing");
        if (order_options_.fencing && fencing < last_fencing_) {
            co_await respond(exchange, 409, R"({"error":{"code":"old_fencing_number"}})");
            co_return;
        }
        last_fencing_ = std::max(last_fencing_, fencing);
        orders_.push_back(json::serialize(*value));
        const std::string kind = text_at(*value, "kind");
        if (kind == "load_model") {
            asio::co_spawn(context_, load(text_at(*value, "model"), text_at(*value, "version")),
                           asio::detached);
        } else if (kind == "load_adapter") {
            adapters_.insert(text_at(*value, "adapter"));
        } else if (kind == "set_role") {
            role_ = text_at(*value, "role");
        }
        co_await respond(exchange, 200, "{}");
    }

    asio::awaitable<void> load(std::string model, std::string version) {
        loading_ = true;
        while (!order_options_.weight_store.empty()) {
            http_failure why;
            http_request request =
                make_request("GET", fmt::format("/v1/weights/{}/{}", model, version));
            const auto response =
                co_await fetch(context_.get_executor(), order_options_.weight_store,
                               std::move(request), milliseconds(1000), why);
            if (response && response->status == 200) {
                break;
            }
            co_await pause(milliseconds(200));
        }
        co_await pause(order_options_.load_time);
        served_model_ = model;
        version_ = version;
        loading_ = false;
    }

    asio::awaitable<void> control(http_exchange& exchange) {
        std::string why;
        const auto value = parse_json(exchange.request().body, why);
        if (value) {
            leaving_ = number_at(*value, "leaving", leaving_ ? 1 : 0) != 0;
            stalled_ = number_at(*value, "stalled", stalled_ ? 1 : 0) != 0;
            misbehave_ = number_at(*value, "misbehave", misbehave_);
            const double slowness = real_at(*value, "slowness");
            if (slowness > 0) {
                model_.set_slowness(slowness);
            }
            log_event(events::fault_set, "{}", exchange.request().body);
        }
        co_await respond(exchange, 200, "{}");
    }

    asio::io_context& context_;
    engine_model model_;
    std::string served_model_;
    std::string version_;
    order_options order_options_;
    std::uint64_t seed_;
    asio::steady_timer step_timer_;
    bool step_scheduled_ = false;
    std::map<std::string, std::shared_ptr<generation>> generations_;
    std::map<std::uint64_t, std::shared_ptr<generation>> generations_by_number_;
    std::uint64_t next_number_ = 1;
    wall_time start_stamp_ = wall_now();
    bool leaving_ = false;
    bool loading_ = false;
    bool stalled_ = false;
    bool keep_journal_ = true;
    std::int64_t misbehave_ = 0;
    std::int64_t refused_while_leaving_ = 0;
    std::int64_t last_fencing_ = 0;
    std::string role_ = "both";
    std::set<std::string> adapters_;
    std::vector<std::string> orders_;
};

} // namespace

int main(int argc, char** argv) {
    standin_options options;
    engine_parameters parameters;
    order_options rules;
    std::string model = "standard";
    std::string version = "1";
    std::string preemption = "recompute";
    std::int64_t blocks = parameters.blocks;
    std::int64_t max_running = parameters.max_running;
    std::int64_t seed = 1;
    bool ignore_fencing = false;
    settings s("standin-engine", "Stand-in for a model engine");
    add_standin_settings(s, options);
    s.text("model", &model, "Model served at the start");
    s.text("model-version", &version, "Version of the model");
    s.number("blocks", &blocks, "Cache memory in blocks of 16 tokens", 4, 10'000'000);
    s.number("max-running", &max_running, "Largest batch", 1, 100'000);
    s.real("step-base-ms", &parameters.step_base_ms, "Time of an empty step", 0.01, 10'000);
    s.real("step-per-sequence-ms", &parameters.step_per_sequence_ms, "Step time a sequence adds", 0,
           10'000);
    s.real("prefill-ms-per-token", &parameters.prefill_ms_per_token,
           "Step time a prompt token adds", 0, 1000);
    s.duration_ms("report-lag-ms", &parameters.report_lag, "Lag of the load reports", 0, 60'000);
    s.choice("preemption", &preemption, "What happens to a generation pushed out",
             {"recompute", "wait"});
    s.flag("ignore-fencing", &ignore_fencing, "Carry out orders with an old fencing number");
    s.duration_ms("load-ms", &rules.load_time, "Time to load a model", 0, 600'000);
    s.address("weight-store", &rules.weight_store, "Address of the weight store");
    s.number("seed", &seed, "Seed of the output lengths", 0, INT32_MAX);
    if (s.parse(argc, argv) != settings_outcome::run) {
        return s.exit_code();
    }
    parameters.blocks = static_cast<std::uint32_t>(blocks);
    parameters.max_running = static_cast<std::uint32_t>(max_running);
    parameters.mode = preemption == "wait" ? preemption_mode::wait : preemption_mode::recompute;
    rules.fencing = !ignore_fencing;
    asio::io_context context;
    engine_server server(context, parameters, model, version, rules, seed);
    return run_standin(context, options,
                       [&](http_exchange& exchange) { return server.handle(exchange); });
}
