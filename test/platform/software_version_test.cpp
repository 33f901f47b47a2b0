// Tests that instances know the software versions of backend servers and log them.

#include "bamboostream/src/Gateway/peer_frames.h"
#include "test/platform/decision_helpers.h"

#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

registered_backend of_version(const std::string& version, std::int64_t started_ms) {
    registered_backend out = backend("i-1");
    out.version = software_version(version);
    out.started_ms = started_ms;
    return out;
}

TEST(software_version_test, passes_between_instances) {
    const auto fact = to_wire(of_version("v1.10", 7), start);
    EXPECT_EQ(from_wire(*fact, start).version, software_version("v1.10"));
}

/// Two entries of the same id, and the version that the registry has after both.
struct version_update_row {
    std::string name;
    registered_backend first;
    registered_backend second;
    std::string known;
};

void PrintTo(const version_update_row& row, std::ostream* out) {
    *out << row.name;
}

class version_update : public testing::TestWithParam<version_update_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, version_update,
    testing::Values(
        version_update_row{"learned_later", of_version("", 1), of_version("blue", 1), "blue"},
        version_update_row{"missing_later", of_version("blue", 1), of_version("", 1), "blue"},
        version_update_row{"changed", of_version("blue", 1), of_version("v2", 1), "v2"},
        version_update_row{"restarted", of_version("blue", 1), of_version("v2", 2), "v2"},
        version_update_row{"restarted_unknown", of_version("blue", 1), of_version("", 2), ""},
        version_update_row{"earlier_start", of_version("blue", 2), of_version("v2", 1), "blue"}),
    [](const auto& info) { return info.param.name; });

// Instances of the previous version announce entries without the software version.
TEST_P(version_update, keeps_what_is_known_of_the_process) {
    backend_registry registry;
    registry.update(GetParam().first, start);
    registry.update(GetParam().second, start);
    EXPECT_EQ(registry.find(backend_id("i-1"))->version, software_version(GetParam().known));
}

TEST(software_version_test, is_one_word_in_log_lines) {
    EXPECT_EQ(printable(software_version("v1.10")), "v1.10");
    EXPECT_EQ(printable(software_version("")), "unknown");
    EXPECT_EQ(printable(software_version("a b\n=\xc3\xa9")), "a_b_=__");
}

} // namespace
} // namespace bamboostream::test
