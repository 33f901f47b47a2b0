#pragma once

#include "bamboostream/src/Configuration/routing_configuration.h"
#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/failure.h"
#include "bamboostream/src/Membership/backend_registry.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// Why the platform's store didn't return what was asked for.
enum class store_error : std::uint8_t {
    none,
    /// The store can't be reached, refuses the request or sends an unexpected answer.
    unavailable,
    /// The records from the requested position on are no longer stored; the newest ones must be
    /// read again.
    gap,
};
using store_failure = failure<store_error>;

/// What the records of a topic describe.
enum class record_topic : std::uint8_t { operator_documents, backend_entries };

/// The newest record of one key. An empty value means that the key was removed.
struct keyed_record {
    std::string key;
    std::string value;
};

/// Records of a topic that were read at once.
struct record_page {
    std::vector<keyed_record> records;
    /// The position at which reading continues.
    std::int64_t next = 0;
};

/// The failure domains that the operator has taken out of service. Instances always send each other
/// the whole set, so that a lost or repeated message does no harm.
struct cordoned_domains {
    std::set<failure_domain_id> domains;
    /// The set includes everything before this position in the store's topic of documents. Zero
    /// while nothing is known.
    std::int64_t position = 0;
};

/// Read-only access to the platform's store: topics of keyed records.
class record_store {
public:
    virtual ~record_store() = default;
    /// Returns the newest record of every key. A record that is written meanwhile may be missing;
    /// it is returned when reading continues at `next`.
    virtual boost::asio::awaitable<std::optional<record_page>> newest(record_topic topic,
                                                                      store_failure& why) = 0;
    /// Returns records from position `from` on. Waits up to `wait` for the first one.
    virtual boost::asio::awaitable<std::optional<record_page>>
    read(record_topic topic, std::int64_t from, milliseconds wait, store_failure& why) = 0;
};

/// Records that the gateway itself keeps in the platform's store, so that they survive the end of
/// all instances. The store keeps the newest record of each key.
class persistent_records {
public:
    virtual ~persistent_records() = default;
    virtual boost::asio::awaitable<std::optional<std::vector<keyed_record>>>
    read_all(store_failure& why) = 0;
    /// Writes the record; an empty value removes the key. Returns false when the store may not have
    /// stored it.
    virtual boost::asio::awaitable<bool> write(keyed_record record, store_failure& why) = 0;
};

/// Translates between the records of a deployment and the types of the gateway.
class record_codec {
public:
    virtual ~record_codec() = default;
    /// The key of the record that contains the routing configuration.
    virtual std::string_view configuration_key() const = 0;
    /// Returns the failure domain that a record with this key takes out of service for as long as
    /// the record exists. Returns nothing for other keys.
    virtual std::optional<failure_domain_id> cordoned_domain(std::string_view key) const = 0;
    virtual std::optional<routing_configuration> read_configuration(std::string_view text,
                                                                    std::string& why) const = 0;
    virtual std::optional<registered_backend> read_backend(const std::string& key,
                                                           std::string_view text, time_point now,
                                                           std::string& why) const = 0;
};

} // namespace bamboostream
