#pragma once

#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Gateway/deployment_contract.h"
#include "bamboostream/src/Limits/quarantine_registry.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// Serializes the evidence against one request as a record for the store. Times are wall-clock
/// times, since the instances that read it may have started later.
std::string write_evidence(std::span<const crash_evidence> evidence, time_point now,
                           std::int64_t wall_now_ms);
/// Returns nothing when the record can't be parsed.
std::optional<std::vector<crash_evidence>> read_evidence(const keyed_record& record, time_point now,
                                                         std::int64_t wall_now_ms);

/// Persists held requests in the platform's store, so that they survive the end of all instances.
///
/// Two instances, chosen by rendezvous hashing of the digest, write the record of a held request
/// and remove it on release. After a start the designated readers of the store and their standbys
/// read these records; the others receive them through `quarantine_exchange`. A failed write is
/// repeated until the store matches what is known here. Lives on one thread.
class quarantine_persister {
public:
    quarantine_persister(boost::asio::io_context& context, persistent_records& store,
                         const membership_service& membership, quarantine_registry& quarantine);

    void start();
    /// Called when the verdict on a request changes: a record holds the evidence of its time.
    void note_change(const request_digest& request);

private:
    boost::asio::awaitable<void> restore();
    void restore_records(std::span<const keyed_record> records);
    boost::asio::awaitable<void> write_loop();
    boost::asio::awaitable<bool> write(request_digest request);
    /// Number of pieces of evidence in a request's record; zero if it has none.
    std::size_t stored_evidence(const request_digest& request) const;
    /// Number of pieces of evidence that the record should have; zero for requests that aren't
    /// held.
    std::size_t evidence_to_store(const request_digest& request) const;

    boost::asio::io_context& context_;
    persistent_records& store_;
    const membership_service& membership_;
    quarantine_registry& quarantine_;
    /// Held requests that the store contains, as far as this instance knows, with the number of
    /// pieces of evidence in their records.
    std::map<request_digest, std::size_t> stored_;
    /// Requests whose record must be written or removed.
    std::set<request_digest> pending_writes_;
    boost::asio::steady_timer due_;
};

} // namespace bamboostream
