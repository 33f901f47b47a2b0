// Tests with real gateway processes and servers of several software versions in one service, whose
// events of one stream don't fit together.

#include "bamboostream/src/Control/async_wait.h"
#include "test/platform/system/gateway_fixture.h"

#include <array>
#include <csignal>
#include <functional>
#include <set>

namespace bamboostream::test {
namespace {

using namespace std::string_literals;

constexpr int events_per_stream = 60;
constexpr int stream_count = 12;

/// Servers whose events name the software version that wrote them.
class stream_version_system : public gateway_test {
protected:
    void configure_engines() {
        store_.write("keyed.op", "config", R"({"version":1,"routes":[
{"name":"long","host":"h.example","path_prefix":"/long/","kind":"streaming","timeout_ms":9000,
 "slo_ms":1500,"gap_slo_ms":180,"service":"s","max_attempts":2},
{"name":"label","host":"h.example","path_prefix":"/label/","kind":"streaming","resumable":true,
 "timeout_ms":9000,"slo_ms":1500,"gap_slo_ms":180,"service":"s","max_attempts":3}],
"services":[{"name":"s","max_conns":200,"engine":{"slots":64,"kv_tokens":900000,"kv_bytes":100,
"link_mbps":10000,"moves":true,"stride":1}}],"tenants":[{"name":"desk","api_keys":["k"]}]})");
    }

    /// A server that streams events and lets its generations be moved. Ends all its streams without
    /// their end once `broken()` is set.
    void add_version(const std::string& id, const std::string& version) {
        backends_.push_back(std::make_unique<scripted_backend>(
            context_, [this, version](scripted_connection& c) -> asio::awaitable<void> {
                if (c.request().starts_with("POST /kv-move")) {
                    co_await move(c);
                } else if (c.request().starts_with("GET /l")) {
                    co_await stream(c, version);
                }
            }));
        addresses_[id] = backends_.back()->address();
        versions_[id] = version;
        write_entry(id, "ready");
    }

    void write_entry(const std::string& id, const std::string& state) {
        store_.write("keyed.servers", id,
                     fmt::format(R"({{"service":"s","address":"{}","zone":"z0","version":"{}",
"slots":64,"state":"{}","cold_left_ms":0,"sequence":1,"born":1}})",
                                 addresses_[id], versions_[id], state));
    }

    asio::awaitable<void> move(scripted_connection& c) {
        const std::string body = c.request().substr(c.request().find("\r\n\r\n") + 4);
        const std::string id = body.substr(body.find(R"("id":")") + 6, body.find(R"(",)") - 7);
        if (body.find(R"("last":true)") != std::string::npos) {
            stopped_.insert(id);
        }
        const std::string answer = fmt::format(R"({{"handle":"{}","created":1}})", id);
        co_await c.send(fmt::format("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                    "Content-Length: {}\r\n\r\n{}",
                                    answer.size(), answer));
    }

    asio::awaitable<void> stream(scripted_connection& c, std::string version) {
        const std::string id = c.field("Attempt-Id");
        const std::string after = c.field("Last-Event-Id");
        runs_.push_back({id, version, after});
        const bool is_broken = broken_.contains(version);
        stopped_.erase(id);
        if (!is_broken) {
            co_await c.send(fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n"
                                        "Content-Type: text/event-stream\r\n"
                                        "Transfer-Encoding: chunked\r\n\r\n",
                                        id));
        }
        for (int i = after.empty() ? 1 : std::stoi(after) + 1; i <= events_per_stream; ++i) {
            if (stopped_.contains(id) || broken_.contains(version) || c.is_closed()) {
                c.close();
                co_return;
            }
            const std::string event = fmt::format("id: {}\ndata: {}\n\n", i, version);
            co_await c.send(fmt::format("{:x}\r\n{}\r\n", event.size(), event));
            co_await c.pause(20);
        }
        co_await c.send("0\r\n\r\n");
    }

    std::shared_ptr<call_result> open(const instance_under_test& at, const std::string& path,
                                      const std::string& id,
                                      const std::vector<http_field>& more = {}) {
        http_request request = make_request("GET", path);
        request.fields = {
            {"Attempt-Id", id}, {"Authorization", "Bearer k"}, {"Token-Count", "100,400"}};
        request.fields.insert(request.fields.end(), more.begin(), more.end());
        return call_with_host(at.ip + ":8740", request);
    }

    /// Opens a stream and waits for its first event.
    std::shared_ptr<call_result> open_and_await_event(const instance_under_test& at,
                                                      const std::string& path,
                                                      const std::string& id) {
        std::shared_ptr<call_result> result;
        wait_until([&] {
            result = open(at, path, id);
            return wait_until([&] { return result->done || !result->body.empty(); }) &&
                   !result->done;
        });
        return result;
    }

    void start_instances(int count) {
        configure_engines();
        for (int i = 0; i < count; ++i) {
            add_instance(serving_store_);
        }
        for (const auto& it : instances_) {
            ASSERT_TRUE(wait_until([&] {
                const std::string known = fetch_directory(*it);
                return std::all_of(instances_.begin(), instances_.end(), [&](const auto& other) {
                    return known.find(other->ip) != std::string::npos;
                });
            }));
        }
    }

    void wait_until_all_know(std::string_view event, const std::string& backend) {
        for (const auto& it : instances_) {
            ASSERT_TRUE(wait_until([&] { return has_logged(*it, event, "backend=" + backend); }));
        }
    }

    /// The software versions that have written events of a response.
    static std::set<std::string> versions_in(const std::string& body) {
        std::set<std::string> out;
        for (std::size_t at = 0; (at = body.find("data: ", at)) != std::string::npos; ++at) {
            out.insert(body.substr(at + 6, body.find('\n', at) - at - 6));
        }
        return out;
    }

    static int last_event(const std::string& body) {
        const std::size_t end = body.rfind("\n\n");
        return std::stoi(body.substr(body.rfind("id: ", end) + 4));
    }

    struct run {
        std::string id;
        std::string version;
        std::string after;
    };
    std::map<std::string, std::string> addresses_;
    std::map<std::string, std::string> versions_;
    /// Generations that were stopped for a move.
    std::set<std::string> stopped_;
    /// Versions whose servers end all streams before their end.
    std::set<std::string> broken_;
    std::vector<run> runs_;
};

