#include "bamboostream/src/Gateway/document_fetch.h"

#include "bamboostream/src/Core/digest.h"

#include <algorithm>

namespace bamboostream {

namespace {

/// Sources that are remembered; one is enough, the others are for when it is dead or busy.
constexpr std::size_t most_sources = 8;
/// After an answer that said "not yet" or "busy"; twice as long each time.
constexpr milliseconds first_pause{30};
constexpr milliseconds longest_pause{240};
/// Before a source that was silent is asked again, while there are others.
constexpr milliseconds silent_pause{500};
constexpr milliseconds longest_patience{600};

milliseconds doubled(milliseconds first, int times, milliseconds longest) {
    milliseconds out = first;
    for (int i = 0; i < times && out < longest; ++i) {
        out *= 2;
    }
    return std::min(out, longest);
}

} // namespace

std::string_view to_string(piece_verdict verdict) {
    constexpr std::array<std::string_view, static_cast<std::size_t>(piece_verdict::count_)> names =
        {"taken", "complete", "not_needed", "out_of_order", "unsound", "none"};
    return names.at(static_cast<std::size_t>(verdict));
}

void document_fetch::hold(std::int64_t version, std::uint64_t digest) {
    held_version_ = version;
    held_digest_ = digest;
    whole_wanted_ = false;
    std::erase_if(sources_, [&](const source& s) { return s.version <= version; });
    const bool is_older = transfer_ && transfer_->encoded.version <= version;
    const bool is_of_other = transfer_ && transfer_->encoded.base_digest != 0 &&
                             transfer_->encoded.base_digest != digest;
    if (is_older || is_of_other) {
        transfer_.reset();
    }
    if (!transfer_) {
        asked_.clear();
    }
}

internal::document_source* document_fetch::find(const std::string& address) {
    const auto found = std::find_if(sources_.begin(), sources_.end(),
                                    [&](const source& s) { return s.address == address; });
    return found == sources_.end() ? nullptr : &*found;
}

void document_fetch::hear(const std::string& address, std::int64_t version, time_point now) {
    if (version <= held_version_ || version <= refused_version_) {
        return;
    }
    if (version > newest_known_) {
        newest_known_ = version;
        known_since_ = now;
    }
    if (source* known = find(address)) {
        known->version = std::max(known->version, version);
        return;
    }
    if (sources_.size() >= most_sources) {
        sources_.erase(sources_.begin());
    }
    sources_.push_back({address, version});
}

/// Goes on where the transfer is, otherwise anywhere.
internal::document_source* document_fetch::choose(time_point now) {
    const auto may_ask = [&](const source& s) { return s.again_at <= now; };
    if (transfer_) {
        source* current = find(transfer_->from);
        if (current != nullptr && may_ask(*current)) {
            return current;
        }
    }
    std::vector<source*> open;
    for (source& s : sources_) {
        if (may_ask(s)) {
            open.push_back(&s);
        }
    }
    if (open.empty()) {
        return nullptr;
    }
    return open[std::uniform_int_distribution<std::size_t>(0, open.size() - 1)(random_)];
}

void document_fetch::put_off(const std::string& address, milliseconds pause, time_point now) {
    if (source* s = find(address)) {
        s->again_at = now + pause;
    }
}

void document_fetch::note_silence(time_point now) {
    ++silent_;
    put_off(asked_, silent_pause, now);
    asked_.clear();
}

std::optional<document_fetch::question> document_fetch::next(time_point now) {
    if (!asked_.empty()) {
        if (now < asked_until_) {
            return std::nullopt;
        }
        note_silence(now);
    }
    const source* chosen = choose(now);
    if (chosen == nullptr) {
        return std::nullopt;
    }
    asked_ = chosen->address;
    asked_until_ = now + doubled(piece_patience, silent_, longest_patience);
    question out{asked_, {held_version_, whole_wanted_ ? 0 : held_digest_, 0, 0}};
    if (transfer_) {
        out.request.encoding = transfer_->encoded.name;
        out.request.offset = static_cast<std::uint32_t>(transfer_->got.size());
    }
    return out;
}

time_point document_fetch::due(time_point now) const {
    if (!asked_.empty()) {
        return asked_until_;
    }
    time_point out = time_point::max();
    for (const source& s : sources_) {
        out = std::min(out, std::max(now, s.again_at));
    }
    return out;
}

bool document_fetch::is_sound(const document_piece& piece) const {
    return piece.document_bytes <= max_document_bytes &&
           piece.encoded_bytes <= max_document_bytes && piece.bytes.size() <= piece_bytes &&
           !piece.bytes.empty() && piece.bytes.size() <= piece.encoded_bytes &&
           piece.offset <= piece.encoded_bytes - piece.bytes.size();
}

/// A transfer that is under way is finished first, so that versions which come faster than one
/// can be carried don't keep each other out.
bool document_fetch::begin(const document_piece& piece, const std::string& sender, time_point now) {
    const bool fits = piece.base_digest == 0 || piece.base_digest == held_digest_;
    const bool is_wanted = !whole_wanted_ || piece.base_digest == 0;
    const bool replaces =
        !transfer_ || transfer_->from == sender || now - progressed_at_ > longest_patience;
    if (piece.offset != 0 || !fits || !is_wanted || !replaces) {
        return false;
    }
    transfer_.emplace();
    transfer_->encoded = {piece.version,        piece.digest, piece.base_digest,
                          piece.document_bytes, nullptr,      piece.encoding};
    transfer_->encoded_bytes = piece.encoded_bytes;
    return true;
}

piece_verdict document_fetch::add(document_piece& piece, const std::string& sender,
                                  time_point now) {
    internal::partial_transfer& t = *transfer_;
    if (piece.encoded_bytes != t.encoded_bytes || piece.version != t.encoded.version) {
        return piece_verdict::unsound;
    }
    if (piece.offset != t.got.size()) {
        return piece.offset < t.got.size() ? piece_verdict::not_needed
                                           : piece_verdict::out_of_order;
    }
    t.got += piece.bytes;
    t.from = sender;
    progressed_at_ = now;
    silent_ = 0;
    if (t.got.size() < t.encoded_bytes) {
        return piece_verdict::taken;
    }
    received_ = std::move(t.encoded);
    received_.bytes = std::make_shared<const std::string>(std::move(t.got));
    transfer_.reset();
    if (stable_hash(*received_.bytes) != received_.name) {
        ask_for_whole();
        return piece_verdict::unsound;
    }
    return piece_verdict::complete;
}

piece_verdict document_fetch::judge(document_piece& piece, const std::string& sender,
                                    time_point now) {
    if (piece.version <= held_version_) {
        return piece_verdict::not_needed;
    }
    if (!is_sound(piece)) {
        return piece_verdict::unsound;
    }
    if (!transfer_ || transfer_->encoded.name != piece.encoding) {
        if (!begin(piece, sender, now)) {
            return piece.offset == 0 ? piece_verdict::not_needed : piece_verdict::out_of_order;
        }
    }
    return add(piece, sender, now);
}

piece_verdict document_fetch::take(document_piece piece, const std::string& sender,
                                   time_point now) {
    if (asked_ == sender) {
        asked_.clear();
    }
    hear(sender, piece.version, now);
    for (const std::string& holder : piece.holders) {
        hear(holder, piece.version, now);
    }
    piece_verdict verdict = piece_verdict::none;
    if (piece.kind == piece_kind::bytes) {
        verdict = judge(piece, sender, now);
    }
    ++verdicts_[static_cast<std::size_t>(verdict)];
    if (piece.version > held_version_) {
        answered_at_ = now;
    }
    source* s = find(sender);
    if (s == nullptr) {
        return verdict;
    }
    if (verdict == piece_verdict::taken || verdict == piece_verdict::complete) {
        s->in_vain = 0;
        return verdict;
    }
    const bool came_twice = transfer_ && transfer_->encoded.name == piece.encoding;
    if (!came_twice) {
        put_off(sender, doubled(first_pause, s->in_vain++, longest_pause), now);
    }
    return verdict;
}

std::vector<std::string> document_fetch::sources() const {
    std::vector<std::string> out;
    for (const source& s : sources_) {
        out.push_back(s.address);
    }
    return out;
}

void document_fetch::ask_for_whole() {
    whole_wanted_ = true;
    transfer_.reset();
    received_ = {};
}

void document_fetch::refuse(std::int64_t version) {
    refused_version_ = std::max(refused_version_, version);
    newest_known_ = held_version_;
    sources_.clear();
}

bool document_fetch::is_stuck(time_point now) const {
    if (!knows_of_newer()) {
        return false;
    }
    const time_point progress = std::max(known_since_, progressed_at_);
    return now - std::max(progress, answered_at_) > handing_on ||
           now - progress > longest_without_piece;
}

std::optional<partial_document> document_fetch::partial_for(const document_request& request) const {
    const auto helps = [&](const encoded_document& encoded) {
        return encoded.version > std::max(request.held_version, held_version_) &&
               (encoded.base_digest == 0 || encoded.base_digest == request.held_digest);
    };
    if (transfer_ && helps(transfer_->encoded)) {
        return partial_document{transfer_->encoded, transfer_->encoded_bytes, transfer_->got};
    }
    if (received_.bytes && helps(received_)) {
        const auto size = static_cast<std::uint32_t>(received_.bytes->size());
        return partial_document{received_, size, *received_.bytes};
    }
    return std::nullopt;
}

document_piece answer_from(document_shelf& shelf, const document_fetch& fetch,
                           const document_request& request, const std::string& asker,
                           time_point now) {
    document_piece out = shelf.answer(request, asker, now);
    if (out.kind != piece_kind::nothing_newer || fetch.newest_known() <= request.held_version) {
        return out;
    }
    out.kind = piece_kind::busy;
    out.version = fetch.newest_known();
    if (const auto partial = fetch.partial_for(request)) {
        out = shelf.answer_from(*partial, request, asker, now);
    }
    if (out.kind == piece_kind::busy) {
        out.holders = fetch.sources();
        std::erase(out.holders, asker);
    }
    return out;
}

} // namespace bamboostream
