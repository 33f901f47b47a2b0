#pragma once

#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Forwarding/stream_origin_registry.h"
#include "bamboostream/src/Forwarding/stream_origin_table.h"
#include "bamboostream/src/Links/peer_links.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bamboostream::wire {
struct OriginReportT;
struct OriginRequestT;
} // namespace bamboostream::wire

namespace bamboostream {

/// Keeps the origins of streams at several instances.
///
/// The instance that forwards a stream tells `copies` others, its holders, before the caller gets
/// the first event, and again while the stream is open. The holders follow from the stream's digest
/// by rendezvous hashing, in different failure domains as far as there are any. An instance that
/// doesn't know a stream asks its holders, then the next instances in the same order, whose views
/// of the members may differ.
///
/// With the forwarding instance there are six copies: of streams whose instances fail with a
/// probability of 0.6 each, 0.953 remain known. Lives on one thread.
class stream_origin_exchange final : public stream_origin_registry {
public:
    static constexpr std::size_t copies = 5;

    stream_origin_exchange(boost::asio::io_context& context, peer_links& links,
                           const membership_service& membership, stream_origin_table& table)
        : context_(context), links_(links), membership_(membership), table_(table) {}

    void start();
    void record(const request_digest& stream, const stream_origin& origin, duration keep) override;
    void close(const request_digest& stream) override;
    boost::asio::awaitable<std::optional<stream_origin>> find(request_digest stream) override;

    /// Keeps what another instance reports.
    void hear(const wire::OriginReportT& report);
    std::unique_ptr<wire::FrameT> answer(const wire::OriginRequestT& request) const;

private:
    /// An origin and how long it is kept.
    struct open_stream {
        stream_origin origin;
        duration keep{};
    };
    /// The other instances that may hold the stream's origin, its holders first.
    std::vector<std::string> candidates(const request_digest& stream) const;
    boost::asio::awaitable<std::optional<stream_origin>> ask(std::span<const std::string> peers,
                                                             request_digest stream);
    boost::asio::awaitable<void> report_loop();
    void report_open_streams();

    boost::asio::io_context& context_;
    peer_links& links_;
    const membership_service& membership_;
    stream_origin_table& table_;
    /// The streams that this instance forwards.
    std::map<request_digest, open_stream> open_;
};

} // namespace bamboostream
