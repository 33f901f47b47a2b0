#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Lengths/length_estimator.h"

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboostream {

/// A request that waits for a place on an engine.
struct queued_work {
    std::uint64_t id = 0;
    std::string workspace;
    priority_level priority = priority_level::standard;
    length_key lengths{};
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
    /// Tokens the caller already has of a generation that is being started again.
    std::uint64_t prefix = 0;
    /// Known length of the output, or 0.
    std::uint32_t exact_output_tokens = 0;
    time_point arrived{};
    /// The latest time at which a start is still of use to the caller.
    time_point start_by{};
    /// Expected output tokens when it arrived.
    double expected_tokens = 0.0;
    /// Backend servers that failed this request before.
    std::vector<std::string> avoid;
    /// It was told to come back at this time.
    bool returned = false;
};

/// Weighted fair queueing over workspaces by tokens served, with priorities inside a workspace.
///
/// Each workspace has a virtual time that advances by tokens / weight as it is served; the one
/// furthest behind goes next. An idle or new workspace starts at the present virtual time, so it
/// has no stored-up credit, and one with only long outputs pays for every token of them. Work
/// conserving: whoever waits alone gets everything.
///
/// Example: `queue.push(work, now); … queue.take(id); queue.charge("acme", 250);`
class fair_queue {
public:
    void set_weight(const std::string& workspace, double weight);
    void push(queued_work work);
    /// The `most` workspaces with waiting work that are to be served next, the next one first.
    void order(std::vector<std::string_view>& out, std::size_t most) const;
    /// The waiting request of `workspace` to serve next, or null.
    const queued_work* head(std::string_view workspace, bool shortest_first, time_point now) const;
    /// Takes a waiting request out; false when it isn't there.
    bool take(std::uint64_t id, queued_work& out);
    /// Charges tokens to a workspace; negative to give back what was charged too much.
    void charge(const std::string& workspace, double tokens);
    bool contains(std::uint64_t id) const { return where_.contains(id); }
    std::size_t size() const { return where_.size(); }
    /// Expected tokens of everything waiting.
    double waiting_tokens() const { return waiting_tokens_; }
    /// Expected tokens that a new request of this workspace and priority has to wait for: those of
    /// its priority and above, as far as they are not expected to be longer than `longest`.
    double tokens_ahead(std::string_view workspace, priority_level priority, double longest) const;
    std::size_t waiting(std::string_view workspace) const;
    /// The share of service a workspace gets while everyone now waiting waits, itself included.
    double share(std::string_view workspace) const;
    /// Calls `visit(const queued_work&)` for every waiting request, oldest first in each class.
    template <class Visitor> void for_each(Visitor&& visit) const {
        for (const auto& [name, lane] : lanes_) {
            for (const auto& level : lane.levels) {
                for (const queued_work& work : level) {
                    visit(work);
                }
            }
        }
    }

private:
    static constexpr std::size_t level_count = 3;
    /// Waiting tokens by the power of two of the expected length.
    static constexpr std::size_t size_count = 24;
    static std::size_t size_of(double expected_tokens);
    struct lane {
        double weight = 1.0;
        double virtual_time = 0.0;
        std::array<std::array<double, size_count>, level_count> waiting_tokens{};
        std::size_t waiting = 0;
        /// Virtual time of each priority inside the workspace.
        std::array<double, level_count> level_time{};
        std::array<std::deque<queued_work>, level_count> levels;
    };
    struct place {
        std::string workspace;
        std::size_t level = 0;
    };

    std::unordered_map<std::string, lane> lanes_;
    std::unordered_map<std::uint64_t, place> where_;
    double now_virtual_ = 0.0;
    double waiting_tokens_ = 0.0;
};

} // namespace bamboostream
