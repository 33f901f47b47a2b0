#include "bamboostream/src/Report/explanation.h"

#include "bamboostream/src/Core/event_catalogue.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <set>
#include <tuple>

namespace bamboostream {

namespace {

/// A backend server announces its shutdown about 2 s in advance, and the loss of the store is
/// logged within seconds.
constexpr std::int64_t lookback_ms = 5'000;
constexpr std::int64_t lookahead_ms = 1'000;

constexpr std::array backend_keys = {std::string_view("backend"), std::string_view("source"),
                                     std::string_view("target")};
constexpr std::array instance_events = {
    events::started.number,
    events::stopping.number,
    events::stopped.number,
    events::ready.number,
    events::store_unavailable.number,
    events::store_available.number,
    events::configuration_in_force.number,
};

std::optional<log_line> parse_json_line(std::string_view text) {
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(text, error);
    const boost::json::object* object = error ? nullptr : value.if_object();
    if (object == nullptr) {
        return std::nullopt;
    }
    const auto text_of = [object](std::string_view key) {
        const boost::json::value* found = object->if_contains(key);
        return found && found->is_string() ? std::string(found->get_string()) : std::string();
    };
    const auto number_of = [object](std::string_view key) {
        const boost::json::value* found = object->if_contains(key);
        return found && found->is_int64() ? found->get_int64() : 0;
    };
    log_line out;
    out.time_ms = number_of("time_ms");
    out.event = static_cast<int>(number_of("event"));
    out.level = text_of("level");
    out.name = text_of("name");
    out.detail = text_of("detail");
    return out.name.empty() ? std::nullopt : std::optional(out);
}

std::string_view take_word(std::string_view& text) {
    const std::size_t space = std::min(text.find(' '), text.size());
    const std::string_view word = text.substr(0, space);
    text.remove_prefix(std::min(space + 1, text.size()));
    return word;
}

template <class Number> bool read_number(std::string_view text, Number& out) {
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, out);
    return read.ec == std::errc{} && read.ptr == end;
}

std::optional<log_line> parse_text_line(std::string_view text) {
    log_line out;
    if (!read_number(take_word(text), out.time_ms) || !read_number(take_word(text), out.event)) {
        return std::nullopt;
    }
    out.level = take_word(text);
    out.name = take_word(text);
    out.detail = text;
    return out;
}

bool names_backend(const log_line& line, const std::set<std::string_view>& backends) {
    return std::any_of(backend_keys.begin(), backend_keys.end(),
                       [&](std::string_view key) { return backends.contains(line.field(key)); });
}

bool is_instance_event(const log_line& line) {
    return std::find(instance_events.begin(), instance_events.end(), line.event) !=
           instance_events.end();
}

/// Returns the content digest of a request given by its id or digest; empty when no line names it.
std::string_view digest_of(std::string_view request, std::span<const log_line> lines) {
    for (const log_line& line : lines) {
        const std::string_view digest = line.field("digest");
        if (!digest.empty() && (digest == request || line.field("request") == request)) {
            return digest;
        }
    }
    return {};
}

/// Returns the ids of all requests with which a caller asked for the stream of this request.
std::set<std::string_view> requests_for_stream(std::string_view request,
                                               std::span<const log_line> lines) {
    std::string_view first = request;
    for (const log_line& line : lines) {
        if (line.event == events::stream_taken_up.number && line.field("request") == request) {
            first = line.field("resumes");
        }
    }
    std::set<std::string_view> out = {request, first};
    for (const log_line& line : lines) {
        if (line.event == events::stream_taken_up.number && line.field("resumes") == first) {
            out.insert(line.field("request"));
        }
    }
    return out;
}

/// Returns the part of a prompt because of which the request was refused; empty if there is none.
std::string_view held_part_of(std::string_view request, std::span<const log_line> lines) {
    for (const log_line& line : lines) {
        const std::string_view parts = line.field("held_for_parts");
        if (!parts.empty() && parts != "none" && line.field("request") == request) {
            return parts.substr(0, parts.find(','));
        }
    }
    return {};
}

/// Whether the comma-separated list contains the label.
bool lists_label(std::string_view list, std::string_view label) {
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        if (list.substr(0, comma) == label) {
            return true;
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

/// Whether a line reports a server that crashed while running a request, or a change of quarantine.
bool is_evidence(const log_line& line) {
    const bool ended =
        line.event == events::backend_connection_lost.number && line.field("process") == "ended";
    return ended || line.event == events::request_quarantined.number ||
           line.event == events::request_released.number ||
           line.event == events::quarantine_trial.number;
}

} // namespace

std::string_view log_line::field(std::string_view key) const {
    std::string_view rest = detail;
    while (!rest.empty()) {
        const std::string_view word = take_word(rest);
        if (word.size() > key.size() && word.substr(0, key.size()) == key &&
            word[key.size()] == '=') {
            return word.substr(key.size() + 1);
        }
    }
    return {};
}

std::optional<log_line> parse_log_line(std::string_view text, std::string_view source) {
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
        text.remove_suffix(1);
    }
    auto out = text.starts_with('{') ? parse_json_line(text) : parse_text_line(text);
    if (out) {
        out->source = source;
    }
    return out;
}

std::vector<log_line> explain_request(std::string_view request, std::span<const log_line> lines) {
    const std::string_view digest = digest_of(request, lines);
    const std::string_view part = held_part_of(request, lines);
    const std::set<std::string_view> requests = requests_for_stream(request, lines);
    std::set<std::string_view> backends;
    std::set<std::string_view> sources;
    std::int64_t first = INT64_MAX;
    std::int64_t last = INT64_MIN;
    for (const log_line& line : lines) {
        if (!requests.contains(line.field("request"))) {
            continue;
        }
        first = std::min(first, line.time_ms);
        last = std::max(last, line.time_ms);
        sources.insert(line.source);
        if (const auto backend = line.field("backend"); !backend.empty()) {
            backends.insert(backend);
        }
    }
    std::vector<log_line> out;
    std::set<std::tuple<int, std::string_view>> reported;
    for (const log_line& line : lines) {
        const bool own = requests.contains(line.field("request"));
        const bool in_time = first != INT64_MAX && line.time_ms >= first - lookback_ms &&
                             line.time_ms <= last + lookahead_ms;
        // Lines of other requests on the same server are left out; there may be very many of them.
        const bool of_backend = line.field("request").empty() && names_backend(line, backends) &&
                                reported.emplace(line.event, line.field("backend")).second;
        // A limit may have been named long before the request was refused because of it.
        const bool of_limit = line.event == events::backend_rate_limit.number &&
                              first != INT64_MAX && line.time_ms <= last &&
                              sources.contains(line.source) && names_backend(line, backends);
        const bool of_instance = is_instance_event(line) && sources.contains(line.source);
        const bool of_content =
            !digest.empty() && line.field("digest") == digest && is_evidence(line);
        const bool of_part =
            !part.empty() && is_evidence(line) && lists_label(line.field("parts"), part);
        if (own || of_content || of_part || of_limit || (in_time && (of_backend || of_instance))) {
            out.push_back(line);
        }
    }
    std::stable_sort(out.begin(), out.end(),
                     [](const log_line& a, const log_line& b) { return a.time_ms < b.time_ms; });
    return out;
}

} // namespace bamboostream
