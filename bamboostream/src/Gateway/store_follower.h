#pragma once

#include "bamboostream/src/Gateway/deployment_state.h"
#include "bamboostream/src/Gateway/store_read_policy.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <optional>
#include <string_view>

namespace bamboostream {

/// Decisions about reading the store that depend on the other instances.
class read_coordinator {
public:
    virtual ~read_coordinator() = default;
    /// Whether this instance must read the topic itself.
    virtual bool must_read(record_topic topic, time_point now) const = 0;
    /// At the start: whether peers have already provided the topic's content, or whether they may
    /// still do so.
    virtual bool has_topic_from_peers(record_topic topic) const = 0;
    virtual bool awaits_peers(record_topic topic, time_point now) const = 0;
    /// How long a read of the topic may wait for a record.
    virtual milliseconds read_wait(record_topic topic, time_point now) const = 0;
    /// Whether a configuration was announced that the other instances don't provide.
    virtual bool must_read_configuration(time_point now) = 0;
    virtual store_read_role role() const = 0;
    /// Called when the store has answered this instance.
    virtual void on_store_answer() = 0;
};

/// Why an instance reads a topic of the store.
enum class read_reason : std::uint8_t {
    /// It need not read: other instances do, and this one knows what they have read.
    none,
    /// Nothing has been read since the start.
    start,
    /// It is one of the designated readers.
    duty,
    /// No instance before it in the reading order has announced a fresh view.
    stale_views,
    /// It has missed announced changes.
    missed_changes,
    /// A configuration was announced that no peer has provided.
    configuration,
    count_,
};

/// The name of a reason in logs and metrics.
std::string_view to_string(read_reason reason);

/// Number of calls to the store by reason.
using store_call_counts = std::array<std::uint64_t, static_cast<std::size_t>(read_reason::count_)>;

/// Follows the topics of the platform's store and keeps the deployment state up to date, while this
/// instance must read them. See also `store_read_policy`.
class store_follower {
public:
    store_follower(boost::asio::io_context& context, record_store& store, deployment_state& state)
        : context_(context), store_(store), state_(state) {}

    /// `coordinator` must outlive the follower.
    void start(read_coordinator& coordinator);
    /// Reads all entries once, even when others read on behalf of this instance.
    void request_entries_reread() { entries_reread_requested_ = true; }
    /// Time since the store last answered this instance's own read of the topic.
    duration own_view_age(record_topic topic, time_point now) const;
    /// Whether this instance's own reads of the topic are recent.
    bool has_fresh_own_view(record_topic topic, time_point now) const {
        return own_view_age(topic, now) <= read_timing_of(topic).max_view_age;
    }
    /// Whether an announced configuration is being read from the store.
    bool is_reading_configuration() const {
        return documents_.reading && documents_.reason == read_reason::configuration;
    }
    /// Calls of this instance for both topics since its start.
    const store_call_counts& calls() const { return calls_; }
    /// The time since which a topic can't be read. Returns nothing while both can be read.
    std::optional<time_point> failing_since() const;

private:
    struct topic_position {
        record_topic topic{};
        /// Empty until the newest records have been read.
        std::optional<std::int64_t> next{};
        std::optional<time_point> failing_since{};
        /// The view from this instance's own reads.
        view_age own_view{};
        bool ever_read = false;
        bool reading = false;
        read_reason reason = read_reason::none;
    };
    boost::asio::awaitable<void> follow(topic_position& position);
    read_reason reason_to_read(const topic_position& position) const;
    void set_reason(topic_position& position, read_reason reason);
    /// Returns false when the store didn't answer.
    boost::asio::awaitable<bool> advance(topic_position& position);
    void on_store_answer(topic_position& position, bool answered, const store_failure& why);
    void apply_page(topic_position& position, const record_page& page, bool all,
                    std::int64_t known_before);

    boost::asio::io_context& context_;
    record_store& store_;
    deployment_state& state_;
    read_coordinator* coordinator_ = nullptr;
    bool entries_reread_requested_ = false;
    store_call_counts calls_{};
    topic_position documents_{.topic = record_topic::operator_documents};
    topic_position entries_{.topic = record_topic::backend_entries};
};

} // namespace bamboostream
