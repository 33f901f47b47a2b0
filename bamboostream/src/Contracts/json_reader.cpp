#include "bamboostream/src/Contracts/json_reader.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <limits>

namespace bamboostream {

namespace {

constexpr std::size_t max_nesting_depth = 32;
constexpr std::size_t max_quoted_bytes = 60;

std::string quote(const boost::json::value& value) {
    std::string text = boost::json::serialize(value);
    if (text.size() > max_quoted_bytes) {
        text = text.substr(0, max_quoted_bytes) + "…";
    }
    return text;
}

const boost::json::value* find_member(const boost::json::value& value, std::string_view name) {
    return value.is_object() ? value.get_object().if_contains(name) : nullptr;
}

std::optional<double> as_real(const boost::json::value& value) {
    if (!value.is_number()) {
        return std::nullopt;
    }
    return value.to_number<double>();
}

/// Returns nothing for a fraction and for a number that doesn't fit.
std::optional<std::int64_t> as_whole(const boost::json::value& value) {
    if (const std::int64_t* whole = value.if_int64()) {
        return *whole;
    }
    const double* real = value.if_double();
    if (real == nullptr || std::trunc(*real) != *real) {
        return std::nullopt;
    }
    // The largest value of the type isn't a double; the next one is.
    constexpr auto bound = -static_cast<double>(std::numeric_limits<std::int64_t>::min());
    const bool fits = *real >= -bound && *real < bound;
    return fits ? std::optional(static_cast<std::int64_t>(*real)) : std::nullopt;
}

} // namespace

std::string to_string(const validation_error& error) {
    return fmt::format("{}: found {}, expected {}", error.path, error.found, error.expected);
}

std::optional<boost::json::value> parse_json(std::string_view text, std::string& why,
                                             boost::json::storage_ptr storage) {
    boost::json::parse_options options;
    options.max_depth = max_nesting_depth;
    boost::json::error_code ec;
    boost::json::value value =
        boost::json::parse({text.data(), text.size()}, ec, std::move(storage), options);
    if (ec) {
        why = ec.message();
        return std::nullopt;
    }
    return std::optional<boost::json::value>(std::move(value));
}

json_reader::json_reader(const boost::json::value& value, std::string path,
                         std::vector<validation_error>& errors)
    : object_(value.if_object()), path_(std::move(path)), errors_(&errors) {
    if (object_ == nullptr) {
        errors_->push_back({path_.empty() ? "(document)" : path_, quote(value), "an object"});
    }
}

std::string json_reader::path_of(std::string_view name) const {
    return path_.empty() ? std::string(name) : fmt::format("{}/{}", path_, name);
}

void json_reader::error(std::string_view name, std::string found, std::string expected) {
    errors_->push_back({path_of(name), std::move(found), std::move(expected)});
}

const boost::json::value* json_reader::child(std::string_view name) {
    requested_.emplace_back(name);
    return object_ == nullptr ? nullptr : object_->if_contains({name.data(), name.size()});
}

std::string json_reader::text(std::string_view name) {
    const boost::json::value* value = child(name);
    if (value != nullptr && value->is_string() && !value->get_string().empty()) {
        return std::string(value->get_string());
    }
    if (object_ != nullptr) {
        error(name, value == nullptr ? "nothing" : quote(*value), "a text that isn't empty");
    }
    return {};
}

std::string json_reader::text_or(std::string_view name, std::string_view default_value) {
    const boost::json::value* value = child(name);
    if (value == nullptr) {
        return std::string(default_value);
    }
    if (value->is_string()) {
        return std::string(value->get_string());
    }
    error(name, quote(*value), "a text");
    return std::string(default_value);
}

std::int64_t json_reader::number(std::string_view name, std::int64_t min_value,
                                 std::int64_t max_value) {
    const boost::json::value* value = child(name);
    if (value == nullptr) {
        if (object_ != nullptr) {
            error(name, "nothing",
                  fmt::format("a whole number from {} to {}", min_value, max_value));
        }
        return min_value;
    }
    const std::optional<std::int64_t> parsed = as_whole(*value);
    if (!parsed || *parsed < min_value || *parsed > max_value) {
        error(name, quote(*value),
              fmt::format("a whole number from {} to {}", min_value, max_value));
        return min_value;
    }
    return *parsed;
}

std::int64_t json_reader::number_or(std::string_view name, std::int64_t default_value,
                                    std::int64_t min_value, std::int64_t max_value) {
    if (object_ == nullptr || !object_->contains({name.data(), name.size()})) {
        requested_.emplace_back(name);
        return default_value;
    }
    return number(name, min_value, max_value);
}

double json_reader::real_or(std::string_view name, double default_value, double min_value,
                            double max_value) {
    const boost::json::value* value = child(name);
    if (value == nullptr) {
        return default_value;
    }
    const std::optional<double> parsed = as_real(*value);
    if (!parsed || !(*parsed >= min_value && *parsed <= max_value)) {
        error(name, quote(*value), fmt::format("a number from {} to {}", min_value, max_value));
        return default_value;
    }
    return *parsed;
}

bool json_reader::flag_or(std::string_view name, bool default_value) {
    const boost::json::value* value = child(name);
    if (value == nullptr) {
        return default_value;
    }
    if (!value->is_bool()) {
        error(name, quote(*value), "true or false");
        return default_value;
    }
    return value->get_bool();
}

const boost::json::object* json_reader::object_or_none(std::string_view name) {
    const boost::json::value* value = child(name);
    if (value != nullptr && !value->is_object()) {
        error(name, quote(*value), "an object");
    }
    return value == nullptr ? nullptr : value->if_object();
}

const boost::json::array* json_reader::array_or_none(std::string_view name) {
    const boost::json::value* value = child(name);
    if (value != nullptr && !value->is_array()) {
        error(name, quote(*value), "an array");
    }
    return value == nullptr ? nullptr : value->if_array();
}

void json_reader::finish() {
    if (object_ == nullptr) {
        return;
    }
    for (const auto& member : *object_) {
        const std::string_view name(member.key().data(), member.key().size());
        if (std::find(requested_.begin(), requested_.end(), name) == requested_.end()) {
            error(name, quote(member.value()), "no such field");
        }
    }
}

std::string text_at(const boost::json::value& value, std::string_view name) {
    const boost::json::value* found = find_member(value, name);
    return found != nullptr && found->is_string() ? std::string(found->get_string())
                                                  : std::string{};
}

std::int64_t number_at(const boost::json::value& value, std::string_view name,
                       std::int64_t default_value) {
    const boost::json::value* found = find_member(value, name);
    return found == nullptr ? default_value : as_whole(*found).value_or(default_value);
}

double real_at(const boost::json::value& value, std::string_view name, double default_value) {
    const boost::json::value* found = find_member(value, name);
    return found == nullptr ? default_value : as_real(*found).value_or(default_value);
}

} // namespace bamboostream
