#pragma once

#include "bamboostream/src/Gateway/deployment_state.h"
#include "bamboostream/src/Gateway/store_duty.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>

namespace bamboostream {

/// Follows the topics of the platform's store and keeps the deployment state up to date, while it
/// is this instance's duty. See also `store_duty`.
class store_follower {
public:
    store_follower(boost::asio::io_context& context, record_store& store, deployment_state& state,
                   forwarding_state& forwarding, const store_duty& duty)
        : context_(context), store_(store), state_(state), forwarding_(forwarding), duty_(duty) {}

    /// `is_reader` tells whether this instance reads for all.
    void start(std::function<bool()> is_reader);
    /// Reads all entries once, also when others read for this instance.
    void read_entries_again() { entries_wanted_ = true; }
    bool reads_entries_again() const { return entries_wanted_; }
    /// True while this instance knows what the store says, by itself or through a reader.
    bool fresh() const;
    /// How long ago the store last told this instance itself what the topic holds.
    duration own_age(record_topic topic, time_point now) const;
    /// Since when a topic could not be read; nothing while all can be.
    std::optional<time_point> failing_since() const;

private:
    struct topic_position {
        record_topic topic;
        /// Nothing until the newest records have been read.
        std::optional<std::int64_t> next;
        std::optional<time_point> failing_since;
        /// By this instance's own reads.
        view_age own_view;
    };
    view_age& shared_view(record_topic topic);
    boost::asio::awaitable<void> follow(topic_position& position);
    bool may_rest(const topic_position& position) const;
    /// False when the store didn't answer.
    boost::asio::awaitable<bool> advance(topic_position& position);
    void note_answer(topic_position& position, bool answered, const store_failure& why);

    boost::asio::io_context& context_;
    record_store& store_;
    deployment_state& state_;
    forwarding_state& forwarding_;
    const store_duty& duty_;
    std::function<bool()> is_reader_;
    bool entries_wanted_ = false;
    topic_position documents_{record_topic::operator_documents, std::nullopt, std::nullopt, {}};
    topic_position entries_{record_topic::backend_entries, std::nullopt, std::nullopt, {}};
};

} // namespace bamboostream
