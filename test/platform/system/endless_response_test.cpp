#include "test/platform/endless_script.h"
#include "test/platform/system/gateway_fixture.h"

#include <algorithm>
#include <charconv>
#include <thread>

namespace bamboostream::test {
namespace {

struct load_row {
    endless_kind kind;
    const char* path;
    int responses;
};

/// A number of kilobytes from /proc/PID/status.
std::size_t memory_kb(int pid, const std::string& name) {
    std::ifstream file(fmt::format("/proc/{}/status", pid));
    std::string word;
    while (file >> word) {
        if (word == name + ":") {
            std::size_t value = 0;
            file >> value;
            return value;
        }
    }
    return 0;
}

/// The servers run on a thread of their own: they keep a processor busy, as they would on other
/// machines, and must not delay the callers that are measured.
class endless_load : public gateway_test, public testing::WithParamInterface<load_row> {
protected:
    endless_load() {
        for (int i = 0; i < 3; ++i) {
            add_endless_backend(fmt::format("bad-{}", i));
        }
        add_valid_backend("good");
        store_.write("keyed.op", "config", configuration);
        serving_ = std::thread([this] { servers_.run(); });
    }
    ~endless_load() override {
        servers_.stop();
        serving_.join();
    }
    endless_load(const endless_load&) = delete;
    endless_load& operator=(const endless_load&) = delete;

    void add_endless_backend(const std::string& id) {
        endless_.push_back(std::make_unique<scripted_backend>(
            servers_, send_endlessly(GetParam().kind, 0, std::make_shared<endless_record>())));
        store_.write("keyed.servers", id,
                     fmt::format(R"({{"service":"e","address":"{}","zone":"z0","version":"v1",
"slots":99,"state":"ready","cold_left_ms":0,"sequence":1,"born":1}})",
                                 endless_.back()->address()));
    }

    /// The 99th percentile of calls to the sound server, one after the other, in milliseconds.
    double p99(const instance_under_test& it, int calls) {
        std::vector<double> times;
        for (int i = 0; i < calls; ++i) {
            const time_point began = monotonic_now();
            const auto result = send_request(it, "key");
            while (!result->done) {
                context_.restart();
                context_.run_one_for(milliseconds(50));
            }
            EXPECT_EQ(result->status, 200);
            times.push_back(to_milliseconds(monotonic_now() - began));
        }
        std::sort(times.begin(), times.end());
        return times[times.size() * 99 / 100];
    }

    static constexpr const char* configuration = R"({"version":1,"routes":[
{"name":"r","host":"h.example","path_prefix":"/a/","kind":"idempotent","timeout_ms":3000,
"slo_ms":300,"service":"s","max_attempts":1},
{"name":"call","host":"h.example","path_prefix":"/c/","kind":"non_idempotent","timeout_ms":3000,
"slo_ms":300,"service":"e","max_attempts":1},
{"name":"stream","host":"h.example","path_prefix":"/s/","kind":"streaming","timeout_ms":3000,
"slo_ms":300,"gap_slo_ms":180,"service":"e","max_attempts":1}],
"services":[{"name":"s","max_conns":10},{"name":"e","max_conns":500}],
"tenants":[{"name":"desk","api_keys":["key"]}]})";

    asio::io_context servers_{1};
    std::vector<std::unique_ptr<scripted_backend>> endless_;
    std::thread serving_;
};

INSTANTIATE_TEST_SUITE_P(table, endless_load,
                         testing::Values(load_row{endless_kind::chunks, "/c/x", 32},
                                         load_row{endless_kind::chunks, "/c/x", 100},
                                         load_row{endless_kind::event_line, "/s/x", 32},
                                         load_row{endless_kind::event_line, "/s/x", 100},
                                         load_row{endless_kind::comments, "/s/x", 32},
                                         load_row{endless_kind::comments, "/s/x", 100},
                                         load_row{endless_kind::chunk_extensions, "/c/x", 100}),
                         [](const auto& info) {
                             return fmt::format("{}_{}", to_string(info.param.kind),
                                                info.param.responses);
                         });

