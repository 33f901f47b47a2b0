#include "bamboostream/Core"

#include <fstream>
#include <gtest/gtest.h>
#include <set>

namespace bamboostream {
namespace {

TEST(uuid_test, version_7_carries_its_time) {
    const std::string id = make_uuid_v7(1'796'000'000'123);
    EXPECT_EQ(uuid_v7_time(id), 1'796'000'000'123);
}

struct bad_uuid {
    const char* text;
    friend void PrintTo(const bad_uuid& bad, std::ostream* out) { *out << bad.text; }
};
class bad_uuid_test : public testing::TestWithParam<bad_uuid> {};
TEST_P(bad_uuid_test, is_refused) {
    EXPECT_EQ(uuid_v7_time(GetParam().text), -1);
}
INSTANTIATE_TEST_SUITE_P(shapes, bad_uuid_test,
                         testing::Values(bad_uuid{""}, bad_uuid{"not-a-uuid"},
                                         bad_uuid{"00000000-0000-4000-8000-000000000000"},
                                         bad_uuid{"00000000-0000-7000-c000-000000000000"},
                                         bad_uuid{"0000000g-0000-7000-8000-000000000000"},
                                         bad_uuid{"000000000000-7000-8000-000000000000-"}));

TEST(base64url_test, round_trip_of_all_lengths) {
    std::string bytes;
    for (int i = 0; i < 70; ++i) {
        EXPECT_EQ(base64url_decode(base64url_encode(bytes)), bytes);
        bytes += static_cast<char>(i * 37);
    }
}

// Small machines own no keys while a large machine is available, and own them once there is none.
TEST(rendezvous_test, preferred_nodes_come_first) {
    std::vector<rendezvous_node> nodes;
    for (int i = 0; i < 20; ++i) {
        nodes.push_back({"n" + std::to_string(i), "d" + std::to_string(i % 4), i < 2});
    }
    for (int key = 0; key < 50; ++key) {
        const auto owners = rendezvous_owners(std::to_string(key), nodes, 3);
        ASSERT_EQ(owners.size(), 3u);
        EXPECT_EQ((std::set<std::string>{owners[0], owners[1]}),
                  (std::set<std::string>{"n0", "n1"}));
    }
    const std::vector<rendezvous_node> small(nodes.begin() + 2, nodes.end());
    EXPECT_EQ(rendezvous_owners("key", small, 2).size(), 2u);
}

TEST(rendezvous_test, owners_are_in_different_domains_and_few_keys_move) {
    std::vector<rendezvous_node> nodes;
    for (int i = 0; i < 8; ++i) {
        nodes.push_back({"n" + std::to_string(i), "d" + std::to_string(i % 3)});
    }
    int moved = 0;
    for (int key = 0; key < 200; ++key) {
        const auto before = rendezvous_owners(std::to_string(key), nodes, 2);
        ASSERT_EQ(before.size(), 2U);
        const auto domain = [&](const std::string& name) { return (name[1] - '0') % 3; };
        EXPECT_NE(domain(before[0]), domain(before[1]));
        const std::vector<rendezvous_node> fewer(nodes.begin(), nodes.end() - 1);
        const auto after = rendezvous_owners(std::to_string(key), fewer, 2);
        if (before[0] != "n7") {
            EXPECT_EQ(before[0], after[0]);
        } else {
            ++moved;
        }
    }
    EXPECT_GT(moved, 5);
    EXPECT_LT(moved, 60);
}

TEST(settings_test, all_errors_are_reported_at_once) {
    std::string address;
    std::int64_t count = 3;
    settings s("program", "purpose");
    s.address("listen", &address, "help", true);
    s.number("count", &count, "help", 1, 5);
    const char* arguments[] = {"program", "--listen", "nowhere", "--count", "9"};
    testing::internal::CaptureStderr();
    EXPECT_EQ(s.parse(5, arguments), settings_outcome::exit_bad_settings);
    EXPECT_EQ(s.exit_code(), exit_code_bad_settings);
    const std::string printed = testing::internal::GetCapturedStderr();
    EXPECT_NE(printed.find("--listen: 'nowhere'"), std::string::npos) << printed;
    EXPECT_NE(printed.find("--count: '9'"), std::string::npos) << printed;
}

TEST(settings_test, environment_applies_to_options_not_given) {
    setenv("BAMBOOSTREAM_COUNT", "4", 1);
    std::int64_t count = 3;
    settings s("program", "purpose");
    s.number("count", &count, "help", 1, 5);
    const char* arguments[] = {"program"};
    EXPECT_EQ(s.parse(1, arguments), settings_outcome::run);
    EXPECT_EQ(count, 4);
    unsetenv("BAMBOOSTREAM_COUNT");
}

// docs/EVENTS.md and the code must agree on the number, level, name and meaning of every event.
TEST(event_catalogue_test, docs_and_code_agree) {
    std::ifstream file(SOURCE_DIR "/docs/EVENTS.md");
    ASSERT_TRUE(file.is_open());
    std::set<std::string> documented;
    std::string line;
    while (std::getline(file, line)) {
        if (line.size() > 2 && line[0] == '|' && std::isdigit(line[2]) != 0) {
            documented.insert(line);
        }
    }
    std::set<std::string> coded;
    std::set<int> numbers;
    for (const event_kind& kind : event_catalogue()) {
        coded.insert(fmt::format("| {} | {} | {} | {} |", kind.number, to_string(kind.level),
                                 kind.name, kind.meaning));
        EXPECT_TRUE(numbers.insert(kind.number).second) << kind.number;
    }
    EXPECT_EQ(documented, coded);
}

} // namespace
} // namespace bamboostream
