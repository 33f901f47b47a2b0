#include "bamboostream/Configuration"

#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <random>
#include <rapidcheck.h>

namespace bamboostream {
namespace {

namespace json = boost::json;

json::object workspace(int weight) {
    return json::object{{"weight", weight}};
}

log_record submission(std::int64_t offset, std::int64_t base, const std::string& entry,
                      json::value value, const std::string& id = "") {
    configuration_submission s;
    s.id = id.empty() ? "id" + std::to_string(offset) : id;
    s.base = base;
    s.changes.push_back({entry, std::move(value)});
    return {offset, 1000 + offset, configuration_state::submission_record(s)};
}

TEST(configuration_state_test, first_of_two_racing_submissions_wins) {
    configuration_state state;
    EXPECT_EQ(state.apply(submission(0, 0, "workspaces/a", workspace(1)))->outcome,
              submission_outcome::accepted);
    EXPECT_EQ(state.apply(submission(1, 1, "workspaces/a", workspace(2)))->outcome,
              submission_outcome::accepted);
    const auto loser = state.apply(submission(2, 1, "workspaces/a", workspace(3)));
    EXPECT_EQ(loser->outcome, submission_outcome::conflict);
    EXPECT_EQ(loser->reasons.at(0), "workspaces/a");
    EXPECT_EQ(state.version(), 2);
}

TEST(configuration_state_test, removal_counts_as_a_change) {
    configuration_state state;
    state.apply(submission(0, 0, "workspaces/a", workspace(1)));
    state.apply(submission(1, 1, "workspaces/a", nullptr));
    EXPECT_EQ(state.apply(submission(2, 1, "workspaces/a", workspace(5)))->outcome,
              submission_outcome::conflict);
    EXPECT_FALSE(state.document()->workspaces.contains("a"));
}

TEST(configuration_state_test, same_id_counts_once) {
    configuration_state state;
    state.apply(submission(0, 0, "workspaces/a", workspace(1), "x"));
    EXPECT_EQ(state.apply(submission(1, 0, "workspaces/b", workspace(1), "x"))->outcome,
              submission_outcome::repeated);
}

TEST(configuration_state_test, invalid_document_is_refused_whole) {
    configuration_state state;
    const auto verdict = state.apply(submission(0, 0, "workspaces/a", workspace(-4)));
    EXPECT_EQ(verdict->outcome, submission_outcome::invalid);
    EXPECT_EQ(state.version(), 0);
}

// A reader that lacks the beginning of the log accepts no submissions until a snapshot fills the
// gap, and then also decides the submissions it has read in between.
TEST(configuration_state_test, gap_is_filled_by_snapshot_and_later_records_are_decided) {
    configuration_state writer;
    writer.apply(submission(0, 0, "workspaces/a", workspace(1)));
    writer.apply(submission(1, 1, "workspaces/b", workspace(2)));
    const std::string snapshot = writer.snapshot_record();
    configuration_state reader;
    reader.note_first_offset(2);
    EXPECT_FALSE(reader.is_complete());
    EXPECT_EQ(reader.apply(submission(2, 2, "workspaces/c", workspace(3)))->outcome,
              submission_outcome::undecided);
    reader.apply({3, 0, snapshot});
    EXPECT_TRUE(reader.is_complete());
    EXPECT_EQ(reader.version(), 3);
    EXPECT_EQ(reader.document()->workspaces.size(), 3U);
}

// A snapshot that is older than the first available record would restore an outdated state and must
// be ignored.
TEST(configuration_state_test, snapshot_older_than_what_can_be_read_is_refused) {
    configuration_state writer;
    writer.apply(submission(0, 0, "workspaces/a", workspace(1)));
    const std::string old_snapshot = writer.snapshot_record();
    configuration_state reader;
    reader.note_first_offset(5);
    reader.apply({5, 0, old_snapshot});
    EXPECT_FALSE(reader.is_complete());
    EXPECT_EQ(reader.version(), 0);
}

TEST(configuration_state_test, peers_state_is_adopted_only_when_newer) {
    configuration_state ahead;
    ahead.apply(submission(0, 0, "workspaces/a", workspace(1)));
    const std::string older = ahead.serialize();
    ahead.apply(submission(1, 1, "workspaces/a", workspace(2)));
    configuration_state behind;
    EXPECT_TRUE(behind.adopt(ahead.serialize()));
    EXPECT_FALSE(behind.adopt(older));
    EXPECT_FALSE(behind.adopt("not json"));
    EXPECT_EQ(behind.version(), 2);
    EXPECT_EQ(behind.apply(submission(2, 1, "workspaces/a", workspace(9)))->outcome,
              submission_outcome::conflict);
}

// For arbitrary submissions, and readers that lose records or adopt a peer's state: two complete
// readers at the same offset have the same state, and the version never decreases.
TEST(configuration_property_test, readers_agree_and_never_go_back) {
    EXPECT_TRUE(rc::check([] {
        std::vector<log_record> log;
        configuration_state reference;
        const int count = *rc::gen::inRange(1, 30);
        for (int i = 0; i < count; ++i) {
            if (*rc::gen::inRange(0, 6) == 0) {
                log.push_back({i, 0, reference.snapshot_record()});
            } else {
                const auto base = *rc::gen::inRange<std::int64_t>(0, i + 1);
                const std::string entry =
                    *rc::gen::element<std::string>("workspaces/a", "workspaces/b", "workspaces/c");
                const int weight = *rc::gen::inRange(-1, 4);
                log.push_back(
                    submission(i, base, entry, weight == 0 ? json::value() : workspace(weight)));
            }
            reference.apply(log.back());
        }
        configuration_state reader;
        configuration_state peer;
        const int expired = *rc::gen::inRange(0, count);
        std::int64_t last = 0;
        for (int i = 0; i < count; ++i) {
            peer.apply(log[static_cast<std::size_t>(i)]);
            if (i == expired) {
                reader.note_first_offset(i);
            }
            if (i >= expired) {
                reader.apply(log[static_cast<std::size_t>(i)]);
            }
            if (*rc::gen::inRange(0, 8) == 0) {
                reader.adopt(peer.serialize());
            }
            RC_ASSERT(reader.version() >= last);
            last = reader.version();
            if (reader.is_complete() && reader.next_offset() == peer.next_offset()) {
                RC_ASSERT(reader.version() == peer.version());
                RC_ASSERT(reader.document_json() == peer.document_json());
            }
        }
    }));
}

struct bad_document {
    const char* name;
    const char* text;
    const char* path;
    friend void PrintTo(const bad_document& d, std::ostream* out) { *out << d.name; }
};
class validation_test : public testing::TestWithParam<bad_document> {};

TEST_P(validation_test, mistake_is_reported_with_its_path) {
    std::vector<validation_error> errors;
    EXPECT_FALSE(validate_document(json::parse(GetParam().text), errors).has_value());
    ASSERT_FALSE(errors.empty());
    EXPECT_EQ(errors[0].path, GetParam().path);
}

INSTANTIATE_TEST_SUITE_P(
    documents, validation_test,
    testing::Values(
        bad_document{"not_an_object", "[]", "(document)"},
        bad_document{"unknown_section", R"({"workspace":{}})", "workspace"},
        bad_document{"bad_weight", R"({"workspaces":{"a":{"weight":"x"}}})", "workspaces/a/weight"},
        bad_document{"unknown_field", R"({"workspaces":{"a":{"wait":1}}})", "workspaces/a/wait"},
        bad_document{"bad_digest", R"({"workspaces":{"a":{"keys":[{"id":"k","sha256":"z"}]}}})",
                     "workspaces/a/keys/0/sha256"},
        bad_document{"bad_objective", R"({"pools":{"p":{"model":"m","objective":"fast"}}})",
                     "pools/p/objective"},
        bad_document{"two_pools_one_model", R"({"pools":{"p":{"model":"m"},"q":{"model":"m"}}})",
                     "pools/q/model"},
        bad_document{"no_operations", R"({"services":{"s":{}}})", "services/s/operations"},
        bad_document{"short_secret", R"({"resume_keys":{"k":{"secret":"abc"}}})",
                     "resume_keys/k/secret"},
        bad_document{"cordon_with_unknown_field", R"({"cordons":{"norra":{"until":1}}})",
                     "cordons/norra/until"},
        bad_document{"bad_cordon_name", R"({"cordons":{"a/b":{}}})", "cordons"},
        bad_document{"bad_name", R"({"workspaces":{"a b":{}}})", "workspaces"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(validation_test_all, every_mistake_is_reported) {
    std::vector<validation_error> errors;
    validate_document(json::parse(R"({"workspaces":{"a":{"weight":0}},"pools":{"p":{}}})"), errors);
    EXPECT_EQ(errors.size(), 2U);
}

// An operator submits the document from version control while a failure domain is cordoned. A
// document without a section for cordons leaves them unchanged; one with the section replaces them.
TEST(difference_test, a_document_without_cordons_leaves_them) {
    const json::value in_force = json::parse(
        R"({"workspaces":{"a":{}},"pools":{},"services":{},"resume_keys":{},"cordons":{"norra":{}}})");
    EXPECT_TRUE(difference(in_force, json::parse(R"({"workspaces":{"a":{}}})")).empty());
    const auto ended = difference(in_force, json::parse(R"({"workspaces":{"a":{}},"cordons":{}})"));
    ASSERT_EQ(ended.size(), 1u);
    EXPECT_EQ(ended[0].entry, "cordons/norra");
    EXPECT_TRUE(ended[0].value.is_null());
}

TEST(examples_test, sample_documents_are_valid) {
    for (const char* name : {"registry", "consortium"}) {
        std::ifstream file(std::string(SOURCE_DIR "/examples/") + name + ".json");
        const std::string text((std::istreambuf_iterator<char>(file)),
                               std::istreambuf_iterator<char>());
        std::vector<validation_error> errors;
        EXPECT_TRUE(validate_document(json::parse(text), errors).has_value()) << name;
    }
}

} // namespace
} // namespace bamboostream
