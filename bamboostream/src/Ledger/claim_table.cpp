#include "bamboostream/src/Ledger/claim_table.h"

#include "bamboostream/src/Contracts/json_reader.h"

#include <algorithm>
#include <array>

namespace bamboostream {

namespace json = boost::json;

namespace {
constexpr std::array<std::string_view, 3> kind_names = {"claim", "outcome", "void"};
} // namespace

std::string encode_ledger_record(std::span<const ledger_entry> entries) {
    json::array out;
    for (const ledger_entry& entry : entries) {
        json::object object{{"k", kind_names[static_cast<std::size_t>(entry.kind)]},
                            {"w", entry.workspace},
                            {"key", entry.key},
                            {"c", entry.claim}};
        if (entry.kind == ledger_kind::claim) {
            object["a"] = entry.claimant.address;
            object["s"] = entry.claimant.start_stamp;
            object["d"] = entry.call_digest;
        } else if (entry.kind == ledger_kind::outcome) {
            object["st"] = entry.status;
            object["b"] = entry.body;
        }
        out.push_back(std::move(object));
    }
    return json::serialize(out);
}

std::vector<ledger_entry> decode_ledger_record(std::string_view data) {
    std::vector<ledger_entry> out;
    std::string why;
    const auto value = parse_json(data, why);
    if (!value || !value->is_array()) {
        return out;
    }
    for (const json::value& item : value->get_array()) {
        const std::string kind = text_at(item, "k");
        const auto found = std::find(kind_names.begin(), kind_names.end(), kind);
        if (found == kind_names.end()) {
            continue;
        }
        ledger_entry entry;
        entry.kind = static_cast<ledger_kind>(found - kind_names.begin());
        entry.workspace = text_at(item, "w");
        entry.key = text_at(item, "key");
        entry.claim = text_at(item, "c");
        entry.claimant = {text_at(item, "a"), number_at(item, "s")};
        entry.call_digest = text_at(item, "d");
        entry.status = static_cast<int>(number_at(item, "st"));
        entry.body = text_at(item, "b");
        out.push_back(std::move(entry));
    }
    return out;
}

std::string claim_table::call_name(std::string_view workspace, std::string_view key) {
    std::string name(workspace);
    name += '\x1f';
    name += key;
    return name;
}

void claim_table::apply(const log_record& record) {
    if (record.offset < next_offset_) {
        return;
    }
    next_offset_ = record.offset + 1;
    for (const ledger_entry& entry : decode_ledger_record(record.data)) {
        apply_entry(entry, record.time);
    }
}

void claim_table::apply_entry(const ledger_entry& entry, wall_time time) {
    const std::string name = call_name(entry.workspace, entry.key);
    const auto [found, is_new] = calls_.try_emplace(name);
    call& c = found->second;
    c.last_updated = time;
    by_age_.push_back({time, name});
    const auto existing = std::find_if(c.claims.begin(), c.claims.end(), [&](const claim& known) {
        return known.name == entry.claim;
    });
    if (existing == c.claims.end()) {
        // An outcome or void entry may precede its claim: if the response to the claim's append was
        // lost, the claimant voids the claim, and the claim itself may reach the log later.
        claim added;
        added.name = entry.claim;
        added.claimant = entry.claimant;
        added.call_digest = entry.call_digest;
        added.is_void = entry.kind == ledger_kind::void_claim;
        added.decided = entry.kind == ledger_kind::outcome;
        added.status = entry.status;
        added.body = entry.body;
        c.claims.push_back(std::move(added));
        return;
    }
    if (entry.kind == ledger_kind::void_claim && !existing->decided) {
        existing->is_void = true;
    } else if (entry.kind == ledger_kind::outcome && !existing->decided) {
        existing->decided = true;
        existing->status = entry.status;
        existing->body = entry.body;
    }
}

void claim_table::note_first_offset(std::int64_t first_offset, wall_time oldest_readable) {
    if (first_offset > next_offset_) {
        // The log dropped records that this reader never saw.
        next_offset_ = first_offset;
        horizon_ = std::max(horizon_, oldest_readable);
    }
}

const claim_table::claim* claim_table::first_valid_claim(const call& c) {
    const auto found =
        std::find_if(c.claims.begin(), c.claims.end(), [](const claim& x) { return !x.is_void; });
    return found == c.claims.end() ? nullptr : &*found;
}

call_view claim_table::view(std::string_view workspace, std::string_view key) const {
    const auto found = calls_.find(call_name(workspace, key));
    const claim* winner = found == calls_.end() ? nullptr : first_valid_claim(found->second);
    if (winner == nullptr) {
        return {};
    }
    return {winner->decided ? call_state::decided : call_state::claimed,
            winner->name,
            winner->claimant,
            winner->call_digest,
            winner->status,
            winner->body};
}

claim_status claim_table::check_claim(std::string_view workspace, std::string_view key,
                                      std::string_view claim_name) const {
    const auto found = calls_.find(call_name(workspace, key));
    if (found == calls_.end()) {
        return claim_status::unread;
    }
    const auto own = std::find_if(found->second.claims.begin(), found->second.claims.end(),
                                  [&](const claim& known) { return known.name == claim_name; });
    if (own == found->second.claims.end()) {
        return claim_status::unread;
    }
    if (own->is_void) {
        return claim_status::is_void;
    }
    return first_valid_claim(found->second) == &*own ? claim_status::won : claim_status::lost;
}

void claim_table::prune_before(wall_time horizon) {
    while (!by_age_.empty() && by_age_.front().at < horizon) {
        const auto found = calls_.find(by_age_.front().name);
        if (found != calls_.end() && found->second.last_updated < horizon) {
            calls_.erase(found);
        }
        by_age_.pop_front();
    }
    horizon_ = std::max(horizon_, horizon);
}

} // namespace bamboostream
