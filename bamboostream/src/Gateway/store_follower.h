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

/// What reading the store needs to know of the other instances.
class read_coordinator {
public:
    virtual ~read_coordinator() = default;
    /// Whether this instance must read the topic itself.
    virtual bool must_read(record_topic topic, time_point now) const = 0;
    /// At the start: whether the others hand on what the topic holds, or may yet do so.
    virtual bool has_topic_from_peers(record_topic topic) const = 0;
    virtual bool awaits_peers(record_topic topic, time_point now) const = 0;
    /// How long a read of the topic may wait for a record.
    virtual milliseconds read_wait(record_topic topic, time_point now) const = 0;
    /// Whether a configuration was told of that the other instances don't hand on.
    virtual bool must_read_configuration(time_point now) = 0;
    virtual store_read_role role() const = 0;
    /// The store has answered this instance.
    virtual void on_store_answer() = 0;
};

/// Why an instance reads a topic of the store, or that it needn't.
enum class read_reason : std::uint8_t {
    /// Somebody else reads, and what has been read there is known here.
    none,
    /// Nothing was read since the start.
    start,
    /// It is one of those that read for all.
    duty,
    /// Nobody before it in the order tells of a fresh view.
    stale_views,
    /// It has missed changes that were told.
    missed_changes,
    /// A configuration was told of that no peer has handed on.
    configuration,
    count_,
};

/// The name of a reason in logs and metrics.
std::string_view to_string(read_reason reason);

/// Calls to the store, by their reason.
using store_call_counts = std::array<std::uint64_t, static_cast<std::size_t>(read_reason::count_)>;

/// Follows the topics of the platform's store and keeps the deployment state up to date, while it
/// is this instance's duty. See also `store_read_policy`.
class store_follower {
public:
    store_follower(boost::asio::io_context& context, record_store& store, deployment_state& state)
        : context_(context), store_(store), state_(state) {}

    /// `plan` must live as long as the follower.
    void start(read_coordinator& plan);
    /// Reads all entries once, also when others read for this instance.
    void request_entries_reread() { entries_reread_requested_ = true; }
    /// How long ago the store last told this instance itself what the topic holds.
    duration own_view_age(record_topic topic, time_point now) const;
    /// Whether this instance's own reads of the topic tell what the store says now.
    bool has_fresh_own_view(record_topic topic, time_point now) const {
        return own_view_age(topic, now) <= read_timing_of(topic).max_view_age;
    }
    /// A configuration that was told of is being read from the store.
    bool is_reading_configuration() const {
        return documents_.reading && documents_.reason == read_reason::configuration;
    }
    /// Calls of this instance since its start, of both topics.
    const store_call_counts& calls() const { return calls_; }
    /// Since when a topic could not be read; nothing while all can be.
    std::optional<time_point> failing_since() const;

private:
    struct topic_position {
        record_topic topic{};
        /// Nothing until the newest records have been read.
        std::optional<std::int64_t> next{};
        std::optional<time_point> failing_since{};
        /// By this instance's own reads.
        view_age own_view{};
        bool read_before = false;
        bool reading = false;
        read_reason reason = read_reason::none;
    };
    boost::asio::awaitable<void> follow(topic_position& position);
    read_reason reason_to_read(const topic_position& position) const;
    void note_reason(topic_position& position, read_reason reason);
    /// False when the store didn't answer.
    boost::asio::awaitable<bool> advance(topic_position& position);
    void on_store_answer(topic_position& position, bool answered, const store_failure& why);
    void take(topic_position& position, const record_page& page, bool all,
              std::int64_t known_before);

    boost::asio::io_context& context_;
    record_store& store_;
    deployment_state& state_;
    read_coordinator* plan_ = nullptr;
    bool entries_reread_requested_ = false;
    store_call_counts calls_{};
    topic_position documents_{.topic = record_topic::operator_documents};
    topic_position entries_{.topic = record_topic::backend_entries};
};

} // namespace bamboostream
