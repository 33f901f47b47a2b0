#include "bamboostream/src/Entry/operator_handler.h"

#include "bamboostream/src/Entry/console_page.h"
#include "bamboostream/src/Entry/error_answer.h"

#include <array>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace bamboostream {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 3> liveness_names = {"live", "suspect", "gone"};
constexpr std::array<std::string_view, 4> backend_names = {"live", "leaving", "down", "loading"};
constexpr std::array<std::string_view, 5> fate_names = {"accepted", "conflict", "invalid",
                                                        "repeated", "undecided"};

int status_of(submission_outcome outcome) {
    switch (outcome) {
    case submission_outcome::accepted:
    case submission_outcome::repeated:
        return 200;
    case submission_outcome::conflict:
        return 409;
    case submission_outcome::invalid:
        return 422;
    case submission_outcome::undecided:
        break;
    }
    return 503;
}

json::object describe(const member_facts& facts) {
    return json::object{{"address", facts.id.address},
                        {"start_stamp", facts.id.start_stamp},
                        {"caller_address", facts.caller_address},
                        {"operator_address", facts.operator_address},
                        {"failure_domain", facts.failure_domain.text()},
                        {"state", liveness_names[static_cast<std::size_t>(facts.state)]},
                        {"leaving", facts.leaving},
                        {"configuration_version", facts.configuration_version}};
}

constexpr std::string_view hidden_secret = "(hidden)";

/// Replaces the secrets of resume keys by a placeholder. Secrets never leave the instances;
/// operators only see that a key has one.
void hide_secrets(json::value& document) {
    json::value* keys = document.as_object().if_contains("resume_keys");
    if (keys == nullptr || !keys->is_object()) {
        return;
    }
    for (auto& item : keys->get_object()) {
        if (item.value().is_object()) {
            item.value().get_object()["secret"] = hidden_secret;
        }
    }
}

/// Replaces the placeholder by the current secret: a document that was edited with hidden secrets
/// leaves them unchanged.
void restore_secret(std::string_view name, json::value& key, const configuration_document& known) {
    const auto found = known.resume_keys.find(name);
    if (text_at(key, "secret") == hidden_secret && found != known.resume_keys.end()) {
        key.as_object()["secret"] = found->second.secret;
    }
}

void restore_secrets(json::value& document, const configuration_document& known) {
    json::value* keys =
        document.is_object() ? document.get_object().if_contains("resume_keys") : nullptr;
    if (keys == nullptr || !keys->is_object()) {
        return;
    }
    for (auto& item : keys->get_object()) {
        restore_secret(item.key(), item.value(), known);
    }
}

void restore_secrets(std::vector<configuration_change>& changes,
                     const configuration_document& known) {
    static constexpr std::string_view section = "resume_keys/";
    for (configuration_change& change : changes) {
        if (change.entry.starts_with(section)) {
            restore_secret(std::string_view(change.entry).substr(section.size()), change.value,
                           known);
        }
    }
}

/// Removes changes whose value equals that in `document`.
void remove_unchanged(std::vector<configuration_change>& changes, const json::value& document) {
    std::erase_if(changes, [&](const configuration_change& change) {
        const std::size_t slash = change.entry.find('/');
        const json::value& section = document.at(change.entry.substr(0, slash));
        const json::value* known = section.as_object().if_contains(change.entry.substr(slash + 1));
        return known == nullptr ? change.value.is_null() : *known == change.value;
    });
}

} // namespace

operator_handler::operator_handler(instance_core& core, std::function<void()> drain)
    : core_(core), drain_(std::move(drain)) {}

asio::awaitable<bool> operator_handler::handle_common(http_exchange& exchange) {
    const std::string& path = exchange.request().path;
    if (path == "/healthz") {
        co_await exchange.respond(200, "text/plain", "ok\n", {});
        co_return true;
    }
    if (path == "/readyz") {
        const bool ready = core_.configuration->version() > 0 && !core_.leaving;
        co_await exchange.respond(ready ? 200 : 503, "text/plain",
                                  ready ? "ready\n" : "not ready\n", {});
        co_return true;
    }
    if (path == "/metrics") {
        std::string text = core_.metrics.exposition();
        text += co_await control_metrics();
        co_await exchange.respond(200, "text/plain; version=0.0.4", std::move(text), {});
        co_return true;
    }
    co_return false;
}

