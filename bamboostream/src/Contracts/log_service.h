#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/failure.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bamboostream {

/// Why a call to the platform's log failed.
enum class log_error : std::uint8_t {
    none,
    /// The record was not appended: the log's rate limit refused it, or the log was unreachable.
    not_appended,
    /// The record may or may not have been appended; only reading the stream shows which.
    unknown,
    /// Reading failed.
    unavailable,
};
using log_failure = failure<log_error>;

/// One record of a stream.
struct log_record {
    std::int64_t offset = 0;
    /// When the log appended it, in milliseconds since the Unix epoch.
    wall_time time = 0;
    std::string data;
};

/// Consecutive records of a stream. Also when `records` is empty, `next_offset` gives the end of
/// the stream.
struct log_page {
    /// Oldest offset that the log retains.
    std::int64_t first_offset = 0;
    /// Offset of the next record to be appended.
    std::int64_t next_offset = 0;
    std::vector<log_record> records;
};

/// The platform's append-only log: named streams of records with offsets. It accepts several
/// hundred appends per second, retains records for a limited time, and has outages.
/// docs/CONTRACTS.md describes its HTTP interface.
class log_service {
public:
    virtual ~log_service() = default;
    /// Appends one record and returns its offset. On failure, `why` tells whether the record may
    /// have been appended nevertheless.
    virtual boost::asio::awaitable<std::optional<std::int64_t>>
    append(std::string stream, std::string data, log_failure& why) = 0;
    /// Reads records from offset `from`, waiting up to `wait` for the first one.
    virtual boost::asio::awaitable<std::optional<log_page>>
    read(std::string stream, std::int64_t from, milliseconds wait, log_failure& why) = 0;
};

/// Client of the log over HTTP.
class http_log_service final : public log_service {
public:
    http_log_service(boost::asio::any_io_executor executor, std::string address,
                     milliseconds timeout);
    boost::asio::awaitable<std::optional<std::int64_t>> append(std::string stream, std::string data,
                                                               log_failure& why) override;
    boost::asio::awaitable<std::optional<log_page>>
    read(std::string stream, std::int64_t from, milliseconds wait, log_failure& why) override;

private:
    boost::asio::any_io_executor executor_;
    std::string address_;
    milliseconds timeout_;
};

} // namespace bamboostream
