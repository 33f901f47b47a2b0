#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// One mistake in a JSON document: where, what was found, and what would be right.
struct validation_error {
    /// Path such as "workspaces/acme/weight".
    std::string path;
    std::string found;
    std::string expected;
};

/// Text of one mistake for a person.
std::string to_string(const validation_error& error);

/// The document behind `text`, or nothing with the parser's reason. `storage` keeps it; a large
/// document that is read once and dropped takes less time in a resource that frees all at once.
std::optional<boost::json::value> parse_json(std::string_view text, std::string& why,
                                             boost::json::storage_ptr storage = {});

/// Reads the fields of one JSON object, collecting every mistake instead of stopping at the first.
/// Fields never asked for are mistakes too once `finish` is called.
///
/// Example: `json_reader r(value, "", errors); auto m = r.text("model"); r.finish();`
class json_reader {
public:
    json_reader(const boost::json::value& value, std::string path,
                std::vector<validation_error>& errors);

    /// A required text that isn't empty.
    std::string text(std::string_view name);
    std::string text_or(std::string_view name, std::string_view default_value);
    std::int64_t number(std::string_view name, std::int64_t min_value, std::int64_t max_value);
    std::int64_t number_or(std::string_view name, std::int64_t default_value,
                           std::int64_t min_value, std::int64_t max_value);
    double real_or(std::string_view name, double default_value, double min_value, double max_value);
    bool flag_or(std::string_view name, bool default_value);
    /// A child value, or null when absent.
    const boost::json::value* child(std::string_view name);
    /// An object child's members, none when absent.
    const boost::json::object* object_or_none(std::string_view name);
    /// An array child's elements, none when absent.
    const boost::json::array* array_or_none(std::string_view name);
    /// Reports a mistake at a field.
    void error(std::string_view name, std::string found, std::string expected);
    /// Reports fields that were never asked for.
    void finish();
    bool is_object() const { return object_ != nullptr; }
    std::string path_of(std::string_view name) const;

private:
    const boost::json::object* object_ = nullptr;
    std::string path_;
    std::vector<validation_error>* errors_;
    std::vector<std::string> requested_;
};

/// Field of an answer from an outside system, where a missing or wrong one is just absent.
std::string text_at(const boost::json::value& value, std::string_view name);
std::int64_t number_at(const boost::json::value& value, std::string_view name,
                       std::int64_t default_value = 0);
double real_at(const boost::json::value& value, std::string_view name, double default_value = 0.0);

} // namespace bamboostream
