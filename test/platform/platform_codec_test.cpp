// Decoding of the platform's records, settings and store pages.

#include "bamboostream/Gateway"
#include "platform/platform_directory_codec.h"
#include "platform/platform_record_codec.h"
#include "platform/platform_request_codec.h"
#include "platform/settings_file.h"
#include "platform/store_client.h"

#include <gtest/gtest.h>

namespace bamboostream::platform {
namespace {

constexpr const char* document = R"({"version":7,"routes":[
 {"name":"r1","host":"h","path_prefix":"/a/","kind":"streaming","timeout_ms":6000,"slo_ms":1500,
  "priority":0,"service":"s1","max_attempts":2,"anonymous":false,"resumable":true,"gap_slo_ms":180},
 {"name":"r2","host":"h","path_prefix":"/b/","kind":"streaming","timeout_ms":39000,"slo_ms":1800,
  "priority":1,"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
  "max_attempts":1,"anonymous":false,"resumable":false,"gap_slo_ms":180},
 {"name":"r3","host":"h","path_prefix":"/c/","kind":"idempotent","service":"s2","anonymous":true},
 {"name":"r4","host":"h","path_prefix":"/d/","kind":"non_idempotent","service":"s2"},
 {"name":"r5","host":"h","path_prefix":"/e/","kind":"something_new","service":"s2"}],
 "services":[{"name":"s1","max_conns":312,"engine":{"slots":32,"kv_tokens":34485,"kv_bytes":96256,
  "link_mbps":14000.0,"moves":true,"stride":4}},{"name":"s2","max_conns":110}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
  "idle_timeout_ms":15000},
 "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1}],"unknown":{}})";

TEST(platform_record_codec_test, reads_a_configuration) {
    std::string why;
    const auto c = platform_record_codec().read_configuration(document, why);
    ASSERT_TRUE(c) << why;
    EXPECT_EQ(c->version, 7);
    ASSERT_EQ(c->routes.size(), 5u);
    const std::vector<repeat_policy> repeats = {repeat_policy::resumable, repeat_policy::once,
                                                repeat_policy::repeatable, repeat_policy::once,
                                                repeat_policy::once};
    for (std::size_t i = 0; i < repeats.size(); ++i) {
        EXPECT_EQ(c->routes[i].repeats, repeats[i]) << c->routes[i].name;
    }
    EXPECT_EQ(c->routes[1].services.size(), 2u);
    EXPECT_EQ(c->routes[0].max_attempts, 2);
    EXPECT_TRUE(c->routes[2].anonymous);
    ASSERT_TRUE(c->services[0].engine);
    EXPECT_EQ(c->services[0].engine->tokens_per_event, 4);
    EXPECT_FALSE(c->services[1].engine);
    EXPECT_EQ(c->workspaces->front().keys.size(), 2u);
    EXPECT_EQ(c->caller_limits.idle_timeout, milliseconds(15'000));
}

class bad_document : public testing::TestWithParam<const char*> {};

INSTANTIATE_TEST_SUITE_P(table, bad_document,
                         testing::Values("", "{", "[]", "null", R"({"version":1})",
                                         R"({"version":0,"routes":[],"services":[]})",
                                         R"({"version":"x","routes":[],"services":[]})"));

TEST_P(bad_document, is_refused_with_a_reason) {
    std::string why;
    EXPECT_FALSE(platform_record_codec().read_configuration(GetParam(), why));
    EXPECT_FALSE(why.empty());
    EXPECT_FALSE(platform_record_codec().read_backend("i-1", GetParam(), time_point{}, why));
}

TEST(platform_record_codec_test, reads_an_entry) {
    std::string why;
    const auto b = platform_record_codec().read_backend(
        "i-1",
        R"({"service":"s","address":"1.2.3.4:5","zone":"z","version":"v1","slots":32,
            "state":"draining","cold_left_ms":500,"sequence":4,"born":1790000000123})",
        time_point{}, why);
    ASSERT_TRUE(b) << why;
    EXPECT_TRUE(b->leaving);
    EXPECT_EQ(b->slots, 32);
    EXPECT_EQ(b->version, software_version("v1"));
    EXPECT_EQ(b->slow_until, time_point{} + milliseconds(500));
    EXPECT_EQ(b->started_ms, 1'790'000'000'123);
}

/// A valid entry with one part replaced.
struct foreign_entry_row {
    std::string name;
    std::string from;
    std::string to;
};

void PrintTo(const foreign_entry_row& row, std::ostream* out) {
    *out << row.name;
}

class foreign_entry : public testing::TestWithParam<foreign_entry_row> {};

std::string replace_part(std::string entry, const foreign_entry_row& row) {
    const std::size_t at = entry.find(row.from);
    return at == std::string::npos ? entry : entry.replace(at, row.from.size(), row.to);
}

const std::string valid_entry =
    R"({"service":"s","address":"1.2.3.4:5","zone":"z","version":"v1",)"
    R"("slots":32,"state":"ready","cold_left_ms":0,"sequence":4,"born":7})";

const std::string nines(40, '9');

std::string nested(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

INSTANTIATE_TEST_SUITE_P(
    table, foreign_entry,
    testing::Values(foreign_entry_row{"no_service", R"("service":"s",)", ""},
                    foreign_entry_row{"service_is_a_number", R"("s")", "3"},
                    foreign_entry_row{"no_address", R"("address":"1.2.3.4:5",)", ""},
                    foreign_entry_row{"address_is_a_list", R"("1.2.3.4:5")", "[]"},
                    foreign_entry_row{"address_without_a_port", "1.2.3.4:5", "1.2.3.4"},
                    foreign_entry_row{"address_by_name", "1.2.3.4:5", "here:5"},
                    foreign_entry_row{"no_zone", R"("zone":"z",)", ""},
                    foreign_entry_row{"zone_is_a_flag", R"("z")", "true"},
                    foreign_entry_row{"no_version", R"("version":"v1",)", ""},
                    foreign_entry_row{"no_slots", R"("slots":32,)", ""},
                    foreign_entry_row{"slots_are_text", "32", R"("32")"},
                    foreign_entry_row{"slots_are_none", "32", "0"},
                    foreign_entry_row{"no_state", R"("state":"ready",)", ""},
                    foreign_entry_row{"unknown_state", "ready", "resting"},
                    foreign_entry_row{"state_is_a_number", R"("ready")", "1"},
                    foreign_entry_row{"no_time_to_warm_up", R"("cold_left_ms":0,)", ""},
                    foreign_entry_row{"time_to_warm_up_is_text", R"("cold_left_ms":0)",
                                      R"("cold_left_ms":"0")"},
                    foreign_entry_row{"no_sequence", R"("sequence":4,)", ""},
                    foreign_entry_row{"sequence_is_text", R"("sequence":4)", R"("sequence":"4")"},
                    foreign_entry_row{"start_is_text", R"("born":7)", R"("born":"7")"},
                    foreign_entry_row{"start_is_a_fraction", R"("born":7)", R"("born":7.5)"},
                    foreign_entry_row{"deeply_nested", R"("born":7)", "\"x\":" + nested(100'000)},
                    foreign_entry_row{"endlessly_nested", R"("s")", std::string(100'000, '[')},
                    foreign_entry_row{"port_of_five_digits", "4:5", "4:65536"},
                    foreign_entry_row{"port_of_forty_digits", "4:5", "4:" + nines},
                    foreign_entry_row{"negative_port", "4:5", "4:-1"},
                    foreign_entry_row{"port_zero", "4:5", "4:0"},
                    foreign_entry_row{"long_address", "4:5", std::string(300'000, '4') + ":5"},
                    foreign_entry_row{"slots_of_33_bits", "32", "4294967296"},
                    foreign_entry_row{"slots_of_32_bits", "32", "2147483648"},
                    foreign_entry_row{"slots_of_64_bits", "32", "18446744073709551615"},
                    foreign_entry_row{"slots_of_forty_digits", "32", nines},
                    foreign_entry_row{"negative_slots", "32", "-9223372036854775808"},
                    foreign_entry_row{"infinite_slots", "32", "1e400"},
                    foreign_entry_row{"endless_warm_up", R"(ms":0)", R"(ms":1e300)"},
                    foreign_entry_row{"infinite_warm_up", R"(ms":0)", R"(ms":1e400)"},
                    foreign_entry_row{"warm_up_of_64_bits", R"(ms":0)",
                                      R"(ms":9223372036854775807)"},
                    foreign_entry_row{"warm_up_of_32_bits", R"(ms":0)", R"(ms":2147483648)"},
                    foreign_entry_row{"negative_warm_up", R"(ms":0)", R"(ms":-1)"},
                    foreign_entry_row{"sequence_of_64_bits", R"(sequence":4)",
                                      R"(sequence":18446744073709551615)"},
                    foreign_entry_row{"negative_sequence", R"(sequence":4)", R"(sequence":-4)"},
                    foreign_entry_row{"start_in_a_million_years", R"(born":7)",
                                      R"(born":9223372036854775807)"}),
    [](const auto& info) { return info.param.name; });

// Another writer adds an entry among those of the engines. It must be rejected as a whole, because
// a request sent to its address might reach a server of another kind.
TEST_P(foreign_entry, is_rejected) {
    std::string why;
    ASSERT_TRUE(platform_record_codec().read_backend("i-1", valid_entry, time_point{}, why)) << why;
    const std::string entry = replace_part(valid_entry, GetParam());
    ASSERT_NE(entry, valid_entry);
    EXPECT_FALSE(platform_record_codec().read_backend("i-1", entry, time_point{}, why));
    EXPECT_FALSE(why.empty());
}

// Guards against an entry of another writer that takes a server out of use or hides the entries
// after it, in the first read and later.
TEST_P(foreign_entry, leaves_the_servers_in_use) {
    const std::string entry = replace_part(valid_entry, GetParam());
    for (const bool all : {false, true}) {
        platform_request_codec requests;
        platform_record_codec records;
        forwarding_state forwarding(requests, failure_domain_id("z"), {}, 1);
        deployment_state state(forwarding, records);
        const std::vector<keyed_record> known = {{"i-1", valid_entry}};
        state.apply_records(record_topic::backend_entries, known, true, time_point{});
        std::vector<keyed_record> page(all ? 1 : 5'000, {"i-1", entry});
        page.push_back({"i-0", entry});
        page.push_back({"i-2", valid_entry});
        state.apply_records(record_topic::backend_entries, page, all, time_point{});
        EXPECT_EQ(forwarding.registry.usable(service_id("s")).size(), 2u) << all;
        EXPECT_EQ(forwarding.registry.find(backend_id("i-0")), nullptr) << all;
    }
}

class foreign_id : public testing::TestWithParam<std::string> {};

INSTANTIATE_TEST_SUITE_P(table, foreign_id,
                         testing::Values("", " ", "i 1", "i-1\r\nTenant: t", "i\t1",
                                         std::string("i\0", 2), "\xff\xfe", "i\x7f"));

// Guards against an entry whose key adds fields to the requests that are sent to its address.
TEST_P(foreign_id, is_rejected) {
    std::string why;
    EXPECT_FALSE(platform_record_codec().read_backend(GetParam(), valid_entry, time_point{}, why));
    EXPECT_FALSE(why.empty());
}

const std::vector<keyed_record> mixed_entries = {
    {"i-0", "\xff\xfe{"}, {"i-1", valid_entry}, {"i-2", "[]"}, {"", valid_entry}};

class malformed_neighbour : public testing::TestWithParam<bool> {};

INSTANTIATE_TEST_SUITE_P(table, malformed_neighbour, testing::Bool(),
                         [](const auto& info) { return info.param ? "at_start" : "in_the_tail"; });

// Malformed entries occur among valid ones, in the first read and later. The valid entries take
// effect, and a known server stays known while its entry can't be read.
TEST_P(malformed_neighbour, does_not_affect_valid_entries) {
    platform_request_codec requests;
    platform_record_codec records;
    forwarding_state forwarding(requests, failure_domain_id("z"), {}, 1);
    deployment_state state(forwarding, records);
    state.apply_records(record_topic::backend_entries, mixed_entries, GetParam(), time_point{});
    ASSERT_EQ(forwarding.registry.all().size(), 1u);
    EXPECT_EQ(forwarding.registry.all().front().id, backend_id("i-1"));
    const std::vector<keyed_record> unreadable = {{"i-1", "{"}};
    state.apply_records(record_topic::backend_entries, unreadable, GetParam(), time_point{});
    EXPECT_EQ(forwarding.registry.usable(service_id("s")).size(), 1u);
}

const std::string good_settings = "zone=z\nlisten.front=1.2.3.4:1\nlisten.ready=1.2.3.4:2\n"
                                  "listen.control=1.2.3.4:3\nlisten.directory=1.2.3.4:4\n"
                                  "seeds=1.2.3.4:3,1.2.3.5:3\nbounds.grace_s=8\n"
                                  "bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n"
                                  "bounds.retry_budget_slack=56\nbounds.ttl_max_s=5\n"
                                  "platform.address=1.2.3.9:7\nsomething.new=1\n";

TEST(settings_file_test, reads_known_names) {
    std::vector<std::string> errors;
    const auto s = parse_settings(good_settings, errors);
    ASSERT_TRUE(s);
    EXPECT_EQ(s->gateway.seeds.size(), 2u);
    EXPECT_EQ(s->gateway.grace, milliseconds(8'000));
    EXPECT_EQ(s->gateway.budget.window, milliseconds(10'000));
    EXPECT_EQ(s->store_address, "1.2.3.9:7");
}

TEST(settings_file_test, reads_the_machine_size_if_specified) {
    std::vector<std::string> errors;
    EXPECT_EQ(parse_settings(good_settings, errors)->gateway.capacity, 0u);
    const auto s =
        parse_settings(good_settings + "limits.cpu_share=0.12\nlimits.cores=2\n", errors);
    ASSERT_TRUE(s);
    EXPECT_EQ(s->gateway.capacity, 240u);
    EXPECT_FALSE(parse_settings(good_settings + "limits.cpu_share=much\n", errors));
}

TEST(settings_file_test, reads_bounds_if_specified) {
    std::vector<std::string> errors;
    EXPECT_FALSE(parse_settings(good_settings, errors)->gateway.leaving_bound);
    const auto s = parse_settings(
        good_settings + "bounds.drain_ms=3000\nbounds.config_apply_ms=2000\n", errors);
    ASSERT_TRUE(s);
    EXPECT_EQ(s->gateway.leaving_bound, milliseconds(3'000));
    EXPECT_EQ(s->gateway.configuration_bound, milliseconds(2'000));
    EXPECT_FALSE(parse_settings(good_settings + "bounds.drain_ms=soon\n", errors));
}

TEST(settings_file_test, reports_all_errors_at_once) {
    std::vector<std::string> errors;
    EXPECT_FALSE(parse_settings("listen.front=nonsense\nbounds.grace_s=-3\nseeds=x\n", errors));
    for (const char* name :
         {"listen.front", "bounds.grace_s", "seeds", "zone", "platform.address"}) {
        EXPECT_TRUE(std::any_of(errors.begin(), errors.end(), [&](const std::string& m) {
            return m.starts_with(name);
        })) << name;
    }
}

std::string bytes_of(std::initializer_list<int> values) {
    std::string out;
    for (const int v : values) {
        out += static_cast<char>(v);
    }
    return out;
}

const std::string page_head(16, '\0');

struct page_row {
    std::string name;
    std::string body;
    bool good;
    std::size_t records;
};

class store_page : public testing::TestWithParam<page_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, store_page,
    testing::Values(page_row{"empty", page_head, true, 0},
                    page_row{"two",
                             page_head + bytes_of({0, 0, 0, 3, 1, 'k', 'v', 0, 0, 0, 2, 1, 'k'}),
                             true, 2},
                    page_row{"no_head", "x", false, 0},
                    page_row{"cut_length", page_head + bytes_of({0, 0}), false, 0},
                    page_row{"cut_record", page_head + bytes_of({0, 0, 0, 9, 1, 'k'}), false, 0},
                    page_row{"key_longer_than_record",
                             page_head + bytes_of({0, 0, 0, 2, 7, 'k', 0, 0, 0, 3, 1, 'k', 'v'}),
                             true, 2},
                    page_row{"no_content",
                             page_head + bytes_of({0, 0, 0, 0, 0, 0, 0, 3, 1, 'k', 'v'}), true, 2}),
    [](const auto& info) { return info.param.name; });

TEST_P(store_page, is_parsed_or_refused) {
    const auto page = parse_records(GetParam().body, 40);
    ASSERT_EQ(page.has_value(), GetParam().good);
    if (page) {
        EXPECT_EQ(page->records.size(), GetParam().records);
        EXPECT_EQ(page->next, 40 + static_cast<std::int64_t>(GetParam().records));
    }
}

class record_without_key : public testing::TestWithParam<record_topic> {};

INSTANTIATE_TEST_SUITE_P(table, record_without_key,
                         testing::Values(record_topic::backend_entries,
                                         record_topic::operator_documents),
                         [](const auto& info) {
                             return info.param == record_topic::backend_entries ? "entries"
                                                                                : "documents";
                         });

// Guards against a record with a malformed key that stops the reader at its place in the topic: the
// records before and behind it must be applied, and it must change nothing itself.
TEST_P(record_without_key, is_passed_over) {
    const auto record = [](const std::string& key, const std::string& value) {
        const std::size_t size = 1 + key.size() + value.size();
        return bytes_of({0, 0, static_cast<int>(size >> 8), static_cast<int>(size & 0xff),
                         static_cast<int>(key.size())}) +
               key + value;
    };
    const std::string malformed = bytes_of({0, 0, 0, 0, 0, 0, 0, 2, 7, 'k'});
    const bool is_entry = GetParam() == record_topic::backend_entries;
    const auto page = parse_records(
        page_head + (is_entry ? record("i-1", valid_entry) + malformed + record("i-2", valid_entry)
                              : record("evacuate/y", "1") + malformed + record("evacuate/z", "1")),
        40);
    ASSERT_TRUE(page);
    EXPECT_EQ(page->next, 44);
    platform_request_codec requests;
    platform_record_codec records;
    forwarding_state forwarding(requests, failure_domain_id("z"), {}, 1);
    deployment_state state(forwarding, records);
    state.apply_records(GetParam(), page->records, false, time_point{});
    if (is_entry) {
        EXPECT_EQ(forwarding.registry.usable(service_id("s")).size(), 2u);
    } else {
        state.apply_cordon_records(page->records, false, page->next);
        EXPECT_EQ(state.cordons().domains.size(), 2u);
    }
}

// The store loses its newest records and returns an older configuration, or a peer that lags behind
// does. Applying it would serve removed routes and keys again, so the newest version must stay.
TEST(deployment_state_test, never_goes_back_to_an_older_configuration) {
    const platform_record_codec codec;
    class no_requests final : public request_codec {
        std::optional<forward_request> parse_request(const http_request&,
                                                     std::string&) const override {
            return std::nullopt;
        }
        std::string serialize_head(const http_request&, const attempt_parameters&) const override {
            return {};
        }
        parsed_response parse_response(const http_connection&,
                                       const forward_request&) const override {
            return {{}, response_subject::unnamed, "", false};
        }
        std::vector<http_field> response_fields(const http_connection&) const override {
            return {};
        }
    };
    const no_requests requests;
    forwarding_state forwarding(requests, failure_domain_id("z"), {}, 1);
    deployment_state state(forwarding, codec);
    const auto with_version = [](int version) {
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
    };
    state.submit_configuration(with_version(5), "store");
    state.submit_configuration(with_version(4), "peer");
    EXPECT_EQ(state.version(), 5);
    state.submit_configuration("{broken", "store");
    EXPECT_EQ(state.version(), 5);
    state.submit_configuration(with_version(9), "peer");
    EXPECT_EQ(state.version(), 9);
    const std::vector<keyed_record> removal = {{"config", ""}};
    state.apply_records(record_topic::operator_documents, removal, false, time_point{});
    EXPECT_EQ(state.version(), 9);
}

} // namespace
} // namespace bamboostream::platform
