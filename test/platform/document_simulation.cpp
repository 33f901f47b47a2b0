#include "test/platform/document_simulation.h"

#include <algorithm>
#include <fmt/format.h>

namespace bamboostream::test {

namespace {

constexpr std::int64_t version_before = 1;
constexpr std::int64_t version_after = 2;
constexpr milliseconds propagation_delay{1};
constexpr milliseconds announcement_period{300};
constexpr seconds max_simulated_time{20};
/// Size of a frame without the bytes of its piece.
constexpr std::size_t frame_bytes = 200;
constexpr int max_direct_recipients = 96;
constexpr std::size_t readers = 2;

std::string name_of(std::size_t i) {
    return fmt::format("{}", i);
}
std::size_t index_of(const std::string& name) {
    return std::stoul(name);
}

} // namespace

document_simulation::document_simulation(const simulated_deployment& plan,
                                         const std::shared_ptr<const std::string>& before,
                                         std::shared_ptr<const std::string> after)
    : plan_(plan), after_(std::move(after)), all_(static_cast<std::size_t>(plan.instances)) {
    std::mt19937_64 random(5);
    for (std::size_t i = 0; i < all_.size(); ++i) {
        instance& it = all_[i];
        const double mbps = is_large(i) ? plan.large_link_mbps : plan.link_mbps;
        it.bytes_per_second = mbps * 1e6 / 8.0;
        it.fetcher = std::make_unique<document_fetcher>(i + 1);
        it.provider =
            std::make_unique<document_provider>(document_provider::max_served_for_link(mbps));
        if (before) {
            it.provider->set_document(version_before, before);
            it.fetcher->set_held(version_before, it.provider->digest());
        }
        const bool may_be_unreachable = i >= readers && !relays(i);
        it.reachable = !may_be_unreachable ||
                       std::uniform_real_distribution<>(0, 1)(random) >= plan.unreachable_share;
    }
    if (plan.has_dead_relay) {
        const auto found =
            std::find_if(all_.begin() + readers, all_.end(), [&](const instance& it) {
                return relays(static_cast<std::size_t>(&it - all_.data()));
            });
        if (found != all_.end()) {
            found->silent = true;
            found->reachable = false;
        }
    }
}

/// Relays are two instances of each failure domain other than the readers, preferably ones with a
/// large link.
bool document_simulation::relays(std::size_t i) const {
    if (plan_.instances <= max_direct_recipients || i < readers) {
        return false;
    }
    const auto domains = static_cast<std::size_t>(plan_.failure_domains);
    std::vector<std::size_t> order;
    for (const bool wanted : {true, false}) {
        for (std::size_t k = readers; k < all_.size(); ++k) {
            if (k % domains == i % domains && is_large(k) == wanted) {
                order.push_back(k);
            }
        }
    }
    return i == order[0] || i == order[1];
}

bool document_simulation::is_large(std::size_t i) const {
    return plan_.large_link_interval > 0 &&
           i % static_cast<std::size_t>(plan_.large_link_interval) < 2;
}

void document_simulation::at(time_point when, std::function<void()> action) {
    events_.push({when, order_++, std::move(action)});
}

void document_simulation::send(std::size_t from, std::size_t to, std::size_t bytes,
                               std::function<void()> arrive) {
    instance& a = all_[from];
    instance& b = all_[to];
    const auto transfer_time = [bytes](const instance& it) {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(static_cast<double>(bytes) / it.bytes_per_second));
    };
    a.sender_free_at = std::max(a.sender_free_at, now_) + transfer_time(a);
    a.sent += bytes;
    if (!a.reachable || !b.reachable) {
        return;
    }
    const time_point comes = a.sender_free_at + propagation_delay;
    b.receiver_free_at = std::max({comes, b.receiver_free_at + transfer_time(b)});
    at(b.receiver_free_at, std::move(arrive));
}