// Guards against faulty servers that hold up the requests of other callers.
TEST_P(endless_load, delays_other_callers_little) {
    const instance_under_test& it = add_instance(serving_store_);
    ASSERT_TRUE(serves(it, "key"));
    const double calm_ms = p99(it, 400);
    std::vector<std::shared_ptr<call_result>> endless;
    for (int i = 0; i < GetParam().responses; ++i) {
        endless.push_back(send_request(it, "key", GetParam().path));
    }
    const double loaded_ms = p99(it, 400);
    wait_until([&] {
        return std::all_of(endless.begin(), endless.end(), [](const auto& c) { return c->done; });
    });
    fmt::print("p99 {:.2f} ms before, {:.2f} ms under load\n", calm_ms, loaded_ms);
    EXPECT_LE(loaded_ms, 1.5 * calm_ms);
}

// Guards against faulty servers that take an instance's memory.
TEST_P(endless_load, costs_an_instance_little_memory) {
    const instance_under_test& it = add_instance(serving_store_);
    ASSERT_TRUE(serves(it, "key"));
    const std::size_t before_kb = memory_kb(it.running->pid(), "VmRSS");
    std::vector<std::shared_ptr<call_result>> endless;
    for (int i = 0; i < GetParam().responses; ++i) {
        endless.push_back(send_request(it, "key", GetParam().path));
    }
    wait_until([&] {
        return std::all_of(endless.begin(), endless.end(), [](const auto& c) { return c->done; });
    });
    const std::size_t peak_kb = memory_kb(it.running->pid(), "VmHWM");
    const auto complete = std::count_if(endless.begin(), endless.end(),
                                        [](const auto& c) { return c->status == 200; });
    fmt::print("memory {} KB before, {} KB at most\n", before_kb, peak_kb);
    EXPECT_EQ(complete, 0) << "an answer without an end looks complete";
    EXPECT_LE(
        peak_kb - before_kb,
        std::min<std::size_t>(16 * 1024, static_cast<std::size_t>(GetParam().responses) * 1'024));
    EXPECT_TRUE(has_logged(it, "response_without_end", "limit="));
}

class endless_bytes_system : public endless_load {};

INSTANTIATE_TEST_SUITE_P(table, endless_bytes_system,
                         testing::Values(load_row{endless_kind::no_response, "/c/x", 200},
                                         load_row{endless_kind::no_response, "/s/x", 200},
                                         load_row{endless_kind::head_line, "/c/x", 200},
                                         load_row{endless_kind::head_fields, "/s/x", 200},
                                         load_row{endless_kind::interim_responses, "/c/x", 200},
                                         load_row{endless_kind::beyond_length, "/c/x", 200},
                                         load_row{endless_kind::trailers, "/c/x", 200},
                                         load_row{endless_kind::unframed_body, "/c/x", 200},
                                         load_row{endless_kind::unframed_body, "/s/x", 200}),
                         [](const auto& info) {
                             return fmt::format("{}_of_a_{}", to_string(info.param.kind),
                                                info.param.path[1] == 'c' ? "call" : "stream");
                         });

// Guards against a process that keeps the bytes of faulty servers until it has no memory, and ends
// with the requests of all its callers.
TEST_P(endless_bytes_system, end_no_request_of_another_caller) {
    constexpr std::size_t smallest_instance_kb = 88 * 1024;
    const instance_under_test& it = add_instance(serving_store_);
    ASSERT_TRUE(serves(it, "key"));
    std::vector<std::shared_ptr<call_result>> endless;
    std::vector<std::shared_ptr<call_result>> sound;
    for (int i = 0; i < GetParam().responses; ++i) {
        endless.push_back(send_request(it, "key", GetParam().path));
        sound.push_back(send_request(it, "key"));
        wait_until([&] { return sound.back()->done; });
    }
    wait_until([&] {
        return std::all_of(endless.begin(), endless.end(), [](const auto& c) { return c->done; });
    });
    EXPECT_FALSE(it.running->ended());
    EXPECT_LE(memory_kb(it.running->pid(), "VmHWM"), smallest_instance_kb / 2);
    const auto served =
        std::count_if(sound.begin(), sound.end(), [](const auto& c) { return c->status == 200; });
    EXPECT_EQ(served, GetParam().responses);
}

} // namespace
} // namespace bamboostream::test
