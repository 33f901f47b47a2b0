#include "bamboostream/src/Gateway/document_fetcher.h"

#include "bamboostream/src/Core/digest.h"

#include <algorithm>

namespace bamboostream {

namespace {

/// Number of sources to remember. One is enough; the others are used when it is dead or busy.
constexpr std::size_t max_sources = 8;
/// Pause after an answer without bytes ("not yet" or "busy"). It doubles with each such answer in a
/// row.
constexpr milliseconds initial_backoff{30};
constexpr milliseconds max_backoff{240};
/// Pause before a source that didn't answer in time is asked again while there are others.
constexpr milliseconds timeout_pause{500};
constexpr milliseconds max_piece_timeout{600};

milliseconds exponential_backoff(milliseconds initial, int doublings, milliseconds max_pause) {
    milliseconds out = initial;
    for (int i = 0; i < doublings && out < max_pause; ++i) {
        out *= 2;
    }
    return std::min(out, max_pause);
}

} // namespace

std::string_view to_string(piece_result result) {
    constexpr std::array<std::string_view, static_cast<std::size_t>(piece_result::count_)> names = {
        "taken", "complete", "not_needed", "out_of_order", "unsound", "none"};
    return names.at(static_cast<std::size_t>(result));
}

void document_fetcher::set_held(std::int64_t version, std::uint64_t digest) {
    held_version_ = version;
    held_digest_ = digest;
    full_document_wanted_ = false;
    std::erase_if(sources_, [&](const source& s) { return s.version <= version; });
    const bool is_older = transfer_ && transfer_->encoded.version <= version;
    const bool has_other_base = transfer_ && transfer_->encoded.base_digest != 0 &&
                                transfer_->encoded.base_digest != digest;
    if (is_older || has_other_base) {
        transfer_.reset();
    }
    if (!transfer_) {
        awaited_peer_.clear();
    }
}

internal::document_source* document_fetcher::find_source(const std::string& address) {
    const auto found = std::find_if(sources_.begin(), sources_.end(),
                                    [&](const source& s) { return s.address == address; });
    return found == sources_.end() ? nullptr : &*found;
}

void document_fetcher::add_source(const std::string& address, std::int64_t version,
                                  time_point now) {
    if (version <= held_version_ || version <= rejected_version_) {
        return;
    }
    if (version > newest_known_) {
        newest_known_ = version;
        known_since_ = now;
    }
    if (source* known = find_source(address)) {
        known->version = std::max(known->version, version);
        return;
    }
    if (sources_.size() >= max_sources) {
        sources_.erase(sources_.begin());
    }
    sources_.push_back({address, version});
}

/// Continues at the source of the current transfer if possible, otherwise at a random one.
internal::document_source* document_fetcher::choose_source(time_point now) {
    const auto may_ask = [&](const source& s) { return s.retry_at <= now; };
    if (transfer_) {
        source* current = find_source(transfer_->from);
        if (current != nullptr && may_ask(*current)) {
            return current;
        }
    }
    std::vector<source*> available;
    for (source& s : sources_) {
        if (may_ask(s)) {
            available.push_back(&s);
        }
    }
    if (available.empty()) {
        return nullptr;
    }
    return available[std::uniform_int_distribution<std::size_t>(0, available.size() - 1)(random_)];
}

void document_fetcher::postpone(const std::string& address, milliseconds pause, time_point now) {
    if (source* s = find_source(address)) {
        s->retry_at = now + pause;
    }
}

void document_fetcher::on_timeout(time_point now) {
    ++timeouts_;
    postpone(awaited_peer_, timeout_pause, now);
    awaited_peer_.clear();
}

std::optional<document_fetcher::outgoing_request> document_fetcher::next(time_point now) {
    if (!awaited_peer_.empty()) {
        if (now < awaited_until_) {
            return std::nullopt;
        }
        on_timeout(now);
    }
    const source* chosen = choose_source(now);
    if (chosen == nullptr) {
        return std::nullopt;
    }
    awaited_peer_ = chosen->address;
    awaited_until_ = now + exponential_backoff(piece_timeout, timeouts_, max_piece_timeout);
    outgoing_request out{awaited_peer_,
                         {held_version_, full_document_wanted_ ? 0 : held_digest_, 0, 0}};
    if (transfer_) {
        out.request.encoding = transfer_->encoded.name;
        out.request.offset = static_cast<std::uint32_t>(transfer_->received_bytes.size());
    }
    return out;
}

time_point document_fetcher::due(time_point now) const {
    if (!awaited_peer_.empty()) {
        return awaited_until_;
    }
    time_point out = time_point::max();
    for (const source& s : sources_) {
        out = std::min(out, std::max(now, s.retry_at));
    }
    return out;
}

bool document_fetcher::is_valid(const document_piece& piece) const {
    return piece.document_bytes <= max_document_bytes &&
           piece.encoded_bytes <= max_document_bytes && piece.bytes.size() <= piece_bytes &&
           !piece.bytes.empty() && piece.bytes.size() <= piece.encoded_bytes &&
           piece.offset <= piece.encoded_bytes - piece.bytes.size();
}

/// A transfer in progress is finished before another one begins, so that versions that arrive
/// faster than one can be transferred don't keep interrupting each other.
bool document_fetcher::begin_transfer(const document_piece& piece, const std::string& sender,
                                      time_point now) {
    const bool fits = piece.base_digest == 0 || piece.base_digest == held_digest_;
    const bool is_wanted = !full_document_wanted_ || piece.base_digest == 0;
    const bool replaces =
        !transfer_ || transfer_->from == sender || now - last_progress_at_ > max_piece_timeout;
    if (piece.offset != 0 || !fits || !is_wanted || !replaces) {
        return false;
    }
    transfer_.emplace();
    transfer_->encoded = {piece.version,        piece.digest, piece.base_digest,
                          piece.document_bytes, nullptr,      piece.encoding};
    transfer_->encoded_bytes = piece.encoded_bytes;
    return true;
}

piece_result document_fetcher::append_piece(document_piece& piece, const std::string& sender,
                                            time_point now) {
    internal::partial_transfer& t = *transfer_;
    if (piece.encoded_bytes != t.encoded_bytes || piece.version != t.encoded.version) {
        return piece_result::invalid;
    }
    if (piece.offset != t.received_bytes.size()) {
        return piece.offset < t.received_bytes.size() ? piece_result::not_needed
                                                      : piece_result::out_of_order;
    }
    t.received_bytes += piece.bytes;
    t.from = sender;
    last_progress_at_ = now;
    timeouts_ = 0;
    if (t.received_bytes.size() < t.encoded_bytes) {
        return piece_result::taken;
    }
    received_ = std::move(t.encoded);
    received_.bytes = std::make_shared<const std::string>(std::move(t.received_bytes));
    transfer_.reset();
    if (stable_hash(*received_.bytes) != received_.name) {
        request_full_document();
        return piece_result::invalid;
    }
    return piece_result::complete;
}

piece_result document_fetcher::process_piece(document_piece& piece, const std::string& sender,
                                             time_point now) {
    if (piece.version <= held_version_) {
        return piece_result::not_needed;
    }
    if (!is_valid(piece)) {
        return piece_result::invalid;
    }
    if (!transfer_ || transfer_->encoded.name != piece.encoding) {
        if (!begin_transfer(piece, sender, now)) {
            return piece.offset == 0 ? piece_result::not_needed : piece_result::out_of_order;
        }
    }
    return append_piece(piece, sender, now);
}

piece_result document_fetcher::take(document_piece piece, const std::string& sender,
                                    time_point now) {
    if (awaited_peer_ == sender) {
        awaited_peer_.clear();
    }
    add_source(sender, piece.version, now);
    for (const std::string& holder : piece.holders) {
        add_source(holder, piece.version, now);
    }
    piece_result result = piece_result::none;
    if (piece.kind == piece_kind::bytes) {
        result = process_piece(piece, sender, now);
    }
    ++piece_counts_[static_cast<std::size_t>(result)];
    if (piece.version > held_version_) {
        last_answer_at_ = now;
    }
    source* s = find_source(sender);
    if (s == nullptr) {
        return result;
    }
    if (result == piece_result::taken || result == piece_result::complete) {
        s->failed_requests = 0;
        return result;
    }
    const bool is_duplicate = transfer_ && transfer_->encoded.name == piece.encoding;
    if (!is_duplicate) {
        postpone(sender, exponential_backoff(initial_backoff, s->failed_requests++, max_backoff),
                 now);
    }
    return result;
}

std::vector<std::string> document_fetcher::sources() const {
    std::vector<std::string> out;
    for (const source& s : sources_) {
        out.push_back(s.address);
    }
    return out;
}

void document_fetcher::request_full_document() {
    full_document_wanted_ = true;
    transfer_.reset();
    received_ = {};
}

void document_fetcher::reject(std::int64_t version) {
    rejected_version_ = std::max(rejected_version_, version);
    newest_known_ = held_version_;
    sources_.clear();
}

bool document_fetcher::is_stalled(time_point now) const {
    if (!knows_newer_version()) {
        return false;
    }
    const time_point progress = std::max(known_since_, last_progress_at_);
    return now - std::max(progress, last_answer_at_) > peer_answer_timeout ||
           now - progress > max_time_without_piece;
}

std::optional<partial_document>
document_fetcher::partial_for(const document_request& request) const {
    const auto is_usable = [&](const encoded_document& encoded) {
        return encoded.version > std::max(request.held_version, held_version_) &&
               (encoded.base_digest == 0 || encoded.base_digest == request.held_digest);
    };
    if (transfer_ && is_usable(transfer_->encoded)) {
        return partial_document{transfer_->encoded, transfer_->encoded_bytes,
                                transfer_->received_bytes};
    }
    if (received_.bytes && is_usable(received_)) {
        const auto size = static_cast<std::uint32_t>(received_.bytes->size());
        return partial_document{received_, size, *received_.bytes};
    }
    return std::nullopt;
}

document_piece answer_from(document_provider& provider, const document_fetcher& fetcher,
                           const document_request& request, const std::string& requester,
                           time_point now) {
    document_piece out = provider.answer(request, requester, now);
    if (out.kind != piece_kind::nothing_newer || fetcher.newest_known() <= request.held_version) {
        return out;
    }
    out.kind = piece_kind::busy;
    out.version = fetcher.newest_known();
    if (const auto partial = fetcher.partial_for(request)) {
        out = provider.answer_from(*partial, request, requester, now);
    }
    if (out.kind == piece_kind::busy) {
        out.holders = fetcher.sources();
        std::erase(out.holders, requester);
    }
    return out;
}

} // namespace bamboostream
