#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// One validation error in a JSON document: the field, what was found and what was expected.
struct validation_error {
    /// Path such as "workspaces/acme/weight".
    std::string path;
    std::string found;
    std::string expected;
};

/// Formats an error for a human reader.
std::string to_string(const validation_error& error);

/// Parses a JSON document; nothing, with the parser's message in `why`, when it is malformed.
/// `storage` allocates the document: a large document that is read once is faster in a monotonic
/// resource, which frees everything at once.
std::optional<boost::json::value> parse_json(std::string_view text, std::string& why,
                                             boost::json::storage_ptr storage = {});

/// Reads the fields of one JSON object and collects all errors instead of stopping at the first.
/// `finish` also reports fields that were never requested. `value` and `errors` must outlive the
/// reader.
///
/// Example: `json_reader r(value, "", errors); auto m = r.text("model"); r.finish();`
class json_reader {
public:
    json_reader(const boost::json::value& value, std::string path,
                std::vector<validation_error>& errors);

    /// A required, non-empty string. On an error the result is empty.
    std::string text(std::string_view name);
    /// An optional string.
    std::string text_or(std::string_view name, std::string_view default_value);
    /// A required integer within [min_value, max_value]. On an error the result is `min_value`.
    std::int64_t number(std::string_view name, std::int64_t min_value, std::int64_t max_value);
    /// An optional integer within [min_value, max_value].
    std::int64_t number_or(std::string_view name, std::int64_t default_value,
                           std::int64_t min_value, std::int64_t max_value);
    /// An optional number within [min_value, max_value].
    double real_or(std::string_view name, double default_value, double min_value, double max_value);
    /// An optional Boolean.
    bool flag_or(std::string_view name, bool default_value);
    /// The value of a field; null when absent.
    const boost::json::value* child(std::string_view name);
    /// An optional object; null when absent or of another type.
    const boost::json::object* object_or_none(std::string_view name);
    /// An optional array; null when absent or of another type.
    const boost::json::array* array_or_none(std::string_view name);
    /// Records an error at a field.
    void error(std::string_view name, std::string found, std::string expected);
    /// Records an error for each field that was never requested.
    void finish();
    bool is_object() const { return object_ != nullptr; }
    /// The path of a field in the whole document.
    std::string path_of(std::string_view name) const;

private:
    const boost::json::object* object_ = nullptr;
    std::string path_;
    std::vector<validation_error>* errors_;
    std::vector<std::string> requested_;
};

/// Reads a field of a response from an external system. A missing field, or one of another type,
/// yields an empty string or `default_value`.
std::string text_at(const boost::json::value& value, std::string_view name);
std::int64_t number_at(const boost::json::value& value, std::string_view name,
                       std::int64_t default_value = 0);
double real_at(const boost::json::value& value, std::string_view name, double default_value = 0.0);

} // namespace bamboostream
