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

/// A request that waits to be scheduled on an engine.
struct queued_request {
    std::uint64_t id = 0;
    std::string workspace;
    priority_level priority = priority_level::standard;
    length_key lengths{};
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
    /// Hash of the prompt's beginning, 0 when there is nothing to share.
    std::uint64_t prefix = 0;
    /// Exact length of the output if it is known ahead, otherwise 0.
    std::uint32_t exact_output_tokens = 0;
    time_point arrived{};
    /// Deadline for the start: a later start is of no use to the caller.
    time_point start_by{};
    /// Expected output tokens, estimated on arrival.
    double expected_tokens = 0.0;
    /// Backend servers on which this request has failed before.
    std::vector<std::string> avoid;
    /// The request is a retry that came at the time reserved for it.
    bool is_scheduled_retry = false;
};

/// Weighted fair queueing over workspaces by tokens served, with priorities inside a workspace.
///
/// Each workspace has a virtual time that advances by tokens / weight as it is served; the
/// workspace with the smallest virtual time is served next. A new workspace, or one that was idle,
/// starts at the current virtual time, so that idle time accumulates no credit. A workspace with
/// long outputs is charged for every token of them. Work conserving: a workspace that waits alone
/// gets the whole service.
///
/// Example: `queue.push(work); … queue.take(id, work); queue.charge("acme", 250);`
class fair_queue {
public:
    void set_weight(const std::string& workspace, double weight);
    void push(queued_request work);
    /// Writes to `out` at most `max_count` workspaces with waiting requests, in the order in which
    /// they are to be served.
    void next_workspaces(std::vector<std::string_view>& out, std::size_t max_count) const;
    /// The waiting request of `workspace` to serve next, or null. With `shortest_first` that is the
    /// one with the shortest expected output, less the ageing for its wait.
    const queued_request* head(std::string_view workspace, bool shortest_first,
                               time_point now) const;
    /// Moves a waiting request to `out` and removes it from the queue; false if it isn't there.
    bool take(std::uint64_t id, queued_request& out);
    /// Charges tokens to a workspace; a negative number refunds an overcharge.
    void charge(const std::string& workspace, double tokens);
    bool contains(std::uint64_t id) const { return locations_.contains(id); }
    std::size_t size() const { return locations_.size(); }
    /// Expected tokens of all waiting requests.
    double waiting_tokens() const { return waiting_tokens_; }
    /// Expected tokens served before a new request of this workspace and priority: those of waiting
    /// requests of its priority and above that are not expected to be longer than `longest`.
    double tokens_ahead(std::string_view workspace, priority_level priority, double longest) const;
    std::size_t waiting(std::string_view workspace) const;
    /// The share of the service that a workspace gets while it and all workspaces that have
    /// requests waiting now compete for it.
    double share(std::string_view workspace) const;
    /// Calls `visit(const queued_request&)` for every waiting request, oldest first within each
    /// workspace and priority.
    template <class Visitor> void for_each(Visitor&& visit) const {
        for (const auto& [name, state] : queues_) {
            for (const auto& level : state.levels) {
                for (const queued_request& work : level) {
                    visit(work);
                }
            }
        }
    }

private:
    static constexpr std::size_t level_count = 3;
    /// Waiting tokens are kept in buckets by the power of two of the expected length.
    static constexpr std::size_t bucket_count = 24;
    static std::size_t length_bucket(double expected_tokens);
    struct workspace_queue {
        double weight = 1.0;
        double virtual_time = 0.0;
        std::array<std::array<double, bucket_count>, level_count> waiting_tokens{};
        std::size_t waiting = 0;
        /// Virtual time of each priority within the workspace.
        std::array<double, level_count> level_time{};
        std::array<std::deque<queued_request>, level_count> levels;
    };
    struct location {
        std::string workspace;
        std::size_t level = 0;
    };

    std::unordered_map<std::string, workspace_queue> queues_;
    std::unordered_map<std::uint64_t, location> locations_;
    double current_virtual_time_ = 0.0;
    double waiting_tokens_ = 0.0;
};

} // namespace bamboostream
