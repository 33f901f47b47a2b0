#pragma once

#include "bamboostream/src/Gateway/document_fetcher.h"
#include "bamboostream/src/Gateway/document_provider.h"
#include "test/platform/large_document.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace bamboostream::test {

/// A deployment in which a document is distributed.
struct simulated_deployment {
    int instances = 8;
    int failure_domains = 4;
    /// Link speed of most instances, in Mbit/s.
    double link_mbps = 10.0;
    /// Link speed, in Mbit/s, of the first two of every `large_link_interval` instances; none when
    /// that is zero.
    double large_link_mbps = 200.0;
    int large_link_interval = 0;
    /// Share of the instances other than readers and relays that stay unreachable throughout the
    /// simulation.
    double unreachable_share = 0.0;
    /// Whether one relay is dead: it sends and receives nothing.
    bool has_dead_relay = false;
};

/// Measurements of one simulation.
struct simulation_result {
    /// Time until the last reachable instance had the document; the maximum simulated time when
    /// some never had it.
    duration last{};
    /// Reachable instances that never had the document.
    int incomplete = 0;
    /// Bytes that the busiest instance sent, and all instances together.
    std::uint64_t max_sent = 0;
    std::uint64_t total_sent = 0;
    /// Instances that would have read the store because no peer provided the document in time.
    int used_store = 0;
};

/// Discrete-event simulation of instances that distribute a document with the production
/// `document_fetcher` and `document_provider`, without a network. Each message occupies the
/// sender's and then the receiver's link for its transfer time. Two readers have the new document
/// at the start. In deployments of up to 96 instances they announce it to all others directly,
/// otherwise to two relays in each failure domain.
class document_simulation {
public:
    document_simulation(const simulated_deployment& plan,
                        const std::shared_ptr<const std::string>& before,
                        std::shared_ptr<const std::string> after);
    simulation_result run();

private:
    struct instance {
        std::unique_ptr<document_fetcher> fetcher;
        std::unique_ptr<document_provider> provider;
        double bytes_per_second = 0.0;
        time_point sender_free_at{};
        time_point receiver_free_at{};
        std::uint64_t sent = 0;
        bool reachable = true;
        bool silent = false;
        bool needs_store = false;
        std::optional<time_point> completed_at;
        time_point wakes_at = time_point::max();
    };
    struct event {
        time_point at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };
    void at(time_point when, std::function<void()> action);
    void send(std::size_t from, std::size_t to, std::size_t bytes, std::function<void()> arrive);
    void announce(std::size_t from, std::size_t to, bool pass_on, const std::string& announcer);
    void wake(std::size_t i);
    void send_request(std::size_t i, const document_fetcher::outgoing_request& outgoing_request);
    void take(std::size_t i, const document_piece& piece, std::size_t from);
    document_piece answer_request(std::size_t i, const document_request& request,
                                  std::size_t requester);
    bool relays(std::size_t i) const;
    bool is_large(std::size_t i) const;

    simulated_deployment plan_;
    std::shared_ptr<const std::string> after_;
    std::vector<instance> all_;
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
    time_point now_{};
};

} // namespace bamboostream::test
