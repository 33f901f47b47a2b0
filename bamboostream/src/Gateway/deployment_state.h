#pragma once

#include "bamboostream/src/Forwarding/forwarding_state.h"
#include "bamboostream/src/Gateway/change_follower.h"
#include "bamboostream/src/Gateway/configuration_reader.h"
#include "bamboostream/src/Gateway/deployment_contract.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// Who said what changed the view of the backend servers: the store itself, another instance's
/// whole list, another instance's telling of changes, the end of the wait for a lapsed entry, or
/// the server.
enum class fact_source : std::uint8_t { store, peer_list, telling, grace, server };

/// What became of a configuration document: it may be no newer than the one in force, or given up
/// unread because newer ones waited behind it.
enum class document_verdict : std::uint8_t { in_force, not_newer, rejected, given_up };

/// The name of a source in logs.
std::string_view to_string(fact_source source);

/// What an instance believes of the operator's configuration and the backend servers, from the
/// store and from other instances. Lives on one thread.
class deployment_state {
public:
    deployment_state(forwarding_state& forwarding, const record_codec& codec)
        : forwarding_(forwarding), codec_(codec) {}

    void on_new_configuration(std::function<void(const routing_configuration&)> listener) {
        configuration_listener_ = std::move(listener);
    }
    void on_cordon_change(std::function<void()> listener) {
        cordon_listener_ = std::move(listener);
    }
    void on_backend_change(std::function<void(const registry_change&)> listener) {
        backend_listener_ = std::move(listener);
    }

    using document_listener = std::function<void(document_verdict)>;
    /// Configurations are read by `reader` from now on; otherwise at once, where they are taken.
    void read_beside(configuration_reader& reader) { reader_ = &reader; }
    /// Takes a configuration document, from the store or a peer, unless a newer one is in force: a
    /// store that has lost its newest records, or a peer that lags, must not bring an old one back.
    /// `judged` is called once that is settled.
    void take_configuration(std::string text, std::string_view origin,
                            document_listener judged = {});
    /// The newest configuration that is known to be in force somewhere.
    void note_told_configuration(std::int64_t version) {
        forwarding_.announced_configuration = version;
    }
    /// Takes records of a topic; `all` says that they are the newest of every key.
    void take_records(record_topic topic, std::span<const keyed_record> records, bool all,
                      time_point now);
    /// Takes the cordons among records of the operator's documents, which end at `position`; `all`
    /// says that they are the newest of every key.
    void take_cordon_records(std::span<const keyed_record> records, bool all,
                             std::int64_t position);
    /// Takes the cordons as another instance knows them, unless as much is known here.
    void take_cordons(const cordoned_domains& told);
    /// Takes another instance's list of entries, which is complete up to `position` of the store's
    /// topic. One that is no further than what is known here says nothing new.
    void take_peer_backends(std::span<const peer_backend> entries, std::int64_t position,
                            time_point now);
    /// What the store said of the topic at `as_of` is known here.
    void note_view(record_topic topic, time_point as_of, time_point now);
    /// Judges by the age of the view whether the store is away.
    void watch_outage(time_point now);
    /// Logs and passes on what has changed in the registry.
    void report_changes(fact_source source, time_point now);

    /// How far the entries of the store are known here.
    change_follower& entries() { return entries_; }
    const change_follower& entries() const { return entries_; }
    const cordoned_domains& cordons() const { return cordons_; }
    /// The position in the topic up to which what it says is known here.
    std::int64_t position(record_topic topic) const {
        return topic == record_topic::backend_entries ? entries_.position() : cordons_.position;
    }
    std::int64_t version() const { return version_; }
    /// Documents that could not be read, or are larger than any, or whose key says nothing.
    std::uint64_t rejected_documents() const { return rejected_documents_; }
    /// The document of the configuration in force; null before the first.
    const std::shared_ptr<const std::string>& document() const { return document_; }
    /// Whether callers can be served.
    bool ready() const { return version_ > 0 && !forwarding_.registry.empty(); }

private:
    /// A document that is being read, or waits for it.
    struct unread_document {
        std::shared_ptr<const std::string> text;
        std::string origin;
        std::vector<document_listener> judged;

        void settle(document_verdict verdict) const;
    };
    void read_next();
    document_verdict judge(const unread_document& document,
                           std::shared_ptr<const route_table> table, const std::string& why);
    void reject(std::string_view origin, std::string_view why);
    void set_cordons(cordoned_domains cordons, std::string_view origin);
    void reject_key(const std::string& key);
    void take_entries(std::span<const keyed_record> records, bool all, time_point now);

    forwarding_state& forwarding_;
    const record_codec& codec_;
    std::int64_t version_ = 0;
    std::uint64_t rejected_documents_ = 0;
    configuration_reader* reader_ = nullptr;
    /// The first is being read.
    std::deque<unread_document> unread_;
    std::shared_ptr<const std::string> document_;
    change_follower entries_;
    cordoned_domains cordons_;
    /// Keys of documents that have been logged as unknown.
    std::set<std::string> unknown_keys_;
    std::function<void(const routing_configuration&)> configuration_listener_;
    std::function<void()> cordon_listener_;
    std::function<void(const registry_change&)> backend_listener_;
};

} // namespace bamboostream
