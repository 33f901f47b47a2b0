#include "bamboostream/src/Entry/completion_request.h"

#include "bamboostream/src/Core/digest.h"
#include "bamboostream/src/Entry/authentication.h"

#include <algorithm>

namespace bamboostream {

namespace {

constexpr std::int64_t token_limit = 1'000'000;
constexpr std::int64_t max_deadline_ms = 3'600'000;
constexpr std::size_t characters_per_token = 4;
constexpr std::size_t prefix_characters = 512;
constexpr std::size_t max_kind_length = 64;

priority_level read_priority(json_reader& r) {
    const boost::json::value* value = r.child("priority");
    if (value == nullptr) {
        return priority_level::standard;
    }
    if (value->is_string()) {
        if (const auto parsed = parse_priority(std::string_view(value->get_string()))) {
            return *parsed;
        }
    }
    r.error("priority", boost::json::serialize(*value), "batch, standard or urgent");
    return priority_level::standard;
}

on_loss read_on_loss(json_reader& r) {
    const std::string word = r.text_or("on_loss", "incomplete");
    if (word != "incomplete" && word != "restart") {
        r.error("on_loss", word, "incomplete or restart");
    }
    return word == "restart" ? on_loss::restart : on_loss::incomplete;
}

} // namespace

std::optional<completion_request> read_completion(const http_request& request,
                                                  std::vector<validation_error>& errors) {
    std::string why;
    const auto body = parse_json(request.body, why);
    if (!body) {
        errors.push_back({"(body)", "malformed JSON", why});
        return std::nullopt;
    }
    completion_request out;
    json_reader r(*body, "", errors);
    out.model = r.text("model");
    out.prompt = r.text("prompt");
    out.max_tokens = static_cast<std::uint32_t>(r.number_or("max_tokens", 0, 0, token_limit));
    const auto estimate = static_cast<std::int64_t>(
        std::max<std::size_t>(out.prompt.size() / characters_per_token, 1));
    out.prompt_tokens =
        static_cast<std::uint32_t>(r.number_or("prompt_tokens", estimate, 1, token_limit));
    out.stream = r.flag_or("stream", false);
    out.priority = read_priority(r);
    out.loss = read_on_loss(r);
    out.kind = r.text_or("kind", "");
    if (out.kind.size() > max_kind_length) {
        r.error("kind", std::to_string(out.kind.size()) + " characters", "at most 64");
    }
    out.deadline = milliseconds(r.number_or("deadline_ms", 0, 0, max_deadline_ms));
    r.finish();
    out.key = std::string(request.field("Idempotency-Key"));
    if (!out.key.empty() && !is_valid_idempotency_key(out.key)) {
        r.error("Idempotency-Key", "an unusable key", "at most 200 printable characters");
    }
    out.prefix = stable_hash(std::string_view(out.prompt).substr(0, prefix_characters));
    if (!errors.empty()) {
        return std::nullopt;
    }
    return out;
}

} // namespace bamboostream
