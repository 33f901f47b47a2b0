#pragma once

#include "bamboostream/Gateway"
#include "bamboostream/src/Control/frames.h"
#include "platform/platform_record_codec.h"
#include "platform/platform_request_codec.h"
#include "test/platform/narrow_link.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bamboostream::test {

/// Records that all instances of a group read, by topic.
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

/// One instance's client of the shared records.
class shared_store final : public record_store {
public:
    explicit shared_store(const shared_records& records) : records_(records) {}
    boost::asio::awaitable<std::optional<record_page>> newest(record_topic topic,
                                                              store_failure& why) override;
    boost::asio::awaitable<std::optional<record_page>>
    read(record_topic topic, std::int64_t from, milliseconds wait, store_failure& why) override;
    /// Calls since the group began.
    int calls() const { return calls_; }
    /// Times that the newest documents were read, all of them.
    int whole_documents() const { return whole_documents_; }
    /// The store answers this instance no more.
    bool turned_away = false;

private:
    const shared_records& records_;
    int calls_ = 0;
    int whole_documents_ = 0;
};

/// As much of a gateway as talking to its peers takes, on loopback.
struct peer_instance {
    /// `link_mbps`: speed of its link, in Mbit/s; zero for no limit.
    peer_instance(boost::asio::io_context& context, const shared_records& records,
                  const std::string& failure_domain, std::vector<std::string> seeds,
                  double link_mbps);
    const std::string& address() const { return membership->own_address(); }
    boost::asio::awaitable<std::unique_ptr<wire::FrameT>>
    handle(std::unique_ptr<wire::FrameT> frame);

    platform::platform_request_codec requests;
    platform::platform_record_codec documents;
    peer_links links;
    /// Null when its speed has no limit.
    std::unique_ptr<narrow_link> link;
    forwarding_state forwarding;
    deployment_state state;
    configuration_reader reader;
    store_read_policy duty;
    shared_store store;
    store_follower follower;
    std::unique_ptr<membership_service> membership;
    std::unique_ptr<configuration_distributor> spread;
    std::unique_ptr<store_update_exchange> news;
    std::unique_ptr<owner_scheduler> owner;
    std::unique_ptr<quarantine_exchange> quarantine;
    std::unique_ptr<peer_exchange> peers;
    /// What readers of the store tell doesn't arrive, all else does.
    bool hears_no_news = false;
    /// Evidence that others announce doesn't arrive.
    bool hears_no_harm_reports = false;
    /// Frames heard, by kind.
    std::map<wire::Message, int> heard;
};

/// Instances that know each other, of which each counts as one of many.
class peer_group {
public:
    /// `count` instances in each of `domains` failure domains, each behind a link of so many
    /// Mbit/s; zero for no limit.
    peer_group(int domains, int count, double link_mbps = 0.0);
    void run_for(milliseconds time);
    /// In the order in which they own `key`.
    std::vector<peer_instance*> owners(std::string_view key) const;
    peer_instance& at(const std::string& address) const;
    /// The process ends: nothing is heard of it again.
    void kill(peer_instance& instance);

    boost::asio::io_context context{1};
    shared_records records;
    std::vector<std::unique_ptr<peer_instance>> all;

private:
    bool all_know_all() const;
};

} // namespace bamboostream::test
