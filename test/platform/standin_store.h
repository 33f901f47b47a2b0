#pragma once

#include "bamboostream/Http"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bamboostream::test {

/// How a `standin_store` treats the calls at one of its addresses.
enum class store_manner : std::uint8_t { answers, refuses, is_silent };

/// A minimal fake of the platform's store, with topics of keyed records. It serves the same records
/// at several addresses, so that it can treat the calls of different instances differently.
class standin_store {
public:
    explicit standin_store(boost::asio::io_context& context);
    ~standin_store();
    standin_store(const standin_store&) = delete;
    standin_store& operator=(const standin_store&) = delete;

    /// Starts listening on another address and returns it, for use with `set_manner`.
    std::string add_address();
    /// Sets how calls at `address` are treated, including those that are waiting for a record.
    void set_manner(const std::string& address, store_manner manner);
    /// Does the same for the calls about one topic only.
    void set_manner(const std::string& address, const std::string& topic, store_manner manner);
    /// Number of reads of the topic that wait at the address for a record. An instance with such a
    /// read is one that reads the store for all.
    int waiting_reads(const std::string& address, const std::string& topic) const;
    /// Writes a record as the operator ("keyed.op") or a backend server ("keyed.servers") does; an
    /// empty value removes the key.
    void write(const std::string& topic, const std::string& key, const std::string& value);
    /// Deletes the history; the newest record of each key is kept.
    void forget_history(const std::string& topic);
    int calls() const { return calls_; }

private:
    struct record {
        std::string key;
        std::string value;
    };
    struct topic_state {
        std::int64_t first = 0;
        std::vector<record> records;
        std::map<std::string, std::string> newest;
        std::int64_t end() const { return first + static_cast<std::int64_t>(records.size()); }
    };
    boost::asio::awaitable<void> handle(http_exchange& exchange, const std::string& address);
    using place = std::pair<std::string, std::string>;
    store_manner manner_at(const place& where) const;
    boost::asio::awaitable<void> read(http_exchange& exchange, const place& where);
    boost::asio::awaitable<void> newest(http_exchange& exchange);
    boost::asio::awaitable<void> append(http_exchange& exchange);
    /// Fails a call: refuses it, or leaves it unanswered until the caller has timed out.
    boost::asio::awaitable<void> reject(http_exchange& exchange, store_manner manner);

    boost::asio::io_context& context_;
    std::vector<std::unique_ptr<http_server>> servers_;
    /// Keyed by address and topic.
    std::map<place, store_manner> manners_;
    std::map<place, int> waiting_;
    std::map<std::string, topic_state> topics_;
    int calls_ = 0;
};

} // namespace bamboostream::test
