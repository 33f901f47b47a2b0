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

/// A deployment in which a document is handed on.
struct spread_plan {
    int instances = 8;
    int failure_domains = 4;
    /// Mbit/s of most instances, and of one in `large_each`; zero for none of these.
    double link_mbps = 10.0;
    double large_mbps = 200.0;
    int large_each = 0;
    /// The share that is cut off and comes back only after the play.
    double cut_off = 0.0;
    /// Relays of this failure domain that hear everything and pass nothing on.
    bool relay_dead = false;
};

/// What came of it.
struct spread_outcome {
    /// Until the last instance in touch had the document; the longest when some never had.
    duration last{};
    int without = 0;
    /// Bytes that the busiest instance sent, and all together.
    std::uint64_t most_sent = 0;
    std::uint64_t all_sent = 0;
    /// Instances that would have turned to the store.
    int turned_to_store = 0;
};

/// Instances that hand a document on by the product's own rules, without a network: messages take
/// the time that both links need, one after the other. Two readers have the new document at the
/// start and tell directly up to 96 others, or relays of each failure domain.
class document_play {
public:
    document_play(const spread_plan& plan, const std::shared_ptr<const std::string>& before,
                  std::shared_ptr<const std::string> after);
    spread_outcome run();

private:
    struct instance {
        std::unique_ptr<document_fetcher> fetch;
        std::unique_ptr<document_provider> shelf;
        double bytes_a_second = 0.0;
        time_point sends_from{};
        time_point receives_from{};
        std::uint64_t sent = 0;
        bool in_touch = true;
        bool silent = false;
        bool store = false;
        std::optional<time_point> done;
        time_point woken_at = time_point::max();
    };
    struct event {
        time_point at;
        std::uint64_t order;
        std::function<void()> act;
        bool operator<(const event& other) const {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };
    void at(time_point when, std::function<void()> act);
    void send(std::size_t from, std::size_t to, std::size_t bytes, std::function<void()> arrive);
    void tell(std::size_t from, std::size_t to, bool pass_on, const std::string& teller);
    void wake(std::size_t i);
    void ask(std::size_t i, const document_fetcher::outgoing_request& outgoing_request);
    void take(std::size_t i, const document_piece& piece, std::size_t from);
    document_piece look_up(std::size_t i, const document_request& request, std::size_t asker);
    bool relays(std::size_t i) const;
    bool is_large(std::size_t i) const;

    spread_plan plan_;
    std::shared_ptr<const std::string> after_;
    std::vector<instance> all_;
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
    time_point now_{};
};

} // namespace bamboostream::test
