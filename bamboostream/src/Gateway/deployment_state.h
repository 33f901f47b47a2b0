#pragma once

#include "bamboostream/src/Forwarding/forwarding_state.h"
#include "bamboostream/src/Gateway/change_cursor.h"
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

/// The origin of a change to the view of the backend servers: the store itself, the full list of
/// another instance, another instance's announcement of changes, the end of the grace period of a
/// lapsed entry, or the server itself.
enum class update_source : std::uint8_t { store, peer_list, announcement, grace, server };

/// The result of submitting a configuration document. `not_newer` means that a version at least as
/// new is in force; `superseded` means that it was dropped before parsing because newer documents
/// were waiting.
enum class document_result : std::uint8_t { in_force, not_newer, rejected, superseded };

/// The name of a source in log lines.
std::string_view to_string(update_source source);

/// The operator's configuration and the backend servers as this instance knows them, from the store
/// and from other instances. Lives on one thread.
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
    /// Called with the servers whose departure was among records of the store, also if it was known
    /// before.
    void on_departures_read(std::function<void(std::span<const backend_id>)> listener) {
        departure_listener_ = std::move(listener);
    }

    using document_listener = std::function<void(document_result)>;
    /// Parses configurations asynchronously with `reader` from now on. Without a reader they are
    /// parsed in `submit_configuration`.
    void set_reader(configuration_reader& reader) { reader_ = &reader; }
    /// Applies a configuration document from the store or a peer, unless a newer one is in force: a
    /// store that has lost its newest records, or a peer that lags, must not bring an old one back.
    /// `on_result` is called with the result.
    void submit_configuration(std::string text, std::string_view origin,
                              document_listener on_result = {});
    /// Sets the newest version that is known to be in force on some instance.
    void set_announced_configuration(std::int64_t version) {
        forwarding_.announced_configuration = version;
    }
    /// Applies records of a topic. `all` means that they are the newest of every key.
    void apply_records(record_topic topic, std::span<const keyed_record> records, bool all,
                       time_point now);
    /// Applies the cordons among records of the operator's documents, which end at `position`.
    /// `all` means that they are the newest of every key.
    void apply_cordon_records(std::span<const keyed_record> records, bool all,
                              std::int64_t position);
    /// Applies the cordons that another instance knows, unless they are no newer than those known
    /// here.
    void apply_peer_cordons(const cordoned_domains& peer_cordons);
    /// Applies another instance's list of entries, which is complete up to `position` of the
    /// store's topic. A list whose position is not beyond the one known here is ignored.
    void apply_peer_backends(std::span<const peer_backend> entries, std::int64_t position,
                             time_point now);
    /// Records that this instance knows what the store contained for the topic at `as_of`.
    void update_view(record_topic topic, time_point as_of, time_point now);
    /// Records that all changes of the entries that the store contained at `as_of` are applied.
    void confirm_entries(time_point as_of) { forwarding_.registry.confirm(as_of); }
    /// Decides by the age of the view whether the store counts as unreachable.
    void update_outage(time_point now);
    /// Logs the changes of the registry and passes them to the listener.
    void report_changes(update_source source, time_point now);

    /// The position up to which the store's entries are known here.
    change_cursor& entries() { return entries_; }
    const change_cursor& entries() const { return entries_; }
    const cordoned_domains& cordons() const { return cordons_; }
    /// The position up to which the records of the topic are known here.
    std::int64_t position(record_topic topic) const {
        return topic == record_topic::backend_entries ? entries_.position() : cordons_.position;
    }
    std::int64_t version() const { return version_; }
    /// Number of documents that could not be parsed, exceeded the maximum size or had an unknown
    /// key.
    std::uint64_t rejected_documents() const { return rejected_documents_; }
    /// The document of the configuration in force; null before the first.
    const std::shared_ptr<const std::string>& document() const { return document_; }
    /// Whether this instance can serve callers.
    bool ready() const { return version_ > 0 && !forwarding_.registry.empty(); }

private:
    /// A document that is being parsed or waits for it.
    struct pending_document {
        std::shared_ptr<const std::string> text;
        std::string origin;
        std::vector<document_listener> listeners;

        void notify_listeners(document_result result) const;
    };
    void parse_next();
    document_result apply_document(const pending_document& document,
                                   std::shared_ptr<const route_table> table,
                                   const std::string& why);
    void reject(std::string_view origin, std::string_view why);
    void set_cordons(cordoned_domains cordons, std::string_view origin);
    void reject_unknown_key(const std::string& key);
    void apply_entries(std::span<const keyed_record> records, bool all, time_point now);

    forwarding_state& forwarding_;
    const record_codec& codec_;
    std::int64_t version_ = 0;
    std::uint64_t rejected_documents_ = 0;
    configuration_reader* reader_ = nullptr;
    /// The first one is being parsed.
    std::deque<pending_document> pending_;
    std::shared_ptr<const std::string> document_;
    change_cursor entries_;
    cordoned_domains cordons_;
    /// Document keys that have been logged as unknown.
    std::set<std::string> unknown_keys_;
    std::function<void(const routing_configuration&)> configuration_listener_;
    std::function<void()> cordon_listener_;
    std::function<void(const registry_change&)> backend_listener_;
    std::function<void(std::span<const backend_id>)> departure_listener_;
};

} // namespace bamboostream
