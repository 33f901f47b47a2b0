#include "bamboostream/src/Routing/carrier_selector.h"

#include <algorithm>
#include <array>

namespace bamboostream {

namespace {

/// Instances answer within a few milliseconds. One that doesn't is not given up, but others are
/// asked as well.
constexpr milliseconds round_interval{30};
/// Instances that reach other servers of the service but not this one: then the server is down.
constexpr std::size_t max_server_failures = 3;
/// Limits of the instances that one search asks. The second one holds after a long search that has
/// found none: probably none of them reaches the service.
constexpr std::size_t max_asked = 128;
constexpr std::size_t max_asked_when_limited = 8;
constexpr milliseconds limited_time{2'500};
/// An instance that carries no tunnels now is asked again after this time.
constexpr milliseconds carrier_pause{1'000};
/// An instance that got no answer from a server is asked for that server again after this time.
constexpr milliseconds no_answer_pause{2'500};
/// As above after a refused connection: a server that has started again accepts connections.
constexpr milliseconds refused_pause{500};
/// An instance that reaches no server of a service is asked for any of them again after this time.
constexpr milliseconds cut_off_pause{2'500};
/// How long it counts that an instance has connected.
constexpr seconds connected_validity{5};
constexpr seconds load_validity{5};
constexpr milliseconds unreachable_pause{250};
/// If no other instance is left, those that failed longer ago than this are asked again, so that a
/// network failure that ends is noticed soon, but only few in each search.
constexpr milliseconds retry_pause{250};
constexpr std::size_t max_asked_again = 3;
/// Instances that carry a greater share of what they can are no longer preferred.
constexpr double loaded = 0.5;
/// How many instances of other failure domains are asked before one of a failure domain that is
/// probably cut off.
constexpr std::size_t cut_off_handicap = 2;

/// The end of the validity of a fact.
time_point end_of(time_point until) {
    return until;
}

template <typename record> time_point end_of(const record& it) {
    return it.until;
}

template <typename map_type, typename key_type>
auto find_valid(const map_type& facts, const key_type& key, time_point now) {
    const auto found = facts.find(key);
    return found != facts.end() && now < end_of(found->second) ? &found->second : nullptr;
}

template <typename map_type> void erase_over(map_type& facts, time_point now) {
    std::erase_if(facts, [now](const auto& item) { return now >= end_of(item.second); });
}

} // namespace

bool carrier_selector::may_search(const backend_id& server, time_point now) const {
    const auto found = unreachable_until_.find(server);
    return found == unreachable_until_.end() || now >= found->second;
}

std::string_view carrier_selector::to_string(belief known) {
    constexpr std::array<std::string_view, static_cast<std::size_t>(belief::count_)> names = {
        "domain_cut_off", "domain_mixed", "unknown", "domain_connected", "connected"};
    return names.at(static_cast<std::size_t>(known));
}

carrier_selector::domain_tallies
carrier_selector::tally(const service_state& service, std::span<const carrier_candidate> candidates,
                        time_point now) {
    domain_tallies out;
    for (const carrier_candidate& it : candidates) {
        domain_tally& domain = out[it.failure_domain];
        domain.connected += find_valid(service.connected_until, it.address, now) != nullptr ? 1 : 0;
        domain.cut_off += find_valid(service.cut_off, it.address, now) != nullptr ? 1 : 0;
    }
    return out;
}

carrier_selector::belief carrier_selector::known_of(const service_state& service,
                                                    const domain_tallies& domains,
                                                    const carrier_candidate& carrier,
                                                    time_point now) {
    if (find_valid(service.connected_until, carrier.address, now) != nullptr) {
        return belief::connected;
    }
    const domain_tally& domain = domains.at(carrier.failure_domain);
    if (domain.cut_off > 0) {
        return domain.cut_off > domain.connected ? belief::domain_cut_off : belief::domain_mixed;
    }
    return domain.connected > 0 ? belief::domain_connected : belief::unknown;
}

bool carrier_selector::is_loaded(const std::string& carrier, time_point now) const {
    const auto found = carriers_.find(carrier);
    return found != carriers_.end() && now < found->second.load_known_until &&
           found->second.load >= loaded;
}

carrier_selector::eligibility carrier_selector::may_ask(const carrier_search& search,
                                                        const service_state& service,
                                                        const carrier_candidate& carrier,
                                                        time_point now) const {
    const auto known = carriers_.find(carrier.address);
    if (known != carriers_.end() && now < known->second.excluded_until) {
        return eligibility::excluded;
    }
    const failure_record* cut_off = find_valid(service.cut_off, carrier.address, now);
    const failure_record* failed =
        find_valid(failures_, std::pair(carrier.address, search.server), now);
    if (cut_off == nullptr && failed == nullptr) {
        return eligibility::first;
    }
    // The service may have got a server that the instance reaches.
    return failed == nullptr || now >= failed->at + retry_pause ? eligibility::last
                                                                : eligibility::excluded;
}

int carrier_selector::rank(const carrier_search& search, const carrier_candidate& carrier,
                           belief known, time_point now) const {
    const bool own = carrier.failure_domain == own_domain_;
    const bool at_server = carrier.failure_domain == search.server_domain;
    if (known == belief::domain_cut_off) {
        return 3;
    }
    if (known == belief::domain_mixed || is_loaded(carrier.address, now)) {
        return 2;
    }
    // The own failure domain is likely to share the fate of this instance, until it is known.
    return at_server || (own && known != belief::unknown) ? 0 : 1;
}

carrier_selector::preference carrier_selector::prefer(const carrier_search& search,
                                                      const carrier_candidate& carrier,
                                                      belief known, time_point now) {
    preference out;
    const auto asked = search.asked_in.find(carrier.failure_domain);
    out.asked_before = (asked == search.asked_in.end() ? 0 : asked->second) +
                       (known == belief::domain_cut_off ? cut_off_handicap : 0);
    out.rank = rank(search, carrier, known, now);
    // The smallest of several such values belongs to each candidate with a probability in
    // proportion to its weight.
    out.random = std::exponential_distribution<double>(std::max(carrier.weight, 1e-3))(random_);
    return out;
}

std::size_t carrier_selector::round_size(const carrier_search& search, const service_state& service,
                                         time_point now) {
    const std::size_t most = now < service.limited_until ? max_asked_when_limited : max_asked;
    if (search.asked >= most) {
        return 0;
    }
    const bool widens = search.server_failures == 0 && search.rounds > 1;
    const std::size_t size =
        widens ? std::size_t{1} << std::min(search.rounds - 1, std::size_t{8}) : std::size_t{1};
    return std::min(size, most - search.asked);
}

std::vector<chosen_carrier> carrier_selector::choose(carrier_search& search,
                                                     std::span<const carrier_candidate> candidates,
                                                     time_point now) {
    if (search.server_failures >= max_server_failures ||
        (search.in_flight > 0 && now < search.next_round)) {
        return {};
    }
    struct ranked_candidate {
        preference order;
        chosen_carrier chosen;
    };
    service_state& service = services_[search.service];
    const domain_tallies domains = tally(service, candidates, now);
    std::vector<ranked_candidate> ranked;
    std::vector<ranked_candidate> failed;
    search.waits_for_others = false;
    for (const carrier_candidate& it : candidates) {
        const eligibility eligible = may_ask(search, service, it, now);
        if (eligible == eligibility::excluded) {
            continue;
        }
        const belief known = known_of(service, domains, it, now);
        if (known != belief::connected && service.in_flight.contains(it.address)) {
            search.waits_for_others = true;
            continue;
        }
        (eligible == eligibility::first ? ranked : failed)
            .push_back({prefer(search, it, known, now), {&it, to_string(known)}});
    }
    std::size_t count = std::min(round_size(search, service, now), ranked.size());
    if (ranked.empty() && !search.waits_for_others && !failed.empty() && search.in_flight == 0 &&
        search.asked_again < max_asked_again) {
        ranked = std::move(failed);
        count = 1;
        ++search.asked_again;
    }
    std::partial_sort(
        ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
        [](const ranked_candidate& a, const ranked_candidate& b) { return a.order < b.order; });
    std::vector<chosen_carrier> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back(ranked[i].chosen);
        ++search.asked_in[out.back().carrier->failure_domain];
        ++service.in_flight[out.back().carrier->address];
    }
    search.asked += count;
    search.in_flight += count;
    ++search.rounds;
    search.next_round = now + round_interval;
    return out;
}

void carrier_selector::record(carrier_search& search, const carrier_candidate& carrier,
                              const carrier_reply& reply, time_point now) {
    service_state& service = services_[search.service];
    --search.in_flight;
    if (const auto found = service.in_flight.find(carrier.address);
        found != service.in_flight.end() && --found->second == 0) {
        service.in_flight.erase(found);
    }
    switch (reply.answer) {
    case carrier_answer::connected:
        service.connected_until[carrier.address] = now + connected_validity;
        service.cut_off.erase(carrier.address);
        failures_.erase(std::pair(carrier.address, search.server));
        carriers_[carrier.address] = {now, reply.load, now + load_validity};
        break;
    case carrier_answer::leaving:
        search.server_failures = max_server_failures;
        break;
    case carrier_answer::busy:
    case carrier_answer::no_reply:
        carriers_[carrier.address] = {now + carrier_pause, 1.0, now + load_validity};
        break;
    default:
        failures_[std::pair(carrier.address, search.server)] = {
            now, now + (reply.answer == carrier_answer::refused ? refused_pause : no_answer_pause)};
        if (reply.service == service_reach::not_reached) {
            service.cut_off[carrier.address] = {now, now + cut_off_pause};
            service.connected_until.erase(carrier.address);
        } else if (reply.service == service_reach::reached) {
            ++search.server_failures;
        }
    }
}

bool carrier_selector::is_exhausted(const carrier_search& search) {
    return search.server_failures >= max_server_failures ||
           (search.in_flight == 0 && !search.waits_for_others);
}

void carrier_selector::record_not_found(const carrier_search& search, time_point now) {
    if (is_exhausted(search)) {
        unreachable_until_[search.server] = now + unreachable_pause;
    }
    service_state& service = services_[search.service];
    erase_over(service.connected_until, now);
    if (search.asked >= max_asked_when_limited && service.connected_until.empty()) {
        service.limited_until = now + limited_time;
    }
}

void carrier_selector::expire(time_point now) {
    erase_over(failures_, now);
    erase_over(unreachable_until_, now);
    std::erase_if(carriers_, [now](const auto& item) {
        return now >= item.second.excluded_until && now >= item.second.load_known_until;
    });
    for (auto& [id, service] : services_) {
        erase_over(service.connected_until, now);
        erase_over(service.cut_off, now);
    }
    std::erase_if(services_, [now](const auto& item) {
        const service_state& it = item.second;
        return it.connected_until.empty() && it.cut_off.empty() && it.in_flight.empty() &&
               now >= it.limited_until;
    });
}

std::size_t carrier_selector::size() const {
    std::size_t count = carriers_.size() + failures_.size() + unreachable_until_.size();
    for (const auto& [id, service] : services_) {
        count += service.connected_until.size() + service.cut_off.size() + service.in_flight.size();
    }
    return count;
}

} // namespace bamboostream
