#include "bamboostream/src/Configuration/configuration_state.h"

#include <algorithm>
#include <utility>

namespace bamboostream {

namespace json = boost::json;

namespace {

constexpr std::size_t max_skipped_records = 5'000;
constexpr std::size_t max_accepted_ids = 2'000;
constexpr std::size_t max_history_entries = 200;
constexpr std::size_t max_removed_entries = 20'000;

struct entry_name {
    std::string section;
    std::string name;
};

std::optional<entry_name> split_entry(std::string_view entry) {
    const std::size_t slash = entry.find('/');
    if (slash == std::string_view::npos || slash + 1 == entry.size()) {
        return std::nullopt;
    }
    entry_name out{std::string(entry.substr(0, slash)), std::string(entry.substr(slash + 1))};
    const bool known = std::find(document_sections.begin(), document_sections.end(), out.section) !=
                       document_sections.end();
    return known ? std::optional(out) : std::nullopt;
}

} // namespace

json::value configuration_state::assemble(const std::map<std::string, entry>& entries) const {
    json::object document;
    for (const std::string_view section : document_sections) {
        document[section] = json::object{};
    }
    for (const auto& [name, e] : entries) {
        const auto parts = split_entry(name);
        document[parts->section].as_object()[parts->name] = e.value;
    }
    return document;
}

json::value configuration_state::document_json() const {
    return assemble(entries_);
}

void configuration_state::note_first_offset(std::int64_t first_offset) {
    if (first_offset > next_offset_) {
        next_offset_ = first_offset;
        readable_from_ = first_offset;
        is_complete_ = false;
        skipped_.clear();
    }
}

std::optional<submission_verdict> configuration_state::apply(const log_record& record) {
    if (record.offset < next_offset_) {
        return std::nullopt;
    }
    next_offset_ = record.offset + 1;
    std::string why;
    const auto value = parse_json(record.data, why);
    if (!value || !value->is_object()) {
        return std::nullopt;
    }
    const std::string kind = text_at(*value, "kind");
    if (kind == "snapshot") {
        apply_snapshot(*value);
        return std::nullopt;
    }
    if (kind != "submission") {
        return std::nullopt;
    }
    if (!is_complete_) {
        skipped_.push_back(record);
        if (skipped_.size() > max_skipped_records) {
            readable_from_ = skipped_.front().offset + 1;
            skipped_.pop_front();
        }
    }
    return decide(*value, record.offset, record.time);
}

submission_verdict configuration_state::decide(const json::value& record, std::int64_t offset,
                                               wall_time time) {
    submission_verdict verdict;
    verdict.version = version_;
    std::vector<validation_error> errors;
    const auto submission = parse_submission(record, errors);
    verdict.id = text_at(record, "id");
    if (!submission) {
        verdict.outcome = submission_outcome::invalid;
        for (const validation_error& error : errors) {
            verdict.reasons.push_back(to_string(error));
        }
        return verdict;
    }
    if (!is_complete_) {
        // Earlier records are missing, so conflicts can't be detected here. A peer's state or the
        // next snapshot decides; a guess could put two versions into force.
        return verdict;
    }
    if (std::find(accepted_ids_.begin(), accepted_ids_.end(), submission->id) !=
        accepted_ids_.end()) {
        verdict.outcome = submission_outcome::repeated;
        return verdict;
    }
    std::map<std::string, entry> next = entries_;
    history_entry accepted{offset + 1, submission->author, {}, time};
    for (const configuration_change& change : submission->changes) {
        const auto known = entries_.find(change.entry);
        const auto gone = removed_.find(change.entry);
        const std::int64_t changed = known != entries_.end()  ? known->second.version
                                     : gone != removed_.end() ? gone->second
                                                              : 0;
        if (changed > submission->base) {
            verdict.reasons.push_back(change.entry);
        }
        accepted.entries.push_back(change.entry);
        if (change.value.is_null()) {
            next.erase(change.entry);
        } else {
            next[change.entry] = {offset + 1, change.value};
        }
    }
    if (!verdict.reasons.empty()) {
        verdict.outcome = submission_outcome::conflict;
        return verdict;
    }
    auto document = validate_document(assemble(next), errors);
    if (!document) {
        verdict.outcome = submission_outcome::invalid;
        for (const validation_error& error : errors) {
            verdict.reasons.push_back(to_string(error));
        }
        return verdict;
    }
    for (const configuration_change& change : submission->changes) {
        if (change.value.is_null()) {
            removed_[change.entry] = offset + 1;
        } else {
            removed_.erase(change.entry);
        }
    }
    entries_ = std::move(next);
    document_ = std::make_shared<configuration_document>(std::move(*document));
    version_ = offset + 1;
    accepted_ids_.push_back(submission->id);
    if (accepted_ids_.size() > max_accepted_ids) {
        accepted_ids_.pop_front();
    }
    while (removed_.size() > max_removed_entries) {
        removed_.erase(
            std::min_element(removed_.begin(), removed_.end(),
                             [](const auto& a, const auto& b) { return a.second < b.second; }));
    }
    history_.push_back(std::move(accepted));
    if (history_.size() > max_history_entries) {
        history_.pop_front();
    }
    verdict.outcome = submission_outcome::accepted;
    verdict.version = version_;
    return verdict;
}

void configuration_state::apply_snapshot(const json::value& record) {
    const json::value* state = record.get_object().if_contains("state");
    if (is_complete_ || state == nullptr || number_at(record, "as_of") < readable_from_) {
        return;
    }
    // The snapshot contains all records before "as_of". Submissions read since then, which could
    // not be decided without it, are decided now.
    if (!apply_state(*state)) {
        return;
    }
    const std::int64_t as_of = number_at(record, "as_of");
    const std::deque<log_record> skipped = std::exchange(skipped_, {});
    for (const log_record& later : skipped) {
        std::string why;
        const auto value = later.offset >= as_of ? parse_json(later.data, why) : std::nullopt;
        if (value) {
            decide(*value, later.offset, later.time);
        }
    }
}

bool configuration_state::apply_state(const json::value& state) {
    const std::int64_t version = number_at(state, "version", -1);
    const std::int64_t as_of = number_at(state, "next_offset", -1);
    const json::value* entries =
        state.is_object() ? state.get_object().if_contains("entries") : nullptr;
    if (version < 0 || entries == nullptr || !entries->is_object()) {
        return false;
    }
    std::map<std::string, entry> next;
    for (const auto& item : entries->get_object()) {
        const std::string name(item.key());
        const json::value* value =
            item.value().is_object() ? item.value().get_object().if_contains("value") : nullptr;
        if (!split_entry(name) || value == nullptr) {
            return false;
        }
        next[name] = {number_at(item.value(), "version"), *value};
    }
    std::vector<validation_error> errors;
    auto document = validate_document(assemble(next), errors);
    if (!document) {
        return false;
    }
    entries_ = std::move(next);
    document_ = std::make_shared<configuration_document>(std::move(*document));
    version_ = version;
    next_offset_ = std::max(next_offset_, as_of);
    is_complete_ = true;
    removed_.clear();
    accepted_ids_.clear();
    const json::object& object = state.get_object();
    if (const json::value* removed = object.if_contains("removed");
        removed && removed->is_object()) {
        for (const auto& item : removed->get_object()) {
            removed_[std::string(item.key())] = item.value().to_number<std::int64_t>();
        }
    }
    if (const json::value* ids = object.if_contains("ids"); ids && ids->is_array()) {
        for (const json::value& id : ids->get_array()) {
            accepted_ids_.emplace_back(id.as_string());
        }
    }
    return true;
}

bool configuration_state::adopt(std::string_view peer_state) {
    std::string why;
    const auto state = parse_json(peer_state, why);
    if (!state) {
        return false;
    }
    const std::int64_t version = number_at(*state, "version", -1);
    const std::int64_t next = number_at(*state, "next_offset", -1);
    // A peer that has read less of the log may lack a newer version; one that has read more has the
    // same version or a newer one.
    const bool newer = next > next_offset_ && version >= version_;
    const bool fills_hole = !is_complete_ && next >= next_offset_ && version >= version_;
    return (newer || fills_hole) && apply_state(*state);
}

std::string configuration_state::serialize() const {
    json::object entries;
    for (const auto& [name, e] : entries_) {
        entries[name] = json::object{{"version", e.version}, {"value", e.value}};
    }
    json::object removed;
    for (const auto& [name, version] : removed_) {
        removed[name] = version;
    }
    json::array ids(accepted_ids_.begin(), accepted_ids_.end());
    return json::serialize(json::object{{"version", version_},
                                        {"next_offset", next_offset_},
                                        {"entries", std::move(entries)},
                                        {"removed", std::move(removed)},
                                        {"ids", std::move(ids)}});
}

std::string configuration_state::snapshot_record() const {
    std::string record = R"({"kind":"snapshot","as_of":)";
    record += std::to_string(next_offset_);
    record += R"(,"state":)";
    record += serialize();
    record += '}';
    return record;
}

std::string configuration_state::submission_record(const configuration_submission& submission) {
    json::array changes;
    for (const configuration_change& change : submission.changes) {
        changes.push_back(json::object{{"entry", change.entry}, {"value", change.value}});
    }
    return json::serialize(json::object{{"kind", "submission"},
                                        {"id", submission.id},
                                        {"base", submission.base},
                                        {"author", submission.author},
                                        {"changes", std::move(changes)}});
}

std::vector<configuration_change> difference(const json::value& from, const json::value& to) {
    std::vector<configuration_change> out;
    static const json::object none;
    const auto section_of = [](const json::value& document,
                               std::string_view section) -> const json::object& {
        const json::value* found =
            document.is_object() ? document.get_object().if_contains(section) : nullptr;
        return found != nullptr && found->is_object() ? found->get_object() : none;
    };
    for (const std::string_view section : document_sections) {
        // Documents in version control contain no cordons; submitting one must not remove them.
        if (section == cordons_section && !(to.is_object() && to.get_object().contains(section))) {
            continue;
        }
        const json::object& old_entries = section_of(from, section);
        const json::object& new_entries = section_of(to, section);
        for (const auto& item : new_entries) {
            const json::value* old = old_entries.if_contains(item.key());
            if (old == nullptr || *old != item.value()) {
                out.push_back({std::string(section) + "/" + std::string(item.key()), item.value()});
            }
        }
        for (const auto& item : old_entries) {
            if (!new_entries.contains(item.key())) {
                out.push_back({std::string(section) + "/" + std::string(item.key()), nullptr});
            }
        }
    }
    return out;
}

std::optional<configuration_submission> parse_submission(const json::value& value,
                                                         std::vector<validation_error>& errors) {
    const std::size_t before = errors.size();
    configuration_submission out;
    json_reader r(value, "", errors);
    r.text_or("kind", "submission");
    out.id = r.text("id");
    out.base = r.number("base", 0, INT64_MAX);
    out.author = r.text_or("author", "");
    const json::array* changes = r.array_or_none("changes");
    if (changes == nullptr || changes->empty()) {
        r.error("changes", "nothing", "at least one change");
    } else {
        for (std::size_t i = 0; i < changes->size(); ++i) {
            const json::value& change = (*changes)[i];
            const std::string entry = text_at(change, "entry");
            if (!split_entry(entry)) {
                r.error("changes/" + std::to_string(i) + "/entry", entry,
                        "workspaces/…, pools/…, services/…, resume_keys/… or cordons/…");
                continue;
            }
            const json::value* entry_value = change.get_object().if_contains("value");
            out.changes.push_back({entry, entry_value == nullptr ? json::value() : *entry_value});
        }
    }
    r.finish();
    return errors.size() == before ? std::optional(std::move(out)) : std::nullopt;
}

} // namespace bamboostream
