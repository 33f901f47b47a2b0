#pragma once

#include "bamboostream/Gateway"
#include "bamboostream/src/Control/frames.h"
#include "platform/platform_record_codec.h"
#include "platform/platform_request_codec.h"
#include "test/platform/narrow_link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bamboostream::test {

/// The store's records, by topic, which all instances of a group read.
class shared_records {
public:
    void append(record_topic topic, keyed_record record) {
        log_[topic].push_back(std::move(record));
    }
    const std::vector<keyed_record>& log(record_topic topic) const {
        static const std::vector<keyed_record> none;
        const auto found = log_.find(topic);
        return found == log_.end() ? none : found->second;
    }

private:
    std::map<record_topic, std::vector<keyed_record>> log_;
};

/// One instance's store client, which reads the shared records.
class shared_store final : public record_store {
public:
    explicit shared_store(const shared_records& records) : records_(records) {}
    boost::asio::awaitable<std::optional<record_page>> newest(record_topic topic,
                                                              store_failure& why) override;
    boost::asio::awaitable<std::optional<record_page>>
    read(record_topic topic, std::int64_t from, milliseconds wait, store_failure& why) override;
    /// Number of calls since the group was created.
    int calls() const { return calls_; }
    /// Number of reads of all newest operator documents.
    int full_document_reads() const { return full_document_reads_; }
    /// Whether the store fails every call of this instance.
    bool turned_away = false;

private:
    const shared_records& records_;
    int calls_ = 0;
    int full_document_reads_ = 0;
};

/// The parts of a gateway that communicate with its peers, on loopback.
struct peer_instance {
    /// `link_mbps` is the speed of its link in Mbit/s; zero for no limit.
    peer_instance(boost::asio::io_context& context, const shared_records& records,
                  const std::string& failure_domain, std::vector<std::string> seeds,
                  double link_mbps);
    const std::string& address() const { return membership->own_address(); }
    boost::asio::awaitable<std::unique_ptr<wire::FrameT>>
    handle(std::unique_ptr<wire::FrameT> frame);

    platform::platform_request_codec requests;
    platform::platform_record_codec documents;
    peer_links links;
    /// Null when the speed is not limited.
    std::unique_ptr<narrow_link> link;
    forwarding_state forwarding;
    deployment_state state;
    configuration_reader reader;
    store_read_policy read_policy;
    shared_store store;
    store_follower follower;
    std::unique_ptr<membership_service> membership;
    std::unique_ptr<configuration_distributor> distributor;
    std::unique_ptr<store_update_exchange> news;
    std::unique_ptr<owner_scheduler> owner;
    std::unique_ptr<quarantine_exchange> quarantine;
    std::unique_ptr<server_state_exchange> server_states;
    std::unique_ptr<stream_origin_exchange> origins;
    std::unique_ptr<rate_limit_exchange> rate_limits;
    std::unique_ptr<peer_exchange> peers;
    std::unique_ptr<tunnel_client> tunnels;
    std::unique_ptr<tunnel_server> carried_tunnels;
    /// Whether announcements of store readers are dropped; all other frames arrive.
    bool drops_store_news = false;
    /// Whether announced evidence against requests is dropped.
    bool drops_harm_reports = false;
    /// Whether announced limits of servers and requests for permits are dropped.
    bool drops_rate_limits = false;
    /// Number of received frames, by type, including dropped ones.
    std::map<wire::Message, int> received_frames;
};

/// Instances that have discovered each other. Each announces directly to one peer at most and uses
/// relays for the others, as in a large deployment.
class peer_group {
public:
    /// Starts `count` instances in each of `domains` failure domains, each behind a link of
    /// `link_mbps` Mbit/s (zero for no limit), and runs until all know each other, at most 10 s.
    peer_group(int domains, int count, double link_mbps = 0.0);
    void run_for(milliseconds time);
    /// Runs until the coroutine has returned, and returns its result.
    template <class Result> Result complete(boost::asio::awaitable<Result> work) {
        std::optional<Result> out;
        boost::asio::co_spawn(
            context, [&]() -> boost::asio::awaitable<void> { out = co_await std::move(work); },
            boost::asio::detached);
        context.restart();
        while (!out) {
            context.run_one();
        }
        return std::move(*out);
    }
    /// Returns all instances, in the order in which they own `key`.
    std::vector<peer_instance*> owners(std::string_view key) const;
    peer_instance& at(const std::string& address) const;
    /// Simulates a crash: closes all links of the instance.
    void kill(peer_instance& instance);

    boost::asio::io_context context{1};
    shared_records records;
    std::vector<std::unique_ptr<peer_instance>> all;

private:
    bool all_know_all() const;
};

} // namespace bamboostream::test