// Guards against a stream that is moved to a server of another software version because its own
// server leaves.
TEST_F(stream_version_system, a_move_never_crosses_versions) {
    start_instances(2);
    add_version("i-old", "v1.10");
    wait_until_all_know("backend_joined", "i-old");
    const auto& at = *instances_.front();
    const auto stream = open_and_await_event(at, "/long/x", "a1");
    add_version("i-new", "blue");
    wait_until_all_know("backend_joined", "i-new");
    write_entry("i-old", "draining");
    wait_until_done(stream);
    EXPECT_EQ(versions_in(stream->body), std::set<std::string>{"v1.10"});
    EXPECT_EQ(stream->status, 200);
}

// Guards against a resumable stream that goes on at another software version within one response.
TEST_F(stream_version_system, a_resumption_never_crosses_versions) {
    start_instances(1);
    add_version("i-old", "v1.10");
    wait_until_all_know("backend_joined", "i-old");
    const auto stream = open_and_await_event(*instances_.front(), "/label/x", "a1");
    add_version("i-new", "blue");
    wait_until_all_know("backend_joined", "i-new");
    broken_.insert("v1.10");
    wait_until_done(stream);
    EXPECT_EQ(versions_in(stream->body), std::set<std::string>{"v1.10"});
    EXPECT_EQ(stream->status, -1);
}

// Guards against streams that callers take up at another instance, after theirs was killed, and
// that go on at another software version than the one that began them.
TEST_F(stream_version_system, a_stream_taken_up_elsewhere_stays_at_its_version) {
    start_instances(4);
    add_version("i-old-1", "v1.10");
    add_version("i-old-2", "v1.10");
    wait_until_all_know("backend_joined", "i-old-1");
    wait_until_all_know("backend_joined", "i-old-2");
    std::vector<std::shared_ptr<call_result>> streams;
    for (int i = 0; i < stream_count; ++i) {
        streams.push_back(
            open_and_await_event(*instances_.front(), "/label/x", fmt::format("a{}", i)));
    }
    for (const char* id : {"i-new-1", "i-new-2", "i-new-3"}) {
        add_version(id, "blue");
        wait_until_all_know("backend_joined", id);
    }
    instances_.front()->running->signal(SIGKILL);
    std::vector<std::shared_ptr<call_result>> rests;
    for (std::size_t i = 0; i < streams.size(); ++i) {
        wait_until_done(streams[i]);
        rests.push_back(open(*instances_[1 + i % 3], "/label/x", fmt::format("b{}", i),
                             {{"Resumes", fmt::format("a{}", i)},
                              {"Last-Event-Id", std::to_string(last_event(streams[i]->body))}}));
    }
    int continued = 0;
    for (std::size_t i = 0; i < streams.size(); ++i) {
        wait_until_done(rests[i]);
        EXPECT_EQ(versions_in(streams[i]->body + rests[i]->body), std::set<std::string>{"v1.10"});
        continued +=
            rests[i]->status == 200 && last_event(rests[i]->body) == events_per_stream ? 1 : 0;
    }
    EXPECT_EQ(continued, stream_count);
}