void document_simulation::announce(std::size_t from, std::size_t to, bool pass_on,
                                   const std::string& announcer) {
    send(from, to, frame_bytes, [this, from, to, pass_on, announcer] {
        const std::string sender = name_of(from);
        all_[to].fetcher->add_source(sender, version_after, now_);
        if (announcer != sender) {
            all_[to].fetcher->add_source(announcer, version_after, now_);
        }
        wake(to);
        if (!pass_on) {
            return;
        }
        const auto domains = static_cast<std::size_t>(plan_.failure_domains);
        for (std::size_t i = 0; i < all_.size(); ++i) {
            if (i % domains == to % domains && i != to) {
                announce(to, i, false, announcer);
            }
        }
    });
}

void document_simulation::wake(std::size_t i) {
    instance& it = all_[i];
    if (it.silent || it.completed_at) {
        return;
    }
    it.needs_store = it.needs_store || it.fetcher->is_stalled(now_);
    if (const auto outgoing_request = it.fetcher->next(now_)) {
        send_request(i, *outgoing_request);
    }
    const time_point due = it.fetcher->due(now_);
    if (due < time_point::max() && (due < it.wakes_at || it.wakes_at <= now_)) {
        it.wakes_at = std::max(due, now_ + milliseconds(1));
        at(it.wakes_at, [this, i] { wake(i); });
    }
}

void document_simulation::send_request(std::size_t i,
                                       const document_fetcher::outgoing_request& outgoing_request) {
    const std::size_t to = index_of(outgoing_request.to);
    send(i, to, frame_bytes, [this, i, to, request = outgoing_request.request] {
        if (all_[to].silent) {
            return;
        }
        document_piece piece = answer_request(to, request, i);
        const std::size_t bytes = frame_bytes + piece.bytes.size();
        send(to, i, bytes, [this, i, to, piece = std::move(piece)] { take(i, piece, to); });
    });
}

document_piece document_simulation::answer_request(std::size_t i, const document_request& request,
                                                   std::size_t requester) {
    return answer_from(*all_[i].provider, *all_[i].fetcher, request, name_of(requester), now_);
}

void document_simulation::take(std::size_t i, const document_piece& piece, std::size_t from) {
    instance& it = all_[i];
    if (it.fetcher->take(piece, name_of(from), now_) == piece_result::complete) {
        const encoded_document received = it.fetcher->received();
        it.provider->set_document(version_after, after_);
        it.provider->cache_encoding(received);
        it.fetcher->set_held(version_after, it.provider->digest());
        it.completed_at = now_;
        return;
    }
    wake(i);
}

simulation_result document_simulation::run() {
    const time_point began{};
    for (std::size_t reader = 0; reader < readers; ++reader) {
        all_[reader].provider->set_document(version_after, after_);
        all_[reader].fetcher->set_held(version_after, all_[reader].provider->digest());
        all_[reader].completed_at = began;
    }
    const std::function<void()> announce_all = [&] {
        for (std::size_t reader = 0; reader < readers; ++reader) {
            for (std::size_t i = 0; i < all_.size(); ++i) {
                const bool to_all = plan_.instances <= max_direct_recipients;
                if (i != reader && (to_all || relays(i))) {
                    announce(reader, i, !to_all, name_of(reader));
                }
            }
        }
        at(now_ + announcement_period, announce_all);
    };
    at(began, announce_all);
    const auto unfinished = [&] {
        return std::count_if(all_.begin(), all_.end(),
                             [](const instance& it) { return it.reachable && !it.completed_at; });
    };
    while (!events_.empty() && now_ < began + max_simulated_time && unfinished() > 0) {
        const event next = events_.top();
        events_.pop();
        now_ = next.at;
        next.action();
    }
    simulation_result out;
    out.incomplete = static_cast<int>(unfinished());
    for (const instance& it : all_) {
        out.last =
            it.reachable
                ? std::max(out.last, it.completed_at.value_or(began + max_simulated_time) - began)
                : out.last;
        out.max_sent = std::max(out.max_sent, it.sent);
        out.total_sent += it.sent;
        out.used_store += it.needs_store ? 1 : 0;
    }
    return out;
}

} // namespace bamboostream::test
