#include "bamboostream/Contracts"
#include "bamboostream/Http"
#include "bamboostream/Links"
#include "bamboostream/Streams"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace bamboostream {
namespace {

const workspace_id owner{"desk"};
constexpr wall_time now = 1'000'000;

handle_signer signer() {
    return handle_signer({{"k1", "old-secret-old-secret", false}, {"k2", "new-secret-new", true}});
}

resume_handle content() {
    return {backend_id("127.0.0.1:1"), generation_id("abc"), owner, now + 1000};
}

TEST(resume_handle_test, round_trip_and_rotation) {
    const auto issued = signer().issue(content());
    ASSERT_TRUE(issued.has_value());
    handle_failure why;
    const auto opened = signer().verify(issued->text(), owner, now, why);
    ASSERT_TRUE(opened.has_value()) << why.text;
    EXPECT_EQ(opened->generation.text(), "abc");
    // A handle signed before the key rotation is still accepted after it.
    const handle_signer before({{"k1", "old-secret-old-secret", true}});
    EXPECT_TRUE(signer().verify(before.issue(content())->text(), owner, now, why).has_value());
    EXPECT_FALSE(handle_signer({}).issue(content()).has_value());
}

struct bad_handle {
    const char* name;
    std::string (*make)();
    handle_error code;
    friend void PrintTo(const bad_handle& b, std::ostream* out) { *out << b.name; }
};

std::string valid() {
    return signer().issue(content())->text();
}

const std::vector<bad_handle> bad_handles = {
    {"empty", [] { return std::string{}; }, handle_error::malformed},
    {"no_signature", [] { return valid().substr(0, valid().find('.')); }, handle_error::malformed},
    {"cut", [] { return valid().substr(0, valid().size() - 4); }, handle_error::forged},
    {"changed",
     [] {
         std::string text = valid();
         text[2] = text[2] == 'A' ? 'B' : 'A';
         return text;
     },
     handle_error::unknown_key},
    {"other_key_same_id",
     [] {
         return handle_signer({{"k2", "another-secret-x", true}}).issue(content())->text();
     },
     handle_error::forged},
    {"unknown_key",
     [] {
         return handle_signer({{"k9", "another-secret-x", true}}).issue(content())->text();
     },
     handle_error::unknown_key},
    {"expired",
     [] {
         resume_handle old = content();
         old.expires = now - 1;
         return signer().issue(old)->text();
     },
     handle_error::expired},
    {"of_another_workspace",
     [] {
         resume_handle other = content();
         other.workspace = workspace_id("traders");
         return signer().issue(other)->text();
     },
     handle_error::wrong_workspace},
};

class bad_handle_test : public testing::TestWithParam<bad_handle> {};

TEST_P(bad_handle_test, is_refused_with_its_reason) {
    handle_failure why;
    EXPECT_FALSE(signer().verify(GetParam().make(), owner, now, why).has_value());
    EXPECT_EQ(why.code, GetParam().code) << why.text;
}

INSTANTIATE_TEST_SUITE_P(handles, bad_handle_test, testing::ValuesIn(bad_handles),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(resume_handle_property_test, any_text_is_refused) {
    EXPECT_TRUE(rc::check([] {
        handle_failure why;
        RC_ASSERT(!signer().verify(*rc::gen::arbitrary<std::string>(), owner, now, why));
    }));
}

// For every sequence of six events, drawn from tokens, ends of stream and events of another
// generation: the delivered sequence numbers are 0, 1, 2, …, and an end of stream is accepted only
// after all tokens before it.
TEST(token_sequencer_test, exhaustive_over_short_sequences) {
    constexpr int kinds = 9;
    constexpr int length = 6;
    int total = 1;
    for (int i = 0; i < length; ++i) {
        total *= kinds;
    }
    for (int code = 0; code < total; ++code) {
        token_sequencer sequencer("g", 0);
        std::uint64_t delivered = 0;
        int rest = code;
        for (int i = 0; i < length; ++i) {
            const int kind = rest % kinds;
            rest /= kinds;
            const bool foreign = kind >= 8;
            const bool final = kind >= 4 && !foreign;
            const auto number = static_cast<std::uint64_t>(kind % 4);
            const token_action action = sequencer.evaluate(foreign ? "other" : "g", number, final);
            if (action == token_action::deliver) {
                ASSERT_EQ(number, delivered);
                ASSERT_FALSE(final || foreign);
                ++delivered;
            } else if (action == token_action::finish) {
                ASSERT_TRUE(final);
                ASSERT_EQ(number, delivered);
            }
        }
        ASSERT_EQ(sequencer.next(), delivered);
    }
}

TEST(event_reader_test, events_survive_any_split) {
    const std::string text = ": hb\n\nevent: handle\ndata: {\"a\":1}\n\nid: g:1\ndata: x\r\n\n";
    for (std::size_t split = 0; split <= text.size(); ++split) {
        sse_parser reader;
        std::vector<std::string> seen;
        sse_parser::event event;
        for (const std::string& part : {text.substr(0, split), text.substr(split)}) {
            reader.buffer() += part;
            while (reader.next(event)) {
                seen.push_back(event.comment_only
                                   ? "hb"
                                   : std::string(event.type) + "|" + std::string(event.data));
            }
        }
        ASSERT_EQ(seen, (std::vector<std::string>{"hb", "handle|{\"a\":1}", "|x"})) << split;
    }
}

struct engine_line {
    const char* name;
    const char* data;
    bool valid;
    friend void PrintTo(const engine_line& l, std::ostream* out) { *out << l.name; }
};
class engine_event_test : public testing::TestWithParam<engine_line> {};
TEST_P(engine_event_test, is_parsed_or_refused) {
    engine_event_parser parser;
    engine_event event;
    EXPECT_EQ(parser.parse(GetParam().data, event), GetParam().valid);
}
INSTANTIATE_TEST_SUITE_P(
    lines, engine_event_test,
    testing::Values(engine_line{"token", R"({"id":"g","seq":3,"text":"a\"b"})", true},
                    engine_line{"end", R"({"id":"g","seq":3,"finish_reason":"stop"})", true},
                    engine_line{"no_id", R"({"seq":3,"text":"a"})", false},
                    engine_line{"no_number", R"({"id":"g","text":"a"})", false},
                    engine_line{"negative", R"({"id":"g","seq":-1,"text":"a"})", false},
                    engine_line{"not_json", "{", false}, engine_line{"array", "[]", false}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(frame_codec_test, round_trip) {
    wire::FrameT frame;
    frame.correlation = 7;
    wire::ProbeT probe;
    probe.target = "x";
    frame.message.Set(std::move(probe));
    const std::string bytes = encode_frame(frame);
    const auto back = decode_frame(std::string_view(bytes).substr(4));
    ASSERT_TRUE(back);
    EXPECT_EQ(back->correlation, 7U);
    EXPECT_EQ(back->message.AsProbe()->target, "x");
}

TEST(frame_codec_property_test, any_bytes_are_refused_or_valid) {
    EXPECT_TRUE(rc::check([] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        decode_frame(bytes);
    }));
    wire::FrameT frame;
    frame.message.Set(wire::LedgerQueryT{});
    const std::string good = encode_frame(frame).substr(4);
    for (std::size_t i = 0; i < good.size(); ++i) {
        std::string damaged = good;
        damaged[i] = static_cast<char>(damaged[i] ^ 0x55);
        decode_frame(damaged);
    }
}

} // namespace
} // namespace bamboostream
