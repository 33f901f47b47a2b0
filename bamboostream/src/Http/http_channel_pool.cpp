#include "bamboostream/src/Http/http_channel_pool.h"

#include <algorithm>

namespace bamboostream {

namespace {

/// Servers that don't say how long they keep an idle connection commonly keep it for 5 s or more.
constexpr seconds assumed_idle_limit{4};
/// A request that is on its way while the server closes is lost; this covers the way.
constexpr milliseconds idle_margin{500};
/// More idle connections to one address than a burst needs are only descriptors.
constexpr std::size_t most_idle_channels = 64;

} // namespace

std::shared_ptr<http_channel> http_channel_pool::take(const std::string& address,
                                                      duration most_idle, time_point now) {
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto& channels = found->second;
    while (!channels.empty()) {
        idle_channel last = std::move(channels.back());
        channels.pop_back();
        if (!last.channel->is_open() || now >= last.until) {
            last.channel->close();
            continue;
        }
        if (now - last.since >= most_idle) {
            channels.push_back(std::move(last));
            return nullptr;
        }
        last.channel->stop_watching();
        return std::move(last.channel);
    }
    return nullptr;
}

void http_channel_pool::give_back(const std::string& address, std::shared_ptr<http_channel> channel,
                                  time_point now) {
    channel->expire_never();
    if (!channel->reusable()) {
        channel->close();
        return;
    }
    const milliseconds limit = channel->idle_limit().value_or(assumed_idle_limit);
    auto& channels = idle_[address];
    if (limit <= idle_margin || channels.size() >= most_idle_channels) {
        channel->close();
        return;
    }
    channel->watch_idle();
    channels.push_back({std::move(channel), now, now + limit - idle_margin});
}

void http_channel_pool::drop(const std::string& address) {
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return;
    }
    for (idle_channel& entry : found->second) {
        entry.channel->close();
    }
    idle_.erase(found);
}

void http_channel_pool::expire(time_point now) {
    for (auto& [address, channels] : idle_) {
        std::erase_if(channels, [now](idle_channel& entry) {
            const bool over = now >= entry.until || !entry.channel->is_open();
            if (over) {
                entry.channel->close();
            }
            return over;
        });
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

std::size_t http_channel_pool::idle() const {
    std::size_t count = 0;
    for (const auto& [address, channels] : idle_) {
        count += channels.size();
    }
    return count;
}

} // namespace bamboostream
