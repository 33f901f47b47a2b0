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

/// Why the platform's store didn't give what was asked for.
enum class store_error : std::uint8_t {
    none,
    /// It can't be reached, refuses, or answers with something else.
    unavailable,
    /// The records from there on are gone; the newest ones must be read anew.
    gap,
};
using store_failure = failure<store_error>;

/// What the records of a topic are about.
enum class record_topic : std::uint8_t { operator_documents, backend_entries };

/// The newest record of one key; an empty value says that the key was removed.
struct keyed_record {
    std::string key;
    std::string value;
};

struct record_page {
    std::vector<keyed_record> records;
    /// Where reading goes on.
    std::int64_t next = 0;
};

/// The failure domains that the operator has taken out of service. The whole set goes from instance
/// to instance, so that a lost or repeated telling does no harm.
struct cordoned_domains {
    std::set<failure_domain_id> domains;
    /// Everything that the store's topic of documents says before this position is in the set; zero
    /// while nothing is known.
    std::int64_t position = 0;
};

/// The platform's store as the product needs it: topics of keyed records. Read only.
class record_store {
public:
    virtual ~record_store() = default;
    /// The newest record of every key. A record that is written meanwhile may be missing; it comes
    /// again when reading goes on at `next`.
    virtual boost::asio::awaitable<std::optional<record_page>> newest(record_topic topic,
                                                                      store_failure& why) = 0;
    /// Records from `from` on; waits up to `wait` for the first.
    virtual boost::asio::awaitable<std::optional<record_page>>
    read(record_topic topic, std::int64_t from, milliseconds wait, store_failure& why) = 0;
};

/// The product's own records in the platform's store, which survive the end of all instances. The
/// store keeps the newest record of each key.
class persistent_records {
public:
    virtual ~persistent_records() = default;
    virtual boost::asio::awaitable<std::optional<std::vector<keyed_record>>>
    read_all(store_failure& why) = 0;
    /// An empty value removes the key. False when the store may not have taken it.
    virtual boost::asio::awaitable<bool> write(keyed_record record, store_failure& why) = 0;
};

/// How the records are written. Translates only.
class record_codec {
public:
    virtual ~record_codec() = default;
    /// The key of the record that holds the routing configuration.
    virtual std::string_view configuration_key() const = 0;
    /// The failure domain that a record with this key takes out of service for as long as it is
    /// there; nothing when the key is of another kind.
    virtual std::optional<failure_domain_id> cordoned_domain(std::string_view key) const = 0;
    virtual std::optional<routing_configuration> read_configuration(std::string_view text,
                                                                    std::string& why) const = 0;
    virtual std::optional<registered_backend> read_backend(const std::string& key,
                                                           std::string_view text, time_point now,
                                                           std::string& why) const = 0;
};

} // namespace bamboostream
