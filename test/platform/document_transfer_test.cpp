// Handing a document on: what is sent, whom an instance serves, and what becomes of pieces that are
// late, doubled, damaged or of something else; without a network.

#include "bamboostream/Configuration"
#include "bamboostream/Gateway"
#include "platform/platform_record_codec.h"
#include "platform/platform_request_codec.h"
#include "test/platform/decision_helpers.h"
#include "test/platform/document_play.h"

#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

std::shared_ptr<const std::string> shared(std::string text) {
    return std::make_shared<const std::string>(std::move(text));
}

const std::string old_text = large_document_text(1, 1'500, 3);
const std::string new_text = large_document_text(2, 1'501, 3);
/// Nothing in common with the others, so that a change of it takes many pieces.
const std::string other_text = large_document_text(2, 6'000, 900'000);

// --- what is sent

// Routes grow with customers, and each change was as large as all of them. Before: 287 kB for one
// route more among 1,500; after: under 1 kB.
TEST(document_encoding_test, a_change_is_as_large_as_what_has_changed) {
    const encoded_document change = encode_document(2, new_text, old_text);
    EXPECT_LT(change.bytes->size(), 1'000u);
    document_failure why;
    EXPECT_EQ(decode_document(change, old_text, why), new_text) << why.text;
    const encoded_document whole = encode_document(2, new_text, {});
    EXPECT_LT(whole.bytes->size(), new_text.size() / 4);
    EXPECT_EQ(decode_document(whole, {}, why), new_text) << why.text;
}

/// Something that isn't what its sender encoded, or of something else.
struct damage_row {
    std::string name;
    void (*damage)(encoded_document& encoded);
    document_error error;
};
void replace(encoded_document& encoded, std::string bytes) {
    encoded.bytes = shared(std::move(bytes));
}

class damaged_encoding : public testing::TestWithParam<damage_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, damaged_encoding,
    testing::Values(
        damage_row{"other_base", [](encoded_document& e) { e.base_digest = 1; },
                   document_error::base_mismatch},
        damage_row{"digest_of_another", [](encoded_document& e) { ++e.digest; },
                   document_error::corrupt},
        damage_row{"a_byte_changed",
                   [](encoded_document& e) {
                       std::string bytes = *e.bytes;
                       bytes[bytes.size() / 2] ^= 1;
                       replace(e, std::move(bytes));
                   },
                   document_error::corrupt},
        damage_row{"cut",
                   [](encoded_document& e) { replace(e, e.bytes->substr(0, e.bytes->size() / 2)); },
                   document_error::corrupt},
        damage_row{"not_encoded", [](encoded_document& e) { replace(e, "{}"); },
                   document_error::corrupt},
        damage_row{"empty", [](encoded_document& e) { replace(e, ""); }, document_error::corrupt},
        damage_row{"unpacks_to_much",
                   [](encoded_document& e) {
                       const std::string large(max_document_bytes + 1, 'x');
                       replace(e, *encode_document(2, large, {}).bytes);
                   },
                   document_error::too_large}),
    [](const auto& info) { return info.param.name; });

// A peer sends something that isn't the document, or is damaged under way. Taken, it would be in
// force; unpacked without a limit, a few kilobytes would end the instance for want of memory.
TEST_P(damaged_encoding, is_not_taken) {
    encoded_document encoded = encode_document(2, new_text, old_text);
    GetParam().damage(encoded);
    document_failure why;
    EXPECT_FALSE(decode_document(encoded, old_text, why));
    EXPECT_EQ(why.code, GetParam().error);
}

// The operator writes 50 MB. The version in force stays.
TEST(deployment_state_test, a_document_beyond_all_measure_is_refused) {
    const platform::platform_request_codec requests;
    const platform::platform_record_codec records;
    forwarding_state forwarding(requests, failure_domain_id("z"), {}, 1);
    deployment_state state(forwarding, records);
    std::string blanks;
    blanks.resize(50'000'000, ' ');
    state.submit_configuration(old_text, "store");
    state.submit_configuration(large_document_text(2, 1, 3) + blanks, "store");
    EXPECT_EQ(state.version(), 1);
    EXPECT_EQ(state.rejected_documents(), 1u);
}

// --- whom an instance serves

document_request request_of(const document_provider& held, std::uint64_t encoding = 0,
                            std::uint32_t offset = 0) {
    return {held.version(), held.digest(), encoding, offset};
}

class document_provider_test : public testing::Test {
protected:
    document_provider_test() {
        held_.set_document(1, shared(old_text));
        shelf_.set_document(1, shared(old_text));
        shelf_.set_document(2, shared(other_text));
    }
    document_provider held_{1};
    document_provider shelf_{2};
};

// Seventy instances ask at the same moment. The document is encoded once for all of them; as many
// are served as the link bears, and the others are told who gets it.
TEST_F(document_provider_test, encodes_once_and_serves_as_many_as_the_link_bears) {
    int served = 0;
    for (int i = 0; i < 70; ++i) {
        const auto piece = shelf_.answer(request_of(held_), std::to_string(i), start);
        served += piece.kind == piece_kind::bytes ? 1 : 0;
        if (piece.kind == piece_kind::busy) {
            EXPECT_FALSE(piece.holders.empty());
            EXPECT_TRUE(piece.bytes.empty());
        }
    }
    EXPECT_EQ(served, 2);
    EXPECT_EQ(shelf_.encoded(), 1u);
    // Whoever asks no further makes room.
    EXPECT_EQ(shelf_.answer(request_of(held_), "x", start + seconds(1)).kind, piece_kind::bytes);
}

// A small change is for everybody at once.
TEST_F(document_provider_test, a_small_change_goes_to_all) {
    document_provider shelf(1);
    shelf.set_document(1, shared(old_text));
    shelf.set_document(2, shared(new_text));
    for (int i = 0; i < 70; ++i) {
        const auto piece = shelf.answer(request_of(held_), std::to_string(i), start);
        EXPECT_EQ(piece.kind, piece_kind::bytes);
        EXPECT_EQ(piece.bytes.size(), piece.encoded_bytes);
    }
    EXPECT_EQ(shelf.encoded(), 1u);
}

/// How fast a link is and how many are served over it.
struct link_row {
    std::string name;
    double mbps;
    std::size_t served;
};
class served_over : public testing::TestWithParam<link_row> {};

INSTANTIATE_TEST_SUITE_P(table, served_over,
                         testing::Values(link_row{"unknown", 0.0, 8}, link_row{"slow", 0.1, 1},
                                         link_row{"small", 10.0, 2}, link_row{"large", 200.0, 32},
                                         link_row{"huge", 1e9, 32}),
                         [](const auto& info) { return info.param.name; });

// Pieces of all that are served wait on one link; a probe behind them must not be late.
TEST_P(served_over, a_link) {
    EXPECT_EQ(document_provider::max_served_for_link(GetParam().mbps), GetParam().served);
}

// --- what becomes of pieces

/// Two holders of a new document and an instance that fetches it.
class document_fetcher_test : public testing::Test {
protected:
    document_fetcher_test() {
        for (document_provider* shelf : {&a_, &b_}) {
            shelf->set_document(1, shared(old_text));
            shelf->set_document(2, shared(other_text));
        }
        held_.set_document(1, shared(old_text));
        fetch_.set_held(1, held_.digest());
    }
    document_provider& shelf_of(const std::string& name) { return name == "a" ? a_ : b_; }
    /// Asks until it is whole or nobody can be asked; counts the pieces of each holder.
    void fetch_all(time_point now) {
        constexpr int most_questions = 100;
        for (int i = 0; i < most_questions; ++i) {
            const auto outgoing_request = fetch_.next(now);
            if (!outgoing_request) {
                return;
            }
            ++asked_[outgoing_request->to];
            auto piece =
                shelf_of(outgoing_request->to).answer(outgoing_request->request, "me", now);
            verdict_ = fetch_.take(std::move(piece), outgoing_request->to, now);
            if (verdict_ == piece_result::complete) {
                return;
            }
        }
    }
    document_piece first_piece(const std::string& name = "a") {
        return shelf_of(name).answer(request_of(held_), "me", start);
    }
    std::uint64_t count(piece_result verdict) const {
        return fetch_.pieces()[static_cast<std::size_t>(verdict)];
    }

    document_provider a_{8};
    document_provider b_{8};
    document_provider held_{8};
    document_fetcher fetch_{1};
    std::map<std::string, int> asked_;
    piece_result verdict_ = piece_result::none;
};

// The holder dies in the middle. What has come isn't asked for again: the transfer goes on at
// another one.
TEST_F(document_fetcher_test, goes_on_at_another_holder) {
    fetch_.add_source("a", 2, start);
    const auto outgoing_request = fetch_.next(start);
    ASSERT_TRUE(outgoing_request);
    fetch_.take(first_piece(), "a", start);
    ASSERT_TRUE(fetch_.next(start));
    fetch_.add_source("b", 2, start);
    EXPECT_FALSE(fetch_.next(start + piece_timeout - milliseconds(1)));
    fetch_all(start + piece_timeout);
    ASSERT_EQ(verdict_, piece_result::complete);
    EXPECT_EQ(asked_["a"], 0);
    const std::size_t pieces = (fetch_.received().bytes->size() + piece_bytes - 1) / piece_bytes;
    EXPECT_EQ(static_cast<std::size_t>(asked_["b"]), pieces - 1);
    document_failure why;
    EXPECT_EQ(decode_document(fetch_.received(), old_text, why), other_text) << why.text;
}

// A piece comes after another holder was asked in vain. It was thrown away once, and on a slow link
// all came so late.
TEST_F(document_fetcher_test, a_late_piece_counts) {
    fetch_.add_source("a", 2, start);
    ASSERT_TRUE(fetch_.next(start));
    const time_point late = start + seconds(3);
    EXPECT_EQ(fetch_.take(first_piece(), "a", late), piece_result::taken);
    EXPECT_FALSE(fetch_.is_stalled(late));
    // The same comes once more, from somebody else who was asked meanwhile.
    EXPECT_EQ(fetch_.take(first_piece("b"), "b", late), piece_result::not_needed);
    fetch_all(late);
    EXPECT_EQ(verdict_, piece_result::complete);
}

/// Something wrong with a piece, after the first good one was taken.
struct wrong_row {
    std::string name;
    void (*change)(document_piece& piece);
    piece_result verdict;
};

class wrong_piece : public document_fetcher_test, public testing::WithParamInterface<wrong_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, wrong_piece,
    testing::Values(
        wrong_row{"behind_a_gap", [](document_piece& p) { p.offset += 100; },
                  piece_result::out_of_order},
        wrong_row{"of_another_encoding", [](document_piece& p) { ++p.encoding; },
                  piece_result::out_of_order},
        wrong_row{"of_an_older_version", [](document_piece& p) { p.version = 1; },
                  piece_result::not_needed},
        wrong_row{"of_two_versions", [](document_piece& p) { p.version = 3; },
                  piece_result::invalid},
        wrong_row{"larger_than_said", [](document_piece& p) { p.encoded_bytes = 10; },
                  piece_result::invalid},
        wrong_row{"larger_than_any",
                  [](document_piece& p) { p.document_bytes = max_document_bytes + 1; },
                  piece_result::invalid},
        wrong_row{"more_than_a_piece", [](document_piece& p) { p.bytes.resize(piece_bytes + 1); },
                  piece_result::invalid},
        wrong_row{"at_an_absurd_offset",
                  [](document_piece& p) { p.offset = std::numeric_limits<std::uint32_t>::max(); },
                  piece_result::invalid}),
    [](const auto& info) { return info.param.name; });

// Pieces that don't fit are counted and change nothing; the transfer goes on.
TEST_P(wrong_piece, changes_nothing) {
    fetch_.add_source("a", 2, start);
    ASSERT_TRUE(fetch_.next(start));
    const document_piece first = first_piece();
    fetch_.take(first, "a", start);
    document_piece piece = a_.answer(request_of(held_, first.encoding, piece_bytes), "me", start);
    GetParam().change(piece);
    EXPECT_EQ(fetch_.take(std::move(piece), "a", start), GetParam().verdict);
    EXPECT_EQ(count(GetParam().verdict), 1u);
    fetch_all(start + seconds(1));
    ASSERT_EQ(verdict_, piece_result::complete);
    document_failure why;
    EXPECT_EQ(decode_document(fetch_.received(), old_text, why), other_text) << why.text;
}

// A byte is damaged under way, which shows only when all is there: the whole is asked for, and a
// change isn't taken in its place.
TEST_F(document_fetcher_test, after_damage_the_whole_is_asked_for) {
    fetch_.add_source("a", 2, start);
    document_piece piece = first_piece();
    piece.encoded_bytes = static_cast<std::uint32_t>(piece.bytes.size());
    piece.bytes[100] ^= 1;
    ASSERT_TRUE(fetch_.next(start));
    EXPECT_EQ(fetch_.take(std::move(piece), "a", start), piece_result::invalid);
    EXPECT_EQ(fetch_.take(first_piece("b"), "b", start), piece_result::not_needed);
    const auto outgoing_request = fetch_.next(start + seconds(1));
    ASSERT_TRUE(outgoing_request);
    EXPECT_EQ(outgoing_request->request.held_digest, 0u);
    EXPECT_EQ(outgoing_request->request.offset, 0u);
}

// Versions come faster than one can be carried over a small link. The transfer that is under way is
// finished first; each newer one would begin anew and none would ever be in force.
TEST_F(document_fetcher_test, a_newer_version_doesnt_keep_out_the_one_under_way) {
    fetch_.add_source("a", 2, start);
    ASSERT_TRUE(fetch_.next(start));
    fetch_.take(first_piece(), "a", start);
    a_.set_document(3, shared(large_document_text(3, 6'001, 900'000)));
    fetch_.add_source("a", 3, start);
    fetch_all(start);
    EXPECT_EQ(verdict_, piece_result::complete);
    EXPECT_EQ(fetch_.received().version, 2);
}

// Whoever was told of a version asks a relay that is still fetching it. The relay passes on what it
// has, so that a large document goes through many instances in little more time than through one.
TEST_F(document_fetcher_test, what_has_come_is_passed_on) {
    fetch_.add_source("a", 2, start);
    ASSERT_TRUE(fetch_.next(start));
    const document_piece first = first_piece();
    const auto ask = [&](std::uint32_t offset) {
        return answer_from(held_, fetch_, request_of(held_, offset ? first.encoding : 0, offset),
                           "other", start);
    };
    const document_piece too_early = ask(0);
    EXPECT_EQ(too_early.kind, piece_kind::busy);
    EXPECT_EQ(too_early.holders, std::vector<std::string>{"a"});
    fetch_.take(first, "a", start);
    const document_piece passed_on = ask(0);
    EXPECT_EQ(passed_on.kind, piece_kind::bytes);
    EXPECT_EQ(passed_on.bytes, first.bytes);
    EXPECT_EQ(ask(piece_bytes).kind, piece_kind::busy);
}

// A configuration that this instance can't use isn't fetched again and again.
TEST_F(document_fetcher_test, a_refused_version_is_left_alone) {
    fetch_.add_source("a", 2, start);
    fetch_.reject(2);
    fetch_.add_source("a", 2, start);
    EXPECT_FALSE(fetch_.next(start + seconds(1)));
    EXPECT_FALSE(fetch_.is_stalled(start + seconds(5)));
    fetch_.add_source("a", 3, start);
    EXPECT_TRUE(fetch_.next(start + seconds(1)));
}

// All that have the version serve others. They are asked again, ever less often, and the store is
// read when that takes too long.
TEST_F(document_fetcher_test, busy_holders_are_asked_again_until_the_store_is_read) {
    fetch_.add_source("a", 2, start);
    document_piece busy;
    busy.kind = piece_kind::busy;
    busy.version = 2;
    int questions = 0;
    time_point now = start;
    while (!fetch_.is_stalled(now) && now < start + seconds(5)) {
        if (const auto outgoing_request = fetch_.next(now)) {
            ++questions;
            fetch_.take(busy, outgoing_request->to, now);
        }
        now += milliseconds(1);
    }
    EXPECT_GT(now - start, max_time_without_piece);
    EXPECT_LT(now - start, max_time_without_piece + milliseconds(50));
    EXPECT_LT(questions, 12);
}

// A reader tells of a configuration, and no peer hands it on. The store is read then, not before,
// and not for a version that is known here; an older word that comes late changes nothing.
TEST_F(document_fetcher_test, the_store_is_read_when_no_peer_hands_on) {
    fetch_.set_held(6, 66);
    fetch_.add_source("r1", 7, start);
    fetch_.add_source("r2", 5, start + milliseconds(10));
    const time_point later = start + peer_answer_timeout + milliseconds(1);
    EXPECT_TRUE(fetch_.is_stalled(later));
    // Until then a peer may hand it on.
    EXPECT_FALSE(fetch_.is_stalled(start + peer_answer_timeout));
    fetch_.set_held(7, 77);
    EXPECT_FALSE(fetch_.is_stalled(later));
}

} // namespace
} // namespace bamboostream::test
