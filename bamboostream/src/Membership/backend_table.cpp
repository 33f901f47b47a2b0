#include "bamboostream/src/Membership/backend_table.h"

#include <utility>

namespace bamboostream {

namespace {
/// Two polls, so that a single lost packet does not mark a server as down.
constexpr int failed_polls_until_down = 2;
} // namespace

void backend_table::set_state(record& r, backend_state state) {
    if (r.facts.state == state) {
        return;
    }
    const backend_state before = std::exchange(r.facts.state, state);
    changes_.push_back({r.facts, before, false});
}

void backend_table::update_from_list(const std::vector<backend_facts>& listed, time_point) {
    for (auto& [address, r] : backends_) {
        r.listed = false;
    }
    for (const backend_facts& facts : listed) {
        const auto [found, is_new] = backends_.try_emplace(facts.id.text());
        record& r = found->second;
        r.listed = true;
        if (is_new) {
            r.facts = facts;
            changes_.push_back({r.facts, facts.state, true});
            continue;
        }
        r.facts.group = facts.group;
        r.facts.failure_domain = facts.failure_domain;
        // The list may be the first to report leaving, but it never revokes it.
        if (facts.state == backend_state::leaving &&
            (facts.start_stamp == 0 || facts.start_stamp == r.facts.start_stamp)) {
            set_state(r, backend_state::leaving);
        }
    }
    std::erase_if(backends_, [](const auto& item) {
        return !item.second.listed && item.second.facts.state == backend_state::down;
    });
}

void backend_table::observe(std::string_view address, wall_time start_stamp, backend_state state,
                            time_point) {
    const auto found = backends_.find(address);
    if (found == backends_.end() || start_stamp < found->second.facts.start_stamp) {
        return;
    }
    record& r = found->second;
    r.facts.failed_polls = 0;
    if (start_stamp > r.facts.start_stamp) {
        r.facts.start_stamp = start_stamp;
        set_state(r, state);
        return;
    }
    const bool sticky = r.facts.state == backend_state::leaving;
    if (!sticky) {
        set_state(r, state);
    }
}

void backend_table::observe_failure(std::string_view address, time_point) {
    const auto found = backends_.find(address);
    if (found == backends_.end()) {
        return;
    }
    record& r = found->second;
    if (++r.facts.failed_polls >= failed_polls_until_down && r.facts.state == backend_state::live) {
        set_state(r, backend_state::down);
    }
}

std::vector<backend_facts> backend_table::group(std::string_view name) const {
    std::vector<backend_facts> out;
    for (const auto& [address, r] : backends_) {
        if (r.facts.group == name) {
            out.push_back(r.facts);
        }
    }
    return out;
}

std::vector<backend_facts> backend_table::all() const {
    std::vector<backend_facts> out;
    for (const auto& [address, r] : backends_) {
        out.push_back(r.facts);
    }
    return out;
}

std::optional<backend_facts> backend_table::find(std::string_view address) const {
    const auto found = backends_.find(address);
    return found == backends_.end() ? std::nullopt : std::optional(found->second.facts);
}

bool backend_table::may_get_work(std::string_view address) const {
    const auto found = backends_.find(address);
    return found != backends_.end() && found->second.facts.state == backend_state::live;
}

std::vector<backend_change> backend_table::take_changes() {
    return std::exchange(changes_, {});
}

} // namespace bamboostream
