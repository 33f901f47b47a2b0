// Load generator: sends a reproducible load, verifies the guarantees of the system on its own
// results and on the journals of the servers, and prints the measured figures.

#include "bamboostream/Client"
#include "bamboostream/Contracts"
#include "bamboostream/Core"
#include "bamboostream/Http"
#include "programs/load/load_audit.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <fstream>
#include <memory>

namespace asio = boost::asio;
namespace json = boost::json;
using namespace bamboostream;
using namespace bamboostream::load;

namespace {

constexpr int exit_code_promise_broken = 1;
constexpr milliseconds progress_period{5'000};

struct tool_settings {
    load_options load;
    std::string entries;
    std::string workspaces;
    std::string kinds = "summary,label";
    std::string model = "standard";
    std::string service = "registry";
    std::string operation = "transfer";
    std::string engine_journals;
    std::string service_journals;
    std::string failure_domain;
    std::string json_file;
    milliseconds deadline{0};
    milliseconds patience{120'000};
    milliseconds service_timeout{15'000};
    std::int64_t returns = 5;
};

class load_run {
public:
    load_run(asio::io_context& context, tool_settings s) : context_(context), s_(std::move(s)) {
        tokens_by_second_.resize(s_.load.workspaces.size());
        for (std::size_t i = 0; i < s_.load.workspaces.size(); ++i) {
            caller_options options;
            options.seeds = split_list(s_.entries);
            options.bearer_key = s_.load.workspaces[i].key;
            options.failure_domain = s_.failure_domain;
            options.patience = s_.patience;
            options_.push_back(options);
        }
    }

    asio::awaitable<void> run() {
        started_ = monotonic_now();
        auto plan = make_plan(s_.load, wall_now());
        records_.resize(plan.size());
        open_ = plan.size();
        for (std::size_t i = 0; i < plan.size(); ++i) {
            records_[i].plan = std::move(plan[i]);
            asio::co_spawn(context_, run_one(i), asio::detached);
        }
        time_point next_progress = started_ + progress_period;
        while (open_ > 0) {
            co_await pause(milliseconds(20));
            if (monotonic_now() >= next_progress) {
                next_progress += progress_period;
                fmt::print(stderr, "{:.0f} s: {} of {} requests open\n",
                           to_milliseconds(monotonic_now() - started_) / 1000.0, open_,
                           records_.size());
            }
        }
        journals_ = co_await read_journals();
    }

    int report() {
        const audit_result result = audit(records_, journals_, s_.load, tokens_by_second_);
        for (const auto& item : result.figures) {
            if (item.key() == "workspaces") {
                for (const json::value& row : item.value().as_array()) {
                    fmt::print("  {}\n", json::serialize(row));
                }
                continue;
            }
            fmt::print("{:<22} {}\n", std::string_view(item.key()), json::serialize(item.value()));
        }
        if (!s_.json_file.empty()) {
            std::ofstream(s_.json_file) << json::serialize(result.figures) << '\n';
        }
        return result.promises_kept ? exit_code_ok : exit_code_promise_broken;
    }

private:
    asio::awaitable<void> pause(duration time) {
        asio::steady_timer timer(context_);
        timer.expires_after(time);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }

    asio::awaitable<void> run_one(std::size_t index) {
        request_record& record = records_[index];
        co_await pause(started_ + record.plan.at - monotonic_now());
        // Each request uses its own client with its own cached directory, as independent callers
        // do.
        caller client(context_.get_executor(), options_[record.plan.workspace],
                      static_cast<std::uint64_t>(s_.load.seed) * 1'000'003 + index);
        bool returning = false;
        while (true) {
            if (record.plan.is_service_call) {
                std::string body = json::serialize(json::object{{"request", record.plan.prompt}});
                record.service = co_await client.call_service(
                    s_.service, s_.operation, record.plan.key, std::move(body), s_.service_timeout);
                record.ended = record.service.ended;
                record.result = record.service.result;
            } else {
                co_await complete(client, record);
            }
            const bool refused = record.ended && record.result == outcome::not_run;
            record.admitted_returns += returning && !refused ? 1 : 0;
            record.refusals += refused ? 1 : 0;
            const milliseconds wait = record.plan.is_service_call ? record.service.retry_after
                                                                  : record.completion.retry_after;
            if (!refused || wait.count() == 0 || record.returns >= s_.returns) {
                break;
            }
            co_await pause(wait);
            returning = true;
            ++record.returns;
        }
        record.finished = monotonic_now();
        --open_;
    }

    asio::awaitable<void> complete(caller& client, request_record& record) {
        completion_call call;
        call.key = record.plan.key;
        call.model = s_.model;
        call.prompt = record.plan.prompt;
        call.kind = record.plan.kind;
        call.prompt_tokens = record.plan.prompt_tokens;
        call.deadline = s_.deadline;
        call.restart_on_loss = record.plan.restart_on_loss;
        auto& seconds_of = tokens_by_second_[record.plan.workspace];
        record.completion = co_await client.complete(call, [&](time_point now) {
            const auto second = static_cast<std::size_t>(
                std::chrono::duration_cast<seconds>(now - started_).count());
            if (seconds_of.size() <= second) {
                seconds_of.resize(second + 1);
            }
            ++seconds_of[second];
        });
        record.ended = record.completion.ended;
        record.result = record.completion.result;
    }

    asio::awaitable<std::optional<json::value>> fetch_journal(std::string address) {
        http_failure why;
        http_request request = make_request("GET", "/v1/journal");
        const auto response = co_await fetch(context_.get_executor(), address, std::move(request),
                                             milliseconds(5'000), why);
        std::string reason;
        co_return response ? parse_json(response->body, reason) : std::nullopt;
    }

    asio::awaitable<journal_counts> read_journals() {
        journal_counts out;
        for (const std::string& address : split_list(s_.engine_journals)) {
            const auto value = co_await fetch_journal(address);
            if (!value) {
                // The journal of an engine is lost when the engine is killed.
                out.complete = false;
                continue;
            }
            out.preemptions += number_at(*value, "preemptions");
            out.tokens += number_at(*value, "tokens");
            for (const json::value& g : value->at("generations").as_array()) {
                ++out.generations[text_at(g, "request_key")];
                out.tokens_of_generation[text_at(g, "generation")] = number_at(g, "tokens");
            }
        }
        for (const std::string& address : split_list(s_.service_journals)) {
            const auto value = co_await fetch_journal(address);
            if (!value) {
                out.complete = false;
                continue;
            }
            for (const json::value& entry : value->at("ran").as_array()) {
                ++out.service_runs[text_at(entry, "key")];
            }
        }
        co_return out;
    }

    asio::io_context& context_;
    tool_settings s_;
    std::vector<caller_options> options_;
    std::vector<request_record> records_;
    std::vector<std::vector<std::uint32_t>> tokens_by_second_;
    journal_counts journals_;
    time_point started_{};
    std::size_t open_ = 0;
};

} // namespace

int main(int argc, char** argv) {
    tool_settings values;
    settings s("bamboostream-load", "Sends a seeded load and checks every promise");
    s.text("entries", &values.entries, "Caller addresses to ask at first, separated by commas",
           true);
    s.text("workspaces", &values.workspaces, "name:key[:share[:weight]], separated by commas",
           true);
    s.choice("scenario", &values.load.scenario, "Shape of the load", {"steady", "rush", "mixed"});
    s.number("generations", &values.load.generations, "Generations to ask for", 0, 1'000'000);
    s.number("service-calls", &values.load.service_calls, "Non-idempotent calls to make", 0,
             1'000'000);
    s.duration_ms("window-ms", &values.load.window, "Time within which all are sent", 1, 3'600'000);
    s.number("seed", &values.load.seed, "Seed of the load", 0, INT32_MAX);
    s.text("kinds", &values.kinds, "Kinds of output, in turn", true);
    s.text("model", &values.model, "Model asked for", true);
    s.text("service", &values.service, "Service called");
    s.text("operation", &values.operation, "Operation called");
    s.text("engine-journals", &values.engine_journals, "Addresses of engines to audit against");
    s.text("service-journals", &values.service_journals, "Addresses of services to audit against");
    s.text("near", &values.failure_domain, "Failure domain of the callers");
    s.text("json", &values.json_file, "File to write the figures to");
    s.duration_ms("deadline-ms", &values.deadline, "Time to wait for a start; 0 for the pool's", 0,
                  3'600'000);
    s.duration_ms("patience-ms", &values.patience, "Time after which a request counts as lost",
                  1'000, 3'600'000);
    s.duration_ms("service-timeout-ms", &values.service_timeout, "Time for an answer to a call", 10,
                  3'600'000);
    s.number("returns", &values.returns, "How often a refused request comes back", 0, 1000);
    s.check([&] {
        std::string mistake;
        values.load.workspaces = parse_workspaces(values.workspaces, mistake);
        values.load.kinds = split_list(values.kinds);
        return mistake;
    });
    if (s.parse(argc, argv) != settings_outcome::run) {
        return s.exit_code();
    }
    asio::io_context context(1);
    load_run run(context, values);
    asio::co_spawn(context, run.run(), asio::detached);
    context.run();
    return run.report();
}
