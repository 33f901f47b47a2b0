#include "bamboostream/src/Gateway/quarantine_persister.h"

#include "bamboostream/src/Contracts/bounded_number.h"
#include "bamboostream/src/Contracts/json_reader.h"
#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Core/log_exception.h"
#include "bamboostream/src/Gateway/store_read_policy.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace bamboostream {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Number of instances that write a record. The second one writes when the first is cut off from
/// the store.
constexpr std::size_t writers = 2;
/// Until a seed has answered, an instance doesn't know its peers.
constexpr milliseconds discovery_time{200};
constexpr milliseconds failure_backoff{1'000};
constexpr std::chrono::hours idle_wait{1};

std::vector<request_digest> read_parts(const json::value& entry) {
    const json::object* fields = entry.if_object();
    const json::value* parts = fields ? fields->if_contains("parts") : nullptr;
    std::vector<request_digest> out;
    if (parts == nullptr || !parts->is_array()) {
        return out;
    }
    for (const json::value& part : parts->get_array()) {
        const json::string* text = part.if_string();
        if (const auto digest = request_digest::parse(text ? std::string_view(*text) : "")) {
            out.push_back(*digest);
        }
    }
    return out;
}

bool contains_name(const std::vector<std::string>& names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

std::string write_evidence(std::span<const crash_evidence> evidence, time_point now,
                           std::int64_t wall_now_ms) {
    json::array entries;
    for (const crash_evidence& it : evidence) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - it.at);
        json::array parts;
        for (const request_digest& part : it.parts) {
            parts.push_back(json::value(part.text()));
        }
        entries.push_back(json::object{{"server", fmt::format("{:016x}", it.server)},
                                       {"caller", fmt::format("{:016x}", it.caller)},
                                       {"at_ms", wall_now_ms - age.count()},
                                       {"answering", it.answering},
                                       {"cleared", it.cleared},
                                       {"answered_before", it.answered_before},
                                       {"on_trial", it.on_trial},
                                       {"shared", it.shared},
                                       {"attempts", it.attempts},
                                       {"request", it.request.text()},
                                       {"parts", std::move(parts)},
                                       {"streamed_ms", it.streamed_for.count()}});
    }
    return json::serialize(json::object{{"evidence", std::move(entries)}});
}

std::optional<std::vector<crash_evidence>> read_evidence(const keyed_record& record, time_point now,
                                                         std::int64_t wall_now_ms) {
    const auto key = request_digest::parse(record.key);
    std::string why;
    const auto document = parse_json(record.value, why);
    const json::object* object = document ? document->if_object() : nullptr;
    const json::value* entries = object ? object->if_contains("evidence") : nullptr;
    if (!key || entries == nullptr || !entries->is_array()) {
        return std::nullopt;
    }
    const auto is_true = [](const json::value& entry, std::string_view key) {
        const json::object* fields = entry.if_object();
        const json::value* flag = fields ? fields->if_contains(key) : nullptr;
        return flag != nullptr && flag->is_bool() && flag->get_bool();
    };
    std::vector<crash_evidence> out;
    for (const json::value& entry : entries->get_array()) {
        const auto at_ms = bounded_number_at<std::int64_t>(entry, "at_ms", 0, {0, wall_now_ms});
        // The record of held parts has the evidence of several requests.
        const auto request = request_digest::parse(text_at(entry, "request"));
        out.push_back({request.value_or(*key),
                       parse_hexadecimal(text_at(entry, "server")).value_or(0),
                       parse_hexadecimal(text_at(entry, "caller")).value_or(0),
                       now - bounded_milliseconds(wall_now_ms - at_ms), is_true(entry, "answering"),
                       is_true(entry, "cleared"), is_true(entry, "answered_before"),
                       is_true(entry, "on_trial"), is_true(entry, "shared"),
                       bounded_number_at<std::uint16_t>(entry, "attempts", 0)});
        out.back().parts = read_parts(entry);
        out.back().streamed_for = duration_at(entry, "streamed_ms");
    }
    return out;
}

quarantine_persister::quarantine_persister(asio::io_context& context, persistent_records& store,
                                           const membership_service& membership,
                                           quarantine_registry& quarantine)
    : context_(context), store_(store), membership_(membership), quarantine_(quarantine),
      due_(context) {}

void quarantine_persister::start() {
    asio::co_spawn(context_, restore(), log_exception);
    asio::co_spawn(context_, write_loop(), log_exception);
}

std::size_t quarantine_persister::stored_evidence(const request_digest& request) const {
    const auto found = stored_.find(request);
    return found == stored_.end() ? 0 : found->second;
}

std::size_t quarantine_persister::evidence_to_store(const request_digest& request) const {
    const suspect_state* held = quarantine_.decisions().find_suspect(request);
    // A trial decides about a request that many callers send within seconds. Its record would be
    // read without the evidence against its rivals.
    const bool stored = quarantine_.holds(request) && !held->popular;
    return stored ? quarantine_.decisions().evidence_of(request).size() : 0;
}

void quarantine_persister::note_change(const request_digest& request) {
    if (evidence_to_store(request) == stored_evidence(request) ||
        !contains_name(membership_.owners(request.text(), writers), membership_.own_address())) {
        return;
    }
    pending_writes_.insert(request);
    due_.cancel();
}

asio::awaitable<void> quarantine_persister::restore() {
    co_await pause_for(discovery_time);
    const auto order = membership_.owners("store", store_read_policy::order_length);
    if (!contains_name(order, membership_.own_address())) {
        co_return;
    }
    while (true) {
        store_failure why;
        const auto records = co_await store_.read_all(why);
        if (records) {
            restore_records(*records);
            co_return;
        }
        co_await pause_for(failure_backoff);
    }
}

void quarantine_persister::restore_records(std::span<const keyed_record> records) {
    const time_point now = monotonic_now();
    for (const keyed_record& record : records) {
        const auto evidence = read_evidence(record, now, wall_now());
        if (!evidence) {
            log_event(events::record_rejected, "topic=quarantine key={} reason=malformed",
                      record.key);
            continue;
        }
        const request_digest request = *request_digest::parse(record.key);
        stored_[request] = evidence->size();
        quarantine_.take(*evidence, "store", now);
    }
}

asio::awaitable<void> quarantine_persister::write_loop() {
    while (true) {
        if (pending_writes_.empty()) {
            co_await wait_on(due_, monotonic_now() + idle_wait);
            continue;
        }
        const request_digest request = *pending_writes_.begin();
        if (co_await write(request)) {
            pending_writes_.erase(request);
        } else {
            co_await pause_for(failure_backoff);
        }
    }
}

/// Returns true when the store matches what is known here.
asio::awaitable<bool> quarantine_persister::write(request_digest request) {
    const std::size_t pieces = evidence_to_store(request);
    const bool held = pieces > 0;
    keyed_record record{request.text(), {}};
    if (held) {
        record.value = write_evidence(quarantine_.decisions().evidence_of(request), monotonic_now(),
                                      wall_now());
    }
    store_failure why;
    if (!co_await store_.write(record, why)) {
        log_event(events::store_unavailable, "topic=quarantine key={} reason={}", record.key,
                  why.text);
        co_return false;
    }
    if (held) {
        stored_[request] = pieces;
    } else {
        stored_.erase(request);
    }
    co_return pieces == evidence_to_store(request);
}

} // namespace bamboostream
