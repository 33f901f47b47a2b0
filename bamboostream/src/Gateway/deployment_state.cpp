#include "bamboostream/src/Gateway/deployment_state.h"

#include "bamboostream/src/Configuration/document_encoding.h"
#include "bamboostream/src/Core/event_log.h"

#include <array>

namespace bamboostream {

namespace {

/// Documents that are queued, including the one that is being parsed. When there are more, the
/// oldest waiting one is dropped, since a newer one follows.
constexpr std::size_t max_pending = 3;

const event_kind& event_of(registry_event event) {
    switch (event) {
    case registry_event::joined:
        return events::backend_joined;
    case registry_event::leaving:
        return events::backend_leaving;
    case registry_event::gone:
        return events::backend_down;
    case registry_event::lapsed:
        return events::backend_lapsed;
    case registry_event::kept:
        return events::backend_kept;
    case registry_event::became_cold:
        return events::backend_cold;
    case registry_event::restarted:
        break;
    }
    return events::backend_restarted;
}

} // namespace

std::string_view to_string(update_source source) {
    constexpr std::array<std::string_view, 5> names = {"store", "peer_list", "telling", "grace",
                                                       "server"};
    return names.at(static_cast<std::size_t>(source));
}

void deployment_state::reject(std::string_view origin, std::string_view why) {
    ++rejected_documents_;
    log_event(events::record_rejected, "topic=operator_documents origin={} reason={}", origin, why);
}

void deployment_state::submit_configuration(std::string text, std::string_view origin,
                                            document_listener on_result) {
    pending_document submitted{nullptr, std::string(origin), {std::move(on_result)}};
    if (document_ && text == *document_) {
        submitted.notify_listeners(document_result::not_newer);
        return;
    }
    if (text.size() > max_document_bytes) {
        reject(origin, "too large");
        submitted.notify_listeners(document_result::rejected);
        return;
    }
    for (pending_document& waiting : pending_) {
        if (*waiting.text == text) {
            waiting.listeners.push_back(std::move(submitted.listeners.front()));
            return;
        }
    }
    submitted.text = std::make_shared<const std::string>(std::move(text));
    pending_.push_back(std::move(submitted));
    if (pending_.size() == 1) {
        parse_next();
    } else if (pending_.size() > max_pending) {
        // The first one is being parsed.
        const auto oldest = pending_.begin() + 1;
        const pending_document dropped = std::move(*oldest);
        pending_.erase(oldest);
        dropped.notify_listeners(document_result::superseded);
    }
}

void deployment_state::pending_document::notify_listeners(document_result result) const {
    for (const document_listener& listener : listeners) {
        if (listener) {
            listener(result);
        }
    }
}

void deployment_state::parse_next() {
    const auto take = [this](std::shared_ptr<const route_table> table, const std::string& why) {
        const pending_document document = std::move(pending_.front());
        pending_.pop_front();
        document.notify_listeners(apply_document(document, std::move(table), why));
        if (!pending_.empty()) {
            parse_next();
        }
    };
    const std::shared_ptr<const std::string> text = pending_.front().text;
    if (reader_ != nullptr) {
        reader_->read(text, take);
        return;
    }
    std::string why;
    auto configuration = codec_.read_configuration(*text, why);
    take(configuration ? std::make_shared<const route_table>(std::move(*configuration)) : nullptr,
         why);
}

document_result deployment_state::apply_document(const pending_document& document,
                                                 std::shared_ptr<const route_table> table,
                                                 const std::string& why) {
    if (!table) {
        reject(document.origin, why);
        return document_result::rejected;
    }
    if (table->configuration().version <= version_) {
        return document_result::not_newer;
    }
    version_ = table->configuration().version;
    document_ = document.text;
    forwarding_.routes = std::move(table);
    log_event(events::configuration_in_force, "version={} origin={} routes={}", version_,
              document.origin, forwarding_.routes->configuration().routes.size());
    if (configuration_listener_) {
        configuration_listener_(forwarding_.routes->configuration());
    }
    return document_result::in_force;
}

void deployment_state::apply_records(record_topic topic, std::span<const keyed_record> records,
                                     bool all, time_point now) {
    if (topic == record_topic::backend_entries) {
        apply_entries(records, all, now);
        return;
    }
    for (const keyed_record& record : records) {
        if (record.key == codec_.configuration_key() && !record.value.empty()) {
            submit_configuration(record.value, "store");
        }
    }
}

void deployment_state::reject_unknown_key(const std::string& key) {
    constexpr std::size_t max_remembered = 256;
    if (unknown_keys_.size() < max_remembered && unknown_keys_.insert(key).second) {
        ++rejected_documents_;
        log_event(events::record_rejected, "topic=operator_documents key={} reason=unknown key",
                  key);
    }
}

void deployment_state::apply_cordon_records(std::span<const keyed_record> records, bool all,
                                            std::int64_t position) {
    cordoned_domains known{all ? std::set<failure_domain_id>{} : cordons_.domains, position};
    for (const keyed_record& record : records) {
        const auto domain = codec_.cordoned_domain(record.key);
        if (!domain) {
            if (record.key != codec_.configuration_key()) {
                reject_unknown_key(record.key);
            }
        } else if (record.value.empty()) {
            known.domains.erase(*domain);
        } else {
            known.domains.insert(*domain);
        }
    }
    set_cordons(std::move(known), "store");
}

void deployment_state::apply_peer_cordons(const cordoned_domains& peer_cordons) {
    if (peer_cordons.position > cordons_.position) {
        set_cordons(peer_cordons, "peer");
    }
}

void deployment_state::set_cordons(cordoned_domains cordons, std::string_view origin) {
    const bool changed = cordons.domains != cordons_.domains;
    cordons_ = std::move(cordons);
    if (!changed) {
        return;
    }
    forwarding_.registry.set_cordoned(cordons_.domains);
    std::string names;
    for (const failure_domain_id& domain : cordons_.domains) {
        names += (names.empty() ? "" : ",") + domain.text();
    }
    log_event(events::domains_cordoned, "failure_domains={} position={} origin={}",
              names.empty() ? "none" : names, cordons_.position, origin);
    if (cordon_listener_) {
        cordon_listener_();
    }
}

void deployment_state::apply_entries(std::span<const keyed_record> records, bool all,
                                     time_point now) {
    std::vector<registered_backend> entries;
    std::vector<backend_id> unreadable;
    std::vector<backend_id> departed;
    for (const keyed_record& record : records) {
        if (record.value.empty()) {
            departed.emplace_back(record.key);
            forwarding_.registry.remove(departed.back(), now);
            continue;
        }
        std::string why;
        auto entry = codec_.read_backend(record.key, record.value, now, why);
        if (!entry) {
            log_event(events::record_rejected, "topic=backend_entries key={} reason={}", record.key,
                      why);
            unreadable.emplace_back(record.key);
            continue;
        }
        if (entry->leaving) {
            departed.push_back(entry->id);
        }
        if (all) {
            entries.push_back(std::move(*entry));
        } else {
            forwarding_.registry.update(*entry, now);
        }
    }
    if (all) {
        forwarding_.registry.update_all(entries, unreadable, now);
    }
    report_changes(update_source::store, now);
    if (departure_listener_) {
        departure_listener_(departed);
    }
}

void deployment_state::apply_peer_backends(std::span<const peer_backend> entries,
                                           std::int64_t position, time_point now) {
    for (const peer_backend& entry : entries) {
        if (entry.backend.leaving) {
            forwarding_.registry.mark_leaving(entry.backend.id, entry.backend.started_ms);
        }
    }
    const bool has_no_entries = forwarding_.registry.empty() && entries_.position() == 0;
    if (!entries.empty() && (position > entries_.position() || has_no_entries)) {
        entries_.set_position(position);
        forwarding_.registry.update_from_peer(entries, now);
    }
    report_changes(update_source::peer_list, now);
}

void deployment_state::update_view(record_topic topic, time_point as_of, time_point now) {
    if (topic == record_topic::operator_documents) {
        forwarding_.documents_view.known(as_of);
        return;
    }
    update_outage(now);
    forwarding_.entries_view.known(as_of);
    update_outage(now);
}

void deployment_state::update_outage(time_point now) {
    const view_age& view = forwarding_.entries_view;
    if (!view.ever_known()) {
        return;
    }
    if (view.age(now) > backend_registry::min_outage) {
        forwarding_.registry.store_failed(now - view.age(now));
    } else {
        forwarding_.registry.store_answered(now);
    }
}

void deployment_state::report_changes(update_source source, time_point now) {
    for (const registry_change& change : forwarding_.registry.take_changes()) {
        const registered_backend& backend = change.backend;
        log_event(
            event_of(change.event),
            "backend={} address={} service={} software_version={} failure_domain={} started_ms={} "
            "source={} position={} view_age_ms={:.0f}",
            backend.id.text(), backend.address, backend.service.text(), printable(backend.version),
            backend.failure_domain.text(), backend.started_ms, to_string(source),
            entries_.position(), to_milliseconds(forwarding_.entries_view.age(now)));
        if (backend_listener_) {
            backend_listener_(change);
        }
    }
}

} // namespace bamboostream