/// When an instance that stands still gets the requests for the rest of the streams.
enum class taken_up : std::uint8_t { while_it_stands_still, after_it };

class instance_out_of_step : public stream_version_system,
                             public testing::WithParamInterface<taken_up> {
protected:
    /// Opens streams at the instances in turn until `stream_count` of them have begun at `version`.
    std::vector<std::string> open_at_version(const std::string& version, std::size_t instances) {
        std::vector<std::string> out;
        for (int i = 0; i < 20 * stream_count && out.size() < stream_count; ++i) {
            const std::string id = fmt::format("a{}", i);
            const auto stream = streams_[id] =
                open(*instances_[static_cast<std::size_t>(i) % instances], "/label/x", id);
            wait_until([&] { return stream->done || !stream->body.empty(); });
            if (!stream->done && versions_in(stream->body) == std::set{version}) {
                out.push_back(id);
            }
        }
        return out;
    }

    std::map<std::string, std::shared_ptr<call_result>> streams_;
};

INSTANTIATE_TEST_SUITE_P(table, instance_out_of_step,
                         testing::Values(taken_up::while_it_stands_still, taken_up::after_it),
                         [](const auto& info) {
                             return info.param == taken_up::after_it ? "after_it"
                                                                     : "while_it_stands_still";
                         });

// Guards against streams that are taken up at an instance which stood still while servers of a new
// software version joined, and go on at the old version.
TEST_P(instance_out_of_step, joins_no_versions) {
    start_instances(3);
    for (const char* id : {"i-old-1", "i-old-2"}) {
        add_version(id, "v1.10");
        wait_until_all_know("backend_joined", id);
    }
    const instance_under_test& late = *instances_.back();
    late.running->signal(SIGSTOP);
    for (const char* id : {"i-new-1", "i-new-2"}) {
        add_version(id, "blue");
        for (std::size_t i = 0; i < 2; ++i) {
            ASSERT_TRUE(wait_until([&] {
                return has_logged(*instances_[i], "backend_joined", std::string("backend=") + id);
            }));
        }
    }
    const std::vector<std::string> ids = open_at_version("blue", 2);
    ASSERT_EQ(ids.size(), static_cast<std::size_t>(stream_count));
    broken_.insert("blue");
    wait_until([&] {
        return std::all_of(ids.begin(), ids.end(),
                           [&](const auto& id) { return streams_[id]->done; });
    });
    broken_.clear();
    if (GetParam() == taken_up::after_it) {
        wait_until([] { return false; }, seconds(3));
        late.running->signal(SIGCONT);
    }
    std::map<std::string, std::shared_ptr<call_result>> rests;
    for (const std::string& id : ids) {
        const std::string after = std::to_string(last_event(streams_[id]->body));
        rests[id] =
            open(late, "/label/x", "rest-" + id, {{"Resumes", id}, {"Last-Event-Id", after}});
    }
    if (GetParam() == taken_up::while_it_stands_still) {
        wait_until([] { return false; }, seconds(3));
        late.running->signal(SIGCONT);
    }
    int continued = 0;
    for (const auto& [id, rest] : rests) {
        wait_until_done(rest);
        const bool refused = rest->status == 503;
        EXPECT_EQ(versions_in(streams_[id]->body + (refused ? "" : rest->body)), std::set{"blue"s})
            << id;
        continued += rest->status == 200 ? 1 : 0;
    }
    fmt::print("{} of {} streams went on\n", continued, rests.size());
}