asio::awaitable<std::string> operator_handler::control_metrics() {
    return core_.on_control([this]() -> asio::awaitable<std::string> {
        const link_traffic& t = core_.links->traffic();
        std::string out;
        const auto line = [&](std::string_view name, std::string_view type, auto value) {
            fmt::format_to(std::back_inserter(out), "# TYPE {0} {1}\n{0} {2}\n", name, type, value);
        };
        line("bamboostream_link_sent_bytes_total", "counter", t.bytes_sent);
        line("bamboostream_link_received_bytes_total", "counter", t.bytes_received);
        line("bamboostream_link_sent_frames_total", "counter", t.frames_sent);
        line("bamboostream_link_bad_frames_total", "counter", t.bad_frames);
        line("bamboostream_link_dropped_frames_total", "counter", t.dropped_frames);
        line("bamboostream_configuration_version", "gauge", core_.configuration->version());
        line("bamboostream_members", "gauge", core_.membership->members().others().size() + 1);
        line("bamboostream_ledger_appends_total", "counter", core_.claims->appends());
        line("bamboostream_ledger_claims_total", "counter", core_.claims->claims());
        line("bamboostream_ledger_calls", "gauge", core_.claims->size());
        line("bamboostream_open_requests", "gauge", core_.open_requests.load());
        const quarantine_service& quarantine = *core_.quarantine;
        line("bamboostream_backend_servers_ended_total", "counter", quarantine.ended_servers());
        line("bamboostream_quarantined_requests", "gauge", quarantine.decisions().held());
        line("bamboostream_quarantine_evidence", "gauge", quarantine.decisions().size());
        co_return out;
    });
}

asio::awaitable<void> operator_handler::handle(http_exchange& exchange) {
    if (co_await handle_common(exchange)) {
        co_return;
    }
    const http_request& request = exchange.request();
    const bool post = request.method == "POST";
    if (request.path == "/" || request.path == "/console") {
        co_await exchange.respond(200, "text/html; charset=utf-8", std::string(console_page()), {});
    } else if (request.path == "/v1/configuration" && post) {
        co_await submit_configuration(exchange);
    } else if (request.path == "/v1/configuration") {
        co_await show_configuration(exchange);
    } else if (request.path == "/v1/configuration/validate" && post) {
        co_await validate_configuration(exchange);
    } else if (request.path == "/v1/configuration/history") {
        co_await show_history(exchange);
    } else if (request.path == "/v1/status") {
        co_await show_status(exchange);
    } else if (request.path == "/v1/report/burn") {
        co_await show_burn(exchange);
    } else if (request.path == "/v1/drain" && post) {
        drain_();
        co_await exchange.respond_json(200, R"({"draining":true})");
    } else {
        const error_answer problem = make_error(404, "not_found", "no such resource");
        co_await respond_error(exchange, problem);
    }
}

asio::awaitable<void> operator_handler::show_configuration(http_exchange& exchange) {
    std::string body = co_await core_.on_control([this]() -> asio::awaitable<std::string> {
        json::value document = core_.configuration->state().document_json();
        hide_secrets(document);
        co_return json::serialize(json::object{{"version", core_.configuration->version()},
                                               {"document", std::move(document)}});
    });
    co_await exchange.respond_json(200, std::move(body));
}

/// Accepts a list of changes. Changes that match the version in force are removed first, so that
/// only entries that the operator has really changed can conflict.
asio::awaitable<void> operator_handler::submit_configuration(http_exchange& exchange) {
    error_answer problem;
    problem.code = "invalid_submission";
    problem.message = "the submission has mistakes";
    std::string why;
    auto value = parse_json(exchange.request().body, why);
    if (!value || !value->is_object()) {
        problem.errors.push_back({"(body)", "malformed JSON", why});
        co_await respond_error(exchange, problem);
        co_return;
    }
    if (!value->get_object().contains("id")) {
        value->get_object()["id"] = random_id();
    }
    auto submission = parse_submission(*value, problem.errors);
    if (!submission) {
        co_await respond_error(exchange, problem);
        co_return;
    }
    restore_secrets(submission->changes, *core_.configuration->document());
    const submission_verdict verdict =
        co_await core_.on_control([&]() -> asio::awaitable<submission_verdict> {
            remove_unchanged(submission->changes, core_.configuration->state().document_json());
            if (submission->changes.empty()) {
                submission_verdict nothing;
                nothing.outcome = submission_outcome::repeated;
                nothing.id = submission->id;
                nothing.version = core_.configuration->version();
                co_return nothing;
            }
            co_return co_await core_.configuration->submit(*submission);
        });
    json::array reasons(verdict.reasons.begin(), verdict.reasons.end());
    std::string body = json::serialize(
        json::object{{"id", verdict.id},
                     {"fate", fate_names[static_cast<std::size_t>(verdict.outcome)]},
                     {"version", verdict.version},
                     {"reasons", std::move(reasons)}});
    co_await exchange.respond_json(status_of(verdict.outcome), std::move(body));
}

