#include "test/platform/document_play.h"

#include <algorithm>
#include <fmt/format.h>

namespace bamboostream::test {

namespace {

constexpr std::int64_t version_before = 1;
constexpr std::int64_t version_after = 2;
constexpr milliseconds under_way{1};
constexpr milliseconds told_again{300};
constexpr seconds longest_play{20};
/// A frame besides the bytes of its piece.
constexpr std::size_t frame_bytes = 200;
constexpr int told_directly = 96;
constexpr std::size_t readers = 2;

std::string name_of(std::size_t i) {
    return fmt::format("{}", i);
}
std::size_t index_of(const std::string& name) {
    return std::stoul(name);
}

} // namespace

document_play::document_play(const spread_plan& plan,
                             const std::shared_ptr<const std::string>& before,
                             std::shared_ptr<const std::string> after)
    : plan_(plan), after_(std::move(after)), all_(static_cast<std::size_t>(plan.instances)) {
    std::mt19937_64 random(5);
    for (std::size_t i = 0; i < all_.size(); ++i) {
        instance& it = all_[i];
        const double mbps = is_large(i) ? plan.large_mbps : plan.link_mbps;
        it.bytes_a_second = mbps * 1e6 / 8.0;
        it.fetch = std::make_unique<document_fetcher>(i + 1);
        it.shelf =
            std::make_unique<document_provider>(document_provider::max_served_for_link(mbps));
        if (before) {
            it.shelf->set_document(version_before, before);
            it.fetch->set_held(version_before, it.shelf->digest());
        }
        const bool may_be_cut = i >= readers && !relays(i);
        it.in_touch = !may_be_cut || std::uniform_real_distribution<>(0, 1)(random) >= plan.cut_off;
    }
    if (plan.relay_dead) {
        const auto found =
            std::find_if(all_.begin() + readers, all_.end(), [&](const instance& it) {
                return relays(static_cast<std::size_t>(&it - all_.data()));
            });
        if (found != all_.end()) {
            found->silent = true;
            found->in_touch = false;
        }
    }
}

/// Two in each failure domain, behind the readers; large ones where there are such.
bool document_play::relays(std::size_t i) const {
    if (plan_.instances <= told_directly || i < readers) {
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

bool document_play::is_large(std::size_t i) const {
    return plan_.large_each > 0 && i % static_cast<std::size_t>(plan_.large_each) < 2;
}

void document_play::at(time_point when, std::function<void()> act) {
    events_.push({when, order_++, std::move(act)});
}

void document_play::send(std::size_t from, std::size_t to, std::size_t bytes,
                         std::function<void()> arrive) {
    instance& a = all_[from];
    instance& b = all_[to];
    const auto needs = [bytes](const instance& it) {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(static_cast<double>(bytes) / it.bytes_a_second));
    };
    a.sends_from = std::max(a.sends_from, now_) + needs(a);
    a.sent += bytes;
    if (!a.in_touch || !b.in_touch) {
        return;
    }
    const time_point comes = a.sends_from + under_way;
    b.receives_from = std::max({comes, b.receives_from + needs(b)});
    at(b.receives_from, std::move(arrive));
}

void document_play::tell(std::size_t from, std::size_t to, bool pass_on,
                         const std::string& teller) {
    send(from, to, frame_bytes, [this, from, to, pass_on, teller] {
        const std::string sender = name_of(from);
        all_[to].fetch->add_source(sender, version_after, now_);
        if (teller != sender) {
            all_[to].fetch->add_source(teller, version_after, now_);
        }
        wake(to);
        if (!pass_on) {
            return;
        }
        const auto domains = static_cast<std::size_t>(plan_.failure_domains);
        for (std::size_t i = 0; i < all_.size(); ++i) {
            if (i % domains == to % domains && i != to) {
                tell(to, i, false, teller);
            }
        }
    });
}

void document_play::wake(std::size_t i) {
    instance& it = all_[i];
    if (it.silent || it.done) {
        return;
    }
    it.store = it.store || it.fetch->is_stalled(now_);
    if (const auto outgoing_request = it.fetch->next(now_)) {
        ask(i, *outgoing_request);
    }
    const time_point due = it.fetch->due(now_);
    if (due < time_point::max() && (due < it.woken_at || it.woken_at <= now_)) {
        it.woken_at = std::max(due, now_ + milliseconds(1));
        at(it.woken_at, [this, i] { wake(i); });
    }
}

void document_play::ask(std::size_t i, const document_fetcher::outgoing_request& outgoing_request) {
    const std::size_t to = index_of(outgoing_request.to);
    send(i, to, frame_bytes, [this, i, to, request = outgoing_request.request] {
        if (all_[to].silent) {
            return;
        }
        document_piece piece = look_up(to, request, i);
        const std::size_t bytes = frame_bytes + piece.bytes.size();
        send(to, i, bytes, [this, i, to, piece = std::move(piece)] { take(i, piece, to); });
    });
}

document_piece document_play::look_up(std::size_t i, const document_request& request,
                                      std::size_t asker) {
    return answer_from(*all_[i].shelf, *all_[i].fetch, request, name_of(asker), now_);
}

void document_play::take(std::size_t i, const document_piece& piece, std::size_t from) {
    instance& it = all_[i];
    if (it.fetch->take(piece, name_of(from), now_) == piece_result::complete) {
        const encoded_document received = it.fetch->received();
        it.shelf->set_document(version_after, after_);
        it.shelf->cache_encoding(received);
        it.fetch->set_held(version_after, it.shelf->digest());
        it.done = now_;
        return;
    }
    wake(i);
}

spread_outcome document_play::run() {
    const time_point began{};
    for (std::size_t reader = 0; reader < readers; ++reader) {
        all_[reader].shelf->set_document(version_after, after_);
        all_[reader].fetch->set_held(version_after, all_[reader].shelf->digest());
        all_[reader].done = began;
    }
    const std::function<void()> tell_all = [&] {
        for (std::size_t reader = 0; reader < readers; ++reader) {
            for (std::size_t i = 0; i < all_.size(); ++i) {
                const bool to_all = plan_.instances <= told_directly;
                if (i != reader && (to_all || relays(i))) {
                    tell(reader, i, !to_all, name_of(reader));
                }
            }
        }
        at(now_ + told_again, tell_all);
    };
    at(began, tell_all);
    const auto unfinished = [&] {
        return std::count_if(all_.begin(), all_.end(),
                             [](const instance& it) { return it.in_touch && !it.done; });
    };
    while (!events_.empty() && now_ < began + longest_play && unfinished() > 0) {
        const event next = events_.top();
        events_.pop();
        now_ = next.at;
        next.act();
    }
    spread_outcome out;
    out.without = static_cast<int>(unfinished());
    for (const instance& it : all_) {
        out.last = it.in_touch ? std::max(out.last, it.done.value_or(began + longest_play) - began)
                               : out.last;
        out.most_sent = std::max(out.most_sent, it.sent);
        out.all_sent += it.sent;
        out.turned_to_store += it.store ? 1 : 0;
    }
    return out;
}

} // namespace bamboostream::test