/// What the servers of the old software version do when all instances are killed.
enum class old_version : std::uint8_t { serves, leaves, has_left };

class killed_instances : public stream_version_system,
                         public testing::WithParamInterface<old_version> {
protected:
    /// Takes a stream up at one instance after the other until one accepts it, at most `max_tries`
    /// times, each try after the latest event. Appends what arrives to `body`.
    asio::awaitable<void> take_up(std::string first_id, std::string& body, bool& done) {
        for (int i = 0; i < max_tries; ++i) {
            const std::string id = fmt::format("{}-{}", first_id, i);
            const std::string after = std::to_string(last_event(body));
            const std::vector<http_field> fields = {{"Resumes", first_id},
                                                    {"Last-Event-Id", after}};
            const auto rest = open(*instances_[static_cast<std::size_t>(i) % instances_.size()],
                                   "/label/x", id, fields);
            while (!rest->done) {
                co_await pause_for(milliseconds(5));
            }
            answers_[id] = rest->status;
            if (rest->body.starts_with("id: ")) {
                body += rest->body;
            }
            if (rest->status == 200) {
                break;
            }
            co_await pause_for(milliseconds(30));
        }
        done = true;
    }

    static constexpr int max_tries = 40;
    std::map<std::string, int> answers_;
};

std::string name_of(const testing::TestParamInfo<old_version>& info) {
    constexpr std::array names = {"old_version_serves", "old_version_leaves",
                                  "old_version_has_left"};
    return names.at(static_cast<std::size_t>(info.param));
}

INSTANTIATE_TEST_SUITE_P(table, killed_instances,
                         testing::Values(old_version::serves, old_version::leaves,
                                         old_version::has_left),
                         name_of);

// Guards against streams that are taken up right after all instances were killed, when nobody knows
// their origin, and go on at another software version than the one that began them.
TEST_P(killed_instances, join_no_versions) {
    start_instances(3);
    for (const char* id : {"i-old-1", "i-old-2"}) {
        add_version(id, "v1.10");
        wait_until_all_know("backend_joined", id);
    }
    std::vector<std::shared_ptr<call_result>> streams;
    for (std::size_t i = 0; i < stream_count; ++i) {
        streams.push_back(open_and_await_event(*instances_[i % instances_.size()], "/label/x",
                                               fmt::format("a{}", i)));
    }
    for (const char* id : {"i-new-1", "i-new-2"}) {
        add_version(id, "blue");
        wait_until_all_know("backend_joined", id);
    }
    if (GetParam() != old_version::serves) {
        for (const char* id : {"i-old-1", "i-old-2"}) {
            write_entry(id, "draining");
            wait_until_all_know("backend_leaving", id);
        }
    }
    for (const auto& it : instances_) {
        it->running->signal(SIGKILL);
    }
    if (GetParam() == old_version::has_left) {
        broken_.insert("v1.10");
        store_.write("keyed.servers", "i-old-1", "");
        store_.write("keyed.servers", "i-old-2", "");
    }
    std::vector<std::string> bodies;
    for (const auto& it : streams) {
        wait_until_done(it);
        bodies.push_back(it->body);
    }
    const std::size_t runs_before = runs_.size();
    for (const auto& it : instances_) {
        start(*it);
    }
    std::array<bool, stream_count> done{};
    for (std::size_t i = 0; i < bodies.size(); ++i) {
        asio::co_spawn(context_, take_up(fmt::format("a{}", i), bodies[i], done.at(i)),
                       asio::detached);
    }
    const auto all_done = [&] { return std::all_of(done.begin(), done.end(), std::identity{}); };
    EXPECT_TRUE(wait_until(all_done, seconds(20)));
    for (const std::string& body : bodies) {
        EXPECT_EQ(versions_in(body), std::set<std::string>{"v1.10"});
    }
    int refused = 0;
    for (const auto& [id, status] : answers_) {
        refused += status == 503 ? 1 : 0;
        EXPECT_TRUE(status != 503 ||
                    std::none_of(runs_.begin() + static_cast<std::ptrdiff_t>(runs_before),
                                 runs_.end(), [&id = id](const run& r) { return r.id == id; }))
            << id << " was refused and ran";
    }
    EXPECT_GT(refused, 0);
}

} // namespace
} // namespace bamboostream::test
