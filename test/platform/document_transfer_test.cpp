// Tests the transfer of documents between instances: encoding, which requesters a provider serves,
// and how a fetcher handles late, duplicate, damaged or unrelated pieces. No network is used.

#include "bamboostream/Configuration"
#include "bamboostream/Gateway"
#include "platform/platform_record_codec.h"
#include "platform/platform_request_codec.h"
#include "test/platform/decision_helpers.h"
#include "test/platform/document_simulation.h"

#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

std::shared_ptr<const std::string> shared(std::string text) {
    return std::make_shared<const std::string>(std::move(text));
}

const std::string old_text = large_document_text(1, 1'500, 3);
const std::string new_text = large_document_text(2, 1'501, 3);
/// Shares nothing with the other texts, so that encoding it against them takes many pieces.
const std::string other_text = large_document_text(2, 6'000, 900'000);

// --- encoding

// The number of routes grows with the customers, and each change used to be sent as the whole
// document: 287 kB for one more route among 1,500. Encoded as a difference it takes less than 1 kB.
TEST(document_encoding_test, a_change_is_as_large_as_what_has_changed) {
    const encoded_document change = encode_document(2, new_text, old_text);
    EXPECT_LT(change.bytes->size(), 1'000u);
    document_failure why;
    EXPECT_EQ(decode_document(change, old_text, why), new_text) << why.text;
    const encoded_document whole = encode_document(2, new_text, {});
    EXPECT_LT(whole.bytes->size(), new_text.size() / 4);
    EXPECT_EQ(decode_document(whole, {}, why), new_text) << why.text;
}

/// A modification of an encoded document that the receiver must detect.
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

// A peer sends something other than the document, or the bytes are damaged in transit. Accepted, it
// would come into force; decompressed without a limit, a few kilobytes could exhaust the memory of
// the instance.
TEST_P(damaged_encoding, is_not_taken) {
    encoded_document encoded = encode_document(2, new_text, old_text);
    GetParam().damage(encoded);
    document_failure why;
    EXPECT_FALSE(decode_document(encoded, old_text, why));
    EXPECT_EQ(why.code, GetParam().error);
}

// The operator writes a configuration of 50 MB. It is rejected and the version in force stays.
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

// --- which requesters are served

document_request request_of(const document_provider& held, std::uint64_t encoding = 0,
                            std::uint32_t offset = 0) {
    return {held.version(), held.digest(), encoding, offset};
}

class document_provider_test : public testing::Test {
protected:
    document_provider_test() {
        held_.set_document(1, shared(old_text));
        provider_.set_document(1, shared(old_text));
        provider_.set_document(2, shared(other_text));
    }
    document_provider held_{1};
    document_provider provider_{2};
};

// Seventy instances request the document at the same moment. It is encoded once for all of them; as
// many are served as the link can carry, and the others are told which instances are getting it.
TEST_F(document_provider_test, encodes_once_and_serves_as_many_as_the_link_bears) {
    int served = 0;
    for (int i = 0; i < 70; ++i) {
        const auto piece = provider_.answer(request_of(held_), std::to_string(i), start);
        served += piece.kind == piece_kind::bytes ? 1 : 0;
        if (piece.kind == piece_kind::busy) {
            EXPECT_FALSE(piece.holders.empty());
            EXPECT_TRUE(piece.bytes.empty());
        }
    }
    EXPECT_EQ(served, 2);
    EXPECT_EQ(provider_.encoded(), 1u);
    // A requester that stops asking frees its place.
    EXPECT_EQ(provider_.answer(request_of(held_), "x", start + seconds(1)).kind, piece_kind::bytes);
}

// A change that fits into one piece is sent to all requesters at once.
TEST_F(document_provider_test, a_small_change_goes_to_all) {
    document_provider provider(1);
    provider.set_document(1, shared(old_text));
    provider.set_document(2, shared(new_text));
    for (int i = 0; i < 70; ++i) {
        const auto piece = provider.answer(request_of(held_), std::to_string(i), start);
        EXPECT_EQ(piece.kind, piece_kind::bytes);
        EXPECT_EQ(piece.bytes.size(), piece.encoded_bytes);
    }
    EXPECT_EQ(provider.encoded(), 1u);
}

/// The speed of a link and the number of requesters served over it at a time.
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

// The pieces for all served requesters queue on one link; a probe behind them must not be late.
TEST_P(served_over, a_link) {
    EXPECT_EQ(document_provider::max_served_for_link(GetParam().mbps), GetParam().served);
}

// --- handling of received pieces

/// Two holders of a new document and an instance that fetches it.
class document_fetcher_test : public testing::Test {
protected:
    document_fetcher_test() {
        for (document_provider* provider : {&a_, &b_}) {
            provider->set_document(1, shared(old_text));
            provider->set_document(2, shared(other_text));
        }
        held_.set_document(1, shared(old_text));
        fetcher_.set_held(1, held_.digest());
    }
    document_provider& provider_of(const std::string& name) { return name == "a" ? a_ : b_; }
    /// Requests pieces until the document is complete or no holder can be asked; counts the
    /// requests to each holder.
    void fetch_all(time_point now) {
        constexpr int max_requests = 100;
        for (int i = 0; i < max_requests; ++i) {
            const auto outgoing_request = fetcher_.next(now);
            if (!outgoing_request) {
                return;
            }
            ++request_counts_[outgoing_request->to];
            auto piece =
                provider_of(outgoing_request->to).answer(outgoing_request->request, "me", now);
            result_ = fetcher_.take(std::move(piece), outgoing_request->to, now);
            if (result_ == piece_result::complete) {
                return;
            }
        }
    }
    document_piece first_piece(const std::string& name = "a") {
        return provider_of(name).answer(request_of(held_), "me", start);
    }
    std::uint64_t count(piece_result result) const {
        return fetcher_.pieces()[static_cast<std::size_t>(result)];
    }

    document_provider a_{8};
    document_provider b_{8};
    document_provider held_{8};
    document_fetcher fetcher_{1};
    std::map<std::string, int> request_counts_;
    piece_result result_ = piece_result::none;
};

// The holder crashes during the transfer. The transfer continues at another holder, without
// requesting again the pieces already received.
TEST_F(document_fetcher_test, goes_on_at_another_holder) {
    fetcher_.add_source("a", 2, start);
    const auto outgoing_request = fetcher_.next(start);
    ASSERT_TRUE(outgoing_request);
    fetcher_.take(first_piece(), "a", start);
    ASSERT_TRUE(fetcher_.next(start));
    fetcher_.add_source("b", 2, start);
    EXPECT_FALSE(fetcher_.next(start + piece_timeout - milliseconds(1)));
    fetch_all(start + piece_timeout);
    ASSERT_EQ(result_, piece_result::complete);
    EXPECT_EQ(request_counts_["a"], 0);
    const std::size_t pieces = (fetcher_.received().bytes->size() + piece_bytes - 1) / piece_bytes;
    EXPECT_EQ(static_cast<std::size_t>(request_counts_["b"]), pieces - 1);
    document_failure why;
    EXPECT_EQ(decode_document(fetcher_.received(), old_text, why), other_text) << why.text;
}

// A piece arrives after its request timed out. Such pieces used to be discarded, and on a slow link
// every piece arrived that late.
TEST_F(document_fetcher_test, a_late_piece_counts) {
    fetcher_.add_source("a", 2, start);
    ASSERT_TRUE(fetcher_.next(start));
    const time_point late = start + seconds(3);
    EXPECT_EQ(fetcher_.take(first_piece(), "a", late), piece_result::taken);
    EXPECT_FALSE(fetcher_.is_stalled(late));
    // The same piece arrives again from another holder, which was asked in the meantime.
    EXPECT_EQ(fetcher_.take(first_piece("b"), "b", late), piece_result::not_needed);
    fetch_all(late);
    EXPECT_EQ(result_, piece_result::complete);
}

/// A modification of the second piece, after the first one was accepted, and the expected result.
struct wrong_row {
    std::string name;
    void (*change)(document_piece& piece);
    piece_result result;
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

// Unsuitable pieces are counted and otherwise ignored; the transfer continues.
TEST_P(wrong_piece, changes_nothing) {
    fetcher_.add_source("a", 2, start);
    ASSERT_TRUE(fetcher_.next(start));
    const document_piece first = first_piece();
    fetcher_.take(first, "a", start);
    document_piece piece = a_.answer(request_of(held_, first.encoding, piece_bytes), "me", start);
    GetParam().change(piece);
    EXPECT_EQ(fetcher_.take(std::move(piece), "a", start), GetParam().result);
    EXPECT_EQ(count(GetParam().result), 1u);
    fetch_all(start + seconds(1));
    ASSERT_EQ(result_, piece_result::complete);
    document_failure why;
    EXPECT_EQ(decode_document(fetcher_.received(), old_text, why), other_text) << why.text;
}

// A byte is damaged in transit, which is detected only once all pieces have arrived. The full
// document is then requested, and a difference is not accepted in its place.
TEST_F(document_fetcher_test, after_damage_the_whole_is_asked_for) {
    fetcher_.add_source("a", 2, start);
    document_piece piece = first_piece();
    piece.encoded_bytes = static_cast<std::uint32_t>(piece.bytes.size());
    piece.bytes[100] ^= 1;
    ASSERT_TRUE(fetcher_.next(start));
    EXPECT_EQ(fetcher_.take(std::move(piece), "a", start), piece_result::invalid);
    EXPECT_EQ(fetcher_.take(first_piece("b"), "b", start), piece_result::not_needed);
    const auto outgoing_request = fetcher_.next(start + seconds(1));
    ASSERT_TRUE(outgoing_request);
    EXPECT_EQ(outgoing_request->request.held_digest, 0u);
    EXPECT_EQ(outgoing_request->request.offset, 0u);
}

// Versions arrive faster than a slow link can carry one. The current transfer is finished first; if
// each newer version restarted it, none would ever come into force.
TEST_F(document_fetcher_test, a_newer_version_doesnt_keep_out_the_one_under_way) {
    fetcher_.add_source("a", 2, start);
    ASSERT_TRUE(fetcher_.next(start));
    fetcher_.take(first_piece(), "a", start);
    a_.set_document(3, shared(large_document_text(3, 6'001, 900'000)));
    fetcher_.add_source("a", 3, start);
    fetch_all(start);
    EXPECT_EQ(result_, piece_result::complete);
    EXPECT_EQ(fetcher_.received().version, 2);
}

// An instance requests a version from a relay that is still fetching it. The relay passes on the
// pieces that it has, so that a large document crosses many instances in little more time than one.
TEST_F(document_fetcher_test, what_has_come_is_passed_on) {
    fetcher_.add_source("a", 2, start);
    ASSERT_TRUE(fetcher_.next(start));
    const document_piece first = first_piece();
    const auto ask = [&](std::uint32_t offset) {
        return answer_from(held_, fetcher_, request_of(held_, offset ? first.encoding : 0, offset),
                           "other", start);
    };
    const document_piece too_early = ask(0);
    EXPECT_EQ(too_early.kind, piece_kind::busy);
    EXPECT_EQ(too_early.holders, std::vector<std::string>{"a"});
    fetcher_.take(first, "a", start);
    const document_piece passed_on = ask(0);
    EXPECT_EQ(passed_on.kind, piece_kind::bytes);
    EXPECT_EQ(passed_on.bytes, first.bytes);
    EXPECT_EQ(ask(piece_bytes).kind, piece_kind::busy);
}

// A configuration that this instance rejected is not fetched repeatedly.
TEST_F(document_fetcher_test, a_refused_version_is_left_alone) {
    fetcher_.add_source("a", 2, start);
    fetcher_.reject(2);
    fetcher_.add_source("a", 2, start);
    EXPECT_FALSE(fetcher_.next(start + seconds(1)));
    EXPECT_FALSE(fetcher_.is_stalled(start + seconds(5)));
    fetcher_.add_source("a", 3, start);
    EXPECT_TRUE(fetcher_.next(start + seconds(1)));
}

// All holders of the version are busy with other requesters. They are asked again at growing
// intervals, and the store is read when that takes too long.
TEST_F(document_fetcher_test, busy_holders_are_asked_again_until_the_store_is_read) {
    fetcher_.add_source("a", 2, start);
    document_piece busy;
    busy.kind = piece_kind::busy;
    busy.version = 2;
    int request_count = 0;
    time_point now = start;
    while (!fetcher_.is_stalled(now) && now < start + seconds(5)) {
        if (const auto outgoing_request = fetcher_.next(now)) {
            ++request_count;
            fetcher_.take(busy, outgoing_request->to, now);
        }
        now += milliseconds(1);
    }
    EXPECT_GT(now - start, max_time_without_piece);
    EXPECT_LT(now - start, max_time_without_piece + milliseconds(50));
    EXPECT_LT(request_count, 12);
}

// A reader announces a configuration, and no peer provides it. The store is read only after
// `peer_answer_timeout`, and not for a version that this instance holds. A late announcement of an
// older version changes nothing.
TEST_F(document_fetcher_test, the_store_is_read_when_no_peer_hands_on) {
    fetcher_.set_held(6, 66);
    fetcher_.add_source("r1", 7, start);
    fetcher_.add_source("r2", 5, start + milliseconds(10));
    const time_point later = start + peer_answer_timeout + milliseconds(1);
    EXPECT_TRUE(fetcher_.is_stalled(later));
    // Until then a peer may still provide it.
    EXPECT_FALSE(fetcher_.is_stalled(start + peer_answer_timeout));
    fetcher_.set_held(7, 77);
    EXPECT_FALSE(fetcher_.is_stalled(later));
}

} // namespace
} // namespace bamboostream::test