asio::awaitable<void> operator_handler::validate_configuration(http_exchange& exchange) const {
    std::string why;
    std::vector<validation_error> errors;
    auto value = parse_json(exchange.request().body, why);
    if (!value) {
        errors.push_back({"(body)", "malformed JSON", why});
    } else {
        restore_secrets(*value, *core_.configuration->document());
        validate_document(*value, errors);
    }
    error_answer answer;
    answer.status = 422;
    answer.code = "invalid_configuration";
    answer.message = "the document has mistakes";
    answer.errors = std::move(errors);
    if (answer.errors.empty()) {
        co_await exchange.respond_json(200, R"({"valid":true})");
    } else {
        co_await respond_error(exchange, answer);
    }
}

asio::awaitable<void> operator_handler::show_history(http_exchange& exchange) {
    std::string body = co_await core_.on_control([this]() -> asio::awaitable<std::string> {
        json::array out;
        for (const auto& entry : core_.configuration->state().history()) {
            json::array entries(entry.entries.begin(), entry.entries.end());
            out.push_back(json::object{{"version", entry.version},
                                       {"author", entry.author},
                                       {"at_ms", entry.at},
                                       {"entries", std::move(entries)}});
        }
        co_return json::serialize(json::object{{"history", std::move(out)}});
    });
    co_await exchange.respond_json(200, std::move(body));
}

asio::awaitable<void> operator_handler::show_status(http_exchange& exchange) {
    std::string body = co_await core_.on_control([this]() -> asio::awaitable<std::string> {
        member_table& members = core_.membership->members();
        json::array others;
        for (const member_facts& facts : members.others()) {
            others.push_back(describe(facts));
        }
        json::array backends;
        for (const backend_facts& facts : core_.membership->backends().all()) {
            backends.push_back(
                json::object{{"address", facts.id.text()},
                             {"group", facts.group},
                             {"failure_domain", facts.failure_domain.text()},
                             {"start_stamp", facts.start_stamp},
                             {"state", backend_names[static_cast<std::size_t>(facts.state)]}});
        }
        json::array pools;
        for (const auto& [name, pool] : core_.configuration->document()->pools) {
            const pool_scheduler* scheduler = core_.scheduling->find(name);
            pools.push_back(json::object{
                {"pool", name},
                {"owned_here", core_.scheduling->owns(name)},
                {"waiting", scheduler == nullptr ? 0 : scheduler->waiting()},
                {"running", scheduler == nullptr ? 0 : scheduler->running()},
                {"tokens_per_second", scheduler == nullptr ? 0.0 : scheduler->service_rate()},
                {"memory_caution", scheduler == nullptr ? 0.0 : scheduler->margin_sigmas()}});
        }
        json::array cordoned;
        for (const auto& [domain, cordon] : core_.configuration->document()->cordons) {
            cordoned.push_back(json::object{{"failure_domain", domain}, {"reason", cordon.reason}});
        }
        co_return json::serialize(
            json::object{{"self", describe(members.self())},
                         {"cordoned", std::move(cordoned)},
                         {"suspects_itself", members.suspects_itself()},
                         {"configuration_version", core_.configuration->version()},
                         {"ledger_ready", core_.claims->ready()},
                         {"members", std::move(others)},
                         {"backends", std::move(backends)},
                         {"pools", std::move(pools)},
                         {"open_requests", core_.open_requests.load()}});
    });
    co_await exchange.respond_json(200, std::move(body));
}

asio::awaitable<void> operator_handler::show_burn(http_exchange& exchange) {
    json::array rows;
    for (const auto& row : core_.metrics.burn_rows()) {
        json::array buckets;
        for (const auto& b : row.buckets) {
            buckets.push_back(json::array{b.minute, b.requests, b.late_first_token,
                                          b.slow_inter_token, b.stalled, b.not_completed});
        }
        rows.push_back(json::object{
            {"workspace", row.workspace}, {"pool", row.pool}, {"buckets", std::move(buckets)}});
    }
    const auto minute =
        std::chrono::duration_cast<std::chrono::minutes>(monotonic_now().time_since_epoch())
            .count();
    std::string body = json::serialize(json::object{
        {"start_stamp", core_.start_stamp}, {"minute_now", minute}, {"rows", std::move(rows)}});
    co_await exchange.respond_json(200, std::move(body));
}

} // namespace bamboostream
