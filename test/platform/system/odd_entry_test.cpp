// Tests of real gateway processes that read entries of another writer among those of the backend
// servers.

#include "test/platform/system/gateway_fixture.h"

namespace bamboostream::test {
namespace {

/// An entry that no backend server of the platform writes.
struct odd_row {
    std::string name;
    std::string entry;
    friend void PrintTo(const odd_row& row, std::ostream* out) { *out << row.name; }
};

/// An entry of a server with these fields in place of the usual ones.
std::string entry_with(std::string_view address, std::string_view slots, std::string_view cold,
                       std::string_view more = "") {
    return fmt::format(R"({{"service":"s","address":"{}","zone":"z0","version":"v1","slots":{},)"
                       R"("state":"ready","cold_left_ms":{},"sequence":1{}}})",
                       address, slots, cold, more);
}

class odd_entry : public gateway_test, public testing::WithParamInterface<odd_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, odd_entry,
    testing::Values(
        odd_row{"deeply_nested",
                entry_with("127.0.0.1:9", "6", "0",
                           R"(,"x":)" + std::string(100'000, '[') + std::string(100'000, ']'))},
        odd_row{"too_many_slots", entry_with("127.0.0.1:9", "4294967296", "0")},
        odd_row{"endless_warm_up", entry_with("127.0.0.1:9", "6", "1e300")},
        odd_row{"number_of_300_digits", entry_with("127.0.0.1:9", std::string(300, '9'), "0")},
        odd_row{"port_out_of_range", entry_with("127.0.0.1:65536", "6", "0")},
        odd_row{"negative_port", entry_with("127.0.0.1:-1", "6", "0")},
        odd_row{"not_text", "\xff\xfe\x80"}, odd_row{"large", std::string(500'000, '[')}),
    [](const auto& info) { return info.param.name; });

// Guards against an entry of another writer that ends the instances which read the list, or makes
// them stop following it: whether they find it at their start, later, in the place of a server's
// own entry, or hear of it from a peer.
TEST_P(odd_entry, stops_no_instance_from_following_the_list) {
    configure(1, "k");
    scripted_backend& first = add_valid_backend("i-1");
    store_.write("keyed.servers", "i-0", GetParam().entry);
    store_.write("keyed.quarantine", "00000000000000010000000000000002", GetParam().entry);
    const std::string bad_store = store_.add_address();
    store_.set_manner(bad_store, store_manner::refuses);
    auto& reader = add_instance(serving_store_);
    auto& other = add_instance(bad_store);
    ASSERT_TRUE(serves(reader, "k"));
    ASSERT_TRUE(serves(other, "k"));
    EXPECT_TRUE(has_logged(reader, "record_rejected", "topic=backend_entries key=i-0 reason="));
    store_.write("keyed.op", "config", GetParam().entry);
    store_.write("keyed.servers", "i-1", GetParam().entry);
    for (int i = 0; i < 1'000 && GetParam().entry.size() < 1'000; ++i) {
        store_.write("keyed.servers", fmt::format("i-odd-{}", i), GetParam().entry);
    }
    EXPECT_TRUE(wait_until([&] {
        return has_logged(reader, "record_rejected", "topic=backend_entries key=i-1 reason=");
    }));
    const std::size_t before = first.requests().size();
    EXPECT_EQ(status_of(reader, "k"), 200);
    EXPECT_EQ(status_of(other, "k"), 200);
    EXPECT_EQ(first.requests().size(), before + 2);
    scripted_backend& second = add_valid_backend("i-2");
    store_.write("keyed.servers", "i-1", "");
    configure(2, "k2");
    for (const auto* it : {&reader, &other}) {
        EXPECT_TRUE(wait_until([&] { return has_logged(*it, "backend_down", "backend=i-1"); }));
        EXPECT_TRUE(serves(*it, "k2"));
        EXPECT_FALSE(it->running->wait_for_end(milliseconds(1)));
    }
    EXPECT_GE(second.requests().size(), 2u);
}

// Guards against a key of another writer that makes the list of all entries unreadable for an
// instance that starts.
TEST_F(gateway_test, a_key_that_is_no_text_hides_no_entry) {
    configure(1, "k");
    add_valid_backend("\xff\xfe");
    scripted_backend& sound = add_valid_backend("i-1");
    auto& it = add_instance(serving_store_);
    EXPECT_TRUE(serves(it, "k"));
    EXPECT_FALSE(sound.requests().empty());
}

} // namespace
} // namespace bamboostream::test
