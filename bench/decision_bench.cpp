// Measures how the costs of the decision objects (processor time, bytes and messages) grow with
// their size. Each is measured at three or more sizes; a straight line is fitted and its error
// reported. The figures in docs/CAPACITY.md are derived from these results.

#include "bamboostream/Configuration"
#include "bamboostream/Core"
#include "bamboostream/Forwarding"
#include "bamboostream/Ledger"
#include "bamboostream/Lengths"
#include "bamboostream/Limits"
#include "bamboostream/Links"
#include "bamboostream/Membership"
#include "bamboostream/Routing"
#include "bamboostream/Streams"
#include "bamboostream/src/Control/frames.h"
#include "platform/platform_record_codec.h"
#include "platform/platform_request_codec.h"
#include "test/platform/large_document.h"

#include <boost/json.hpp>
#include <cmath>
#include <fmt/format.h>
#include <fstream>
#include <malloc.h>

using namespace bamboostream;
namespace json = boost::json;

namespace {

const time_point start{seconds(1'000)};

/// One quantity measured at several sizes, and the line fitted to it by least squares.
struct slope {
    std::string name;
    std::string unit;
    std::string per;
    std::vector<double> sizes;
    std::vector<double> values;

    /// The line is `base + factor * size`.
    double factor = 0.0;
    double base = 0.0;
    /// Root mean square of the residuals, as a fraction of the mean value.
    double error = 0.0;

    void fit() {
        const auto n = static_cast<double>(sizes.size());
        double sx = 0;
        double sy = 0;
        double sxx = 0;
        double sxy = 0;
        for (std::size_t i = 0; i < sizes.size(); ++i) {
            sx += sizes[i];
            sy += values[i];
            sxx += sizes[i] * sizes[i];
            sxy += sizes[i] * values[i];
        }
        const double d = n * sxx - sx * sx;
        factor = d != 0.0 ? (n * sxy - sx * sy) / d : 0.0;
        base = (sy - factor * sx) / n;
        double squared_error = 0;
        for (std::size_t i = 0; i < sizes.size(); ++i) {
            const double e = values[i] - base - factor * sizes[i];
            squared_error += e * e;
        }
        error = sy > 0 ? std::sqrt(squared_error / n) / (sy / n) : 0.0;
    }
};

/// The shortest duration of several runs, because noise can only lengthen a run.
template <class Work> double min_time_us(int repeats, Work work) {
    double best = 1e18;
    for (int i = 0; i < repeats; ++i) {
        const time_point from = monotonic_now();
        work();
        best = std::min(best,
                        std::chrono::duration<double, std::micro>(monotonic_now() - from).count());
    }
    return best;
}

double heap_bytes() {
    return static_cast<double>(mallinfo2().uordblks);
}

scheduling_request make_request(std::uint64_t id, const std::string& workspace) {
    scheduling_request r;
    r.id = id;
    r.workspace = workspace;
    r.prompt_tokens = 200;
    r.start_by = start + seconds(30);
    return r;
}

void fill_engines(pool_scheduler& s, int engines) {
    for (int i = 0; i < engines; ++i) {
        const std::string id = fmt::format("10.0.{}.{}:80", i / 250, i % 250);
        s.add_engine(backend_id(id), failure_domain_id("d"));
        engine_report report;
        report.capacity_tokens = 1'000'000;
        report.max_running = 256;
        s.on_report(id, report, start);
    }
}

slope routing() {
    slope out{"routing_decision", "us", "engine in the pool", {}, {}};
    for (const int engines : {10, 50, 200, 700}) {
        pool_scheduler s("m", objective::stall_time, 1);
        fill_engines(s, engines);
        s.dispatch(start);
        std::uint64_t id = 1;
        constexpr int batch = 200;
        const double us = min_time_us(15, [&] {
            for (int i = 0; i < batch; ++i) {
                s.submit(make_request(id++, "w"), start);
                s.dispatch(start);
            }
        });
        out.sizes.push_back(engines);
        out.values.push_back(us / batch);
    }
    return out;
}

/// One choice among 130 engines from the work that all instances have reported.
slope choice_by_view() {
    slope out{"choice_by_view", "us", "instance that tells of its work", {}, {}};
    constexpr std::uint64_t engines = 130;
    constexpr std::uint64_t entries_per_peer = 6;
    std::vector<registered_backend> all(engines);
    std::vector<const registered_backend*> servers;
    for (std::uint64_t i = 0; i < engines; ++i) {
        all[i].id = backend_id(fmt::format("i-{:010x}", i));
        servers.push_back(&all[i]);
    }
    placement_request request;
    request.server_memory_tokens = 33'000;
    for (const std::uint64_t peers : {10, 100, 300, 1'100}) {
        load_table loads;
        backend_picker picker(1);
        for (std::uint64_t p = 0; p < peers; ++p) {
            std::vector<backend_work_entry> reported;
            for (std::uint64_t e = 0; e < entries_per_peer; ++e) {
                reported.push_back(
                    {backend_hash(all[(p * 7 + e * 19) % engines].id), {1, 3'000, 0}});
            }
            loads.hear(fmt::format("10.0.{}.{}:7200", p / 250, p % 250), reported, start);
        }
        out.sizes.push_back(static_cast<double>(peers));
        out.values.push_back(min_time_us(30, [&] { picker.pick(servers, loads, request, start); }));
    }
    return out;
}

/// One choice of an engine with admission control among engines of two speeds, by the load alone or
/// also by the pace.
slope choice_of_engine(bool by_pace) {
    slope out{by_pace ? "choice_by_pace" : "choice_by_load", "us", "engine of the service", {}, {}};
    const platform::platform_request_codec codec;
    const service_id service("s");
    for (const std::uint64_t engines : {75, 1'000, 11'000}) {
        forwarding_state state(codec, failure_domain_id("d"), {}, 1);
        if (by_pace) {
            state.server_loads.set_reports_host_load(service);
        }
        for (std::uint64_t i = 0; i < engines; ++i) {
            registered_backend engine;
            engine.id = backend_id(fmt::format("i-{:010x}", i));
            engine.service = service;
            state.registry.update(engine, start);
            const std::uint64_t hash = backend_hash(engine.id);
            state.loads.add(engine.id, {5, 18'000, static_cast<std::int64_t>(i % 3) * 1'000});
            state.prefill.note(service, hash, {3'000.0, 500.0});
            if (by_pace) {
                state.pace.observe(
                    service, hash,
                    {40.0, 40.0 * (i % 3 == 0 ? 70.0 : 28.0), 0.0, milliseconds(180)}, start);
            }
        }
        engine_request request;
        request.service = service;
        request.work = {1, 3'840, 3'080};
        request.engine_memory_tokens = 26'950;
        request.objective = milliseconds(1'800);
        request.pause_objective = milliseconds(by_pace ? 180 : 0);
        out.sizes.push_back(static_cast<double>(engines));
        out.values.push_back(min_time_us(engines > 5'000 ? 30 : 300, [&] {
            choose_engine(state, request, sender_role::owner, start);
        }));
    }
    return out;
}

/// Cost of changing one route, by the number of routes in the document. Changes are sent as
/// differences because each instance used to receive the whole document (350 kB at 1,500 routes,
/// 4.7 MB at 20,000) and to parse it on the thread that serves requests.
struct document_figures {
    slope read{"document_read", "us", "route", {}, {}};
    slope encode{"document_change_encode", "us", "route", {}, {}};
    slope decode{"document_change_decode", "us", "route", {}, {}};
    slope bytes{"document_change_bytes", "bytes", "route", {}, {}};
};

document_figures documents() {
    document_figures out;
    const platform::platform_record_codec codec;
    for (const std::size_t routes : {50, 1'500, 20'000}) {
        const std::string before = test::large_document_text(1, routes, 3);
        const std::string after = test::large_document_text(2, routes + 1, 3);
        const encoded_document change = encode_document(2, after, before);
        std::string why;
        document_failure failure;
        for (slope* s : {&out.read, &out.encode, &out.decode, &out.bytes}) {
            s->sizes.push_back(static_cast<double>(routes));
        }
        out.read.values.push_back(min_time_us(
            5, [&] { route_table table(codec.read_configuration(after, why).value()); }));
        out.encode.values.push_back(min_time_us(5, [&] { encode_document(2, after, before); }));
        out.decode.values.push_back(
            min_time_us(5, [&] { decode_document(change, before, failure); }));
        out.bytes.values.push_back(static_cast<double>(change.bytes->size()));
    }
    return out;
}

slope admission() {
    slope out{"admission_decision", "us", "workspace with waiting requests", {}, {}};
    for (const int workspaces : {10, 40, 160, 640}) {
        pool_scheduler s("m", objective::stall_time, 1);
        fill_engines(s, 10);
        std::uint64_t id = 1;
        for (int i = 0; i < workspaces * 4; ++i) {
            s.submit(make_request(id++, fmt::format("w{}", i % workspaces)), start);
        }
        constexpr int batch = 20;
        const double us = min_time_us(15, [&] {
            for (int i = 0; i < batch; ++i) {
                s.submit(make_request(id++, fmt::format("w{}", i % workspaces)), start);
                s.dispatch(start);
            }
        });
        out.sizes.push_back(workspaces);
        out.values.push_back(us / batch);
    }
    return out;
}

/// Evidence that three engines ended one after another (400 ms apart) with the same requests on
/// them, as after the loss of three racks. None of the requests caused it.
std::vector<crash_evidence> make_crash_evidence(int requests) {
    std::vector<crash_evidence> out;
    for (std::uint64_t server = 0; server < 3; ++server) {
        for (int i = 0; i < requests; ++i) {
            const auto number = static_cast<std::uint64_t>(i);
            out.push_back({{number, number},
                           server,
                           number % 64,
                           start + milliseconds(400 * server),
                           true,
                           false});
        }
    }
    return out;
}

slope quarantine_report() {
    slope out{"quarantine_report", "us", "request on three servers that ended", {}, {}};
    for (const int requests : {100, 400, 1'600}) {
        const std::vector<crash_evidence> report = make_crash_evidence(requests);
        out.sizes.push_back(requests);
        out.values.push_back(min_time_us(5, [&] {
            request_quarantine quarantine;
            quarantine.add_evidence(report, start + seconds(2));
        }));
    }
    return out;
}

/// Evidence that 20 engines crashed one after another under requests that share one of 16 first
/// parts, and a document of their own.
slope part_report() {
    constexpr int servers = 20;
    slope out{"part_report", "us", "attempt open on engines that crashed", {}, {}};
    for (const int attempts : {100, 400, 1'600}) {
        std::vector<crash_evidence> report;
        for (int i = 0; i < attempts; ++i) {
            const auto number = static_cast<std::uint64_t>(i);
            crash_evidence it;
            it.request = {number, number};
            it.server = number % servers;
            it.caller = number % 64;
            it.at = start + milliseconds(100 * it.server);
            it.parts = {{1, number % 16}, {2, number}};
            report.push_back(it);
        }
        out.sizes.push_back(attempts);
        out.values.push_back(min_time_us(5, [&] {
            request_quarantine quarantine;
            quarantine.add_evidence(report, start + seconds(3));
            quarantine.settle(start + seconds(4));
        }));
    }
    return out;
}

slope digest_of_short_request() {
    slope out{"digest_of_request", "us", "byte", {}, {}};
    constexpr int batch = 100;
    for (const int bytes : {64, 256, 512}) {
        const std::string body(static_cast<std::size_t>(bytes), 'x');
        out.sizes.push_back(bytes);
        out.values.push_back(
            min_time_us(20,
                        [&] {
                            for (int i = 0; i < batch; ++i) {
                                request_digest::of({"workspace", "POST", "/path", body});
                            }
                        }) /
            batch);
    }
    return out;
}

slope forecast_refresh() {
    slope out{"forecast_refresh", "us", "running generation", {}, {}};
    for (const int running : {50, 200, 800}) {
        pool_scheduler s("m", objective::stall_time, 1);
        fill_engines(s, 10);
        for (int i = 0; i < running; ++i) {
            s.on_progress({static_cast<std::uint64_t>(i + 1), "w",
                           fmt::format("10.0.0.{}:80", i % 10), "k", 200, 50},
                          start);
        }
        time_point now = start;
        const double us = min_time_us(20, [&] {
            now += milliseconds(51);
            s.dispatch(now);
        });
        out.sizes.push_back(running);
        out.values.push_back(us);
    }
    return out;
}

/// Bytes and frames that one member sends and receives per second, measured with the real member
/// tables and frame codec. Bytes include 52 bytes of TCP and IP headers for each frame.
struct gossip_figures {
    slope bytes{"gossip_bytes_per_second", "bytes/s", "member", {}, {}};
    slope messages{"gossip_messages_per_second", "1/s", "member", {}, {}};
    slope time{"gossip_time_per_period", "us", "member", {}, {}};
    slope memory{"member_memory", "bytes", "member", {}, {}};
};

std::string encode_probe(const member_gossip& gossip) {
    return encode_frame(make_frame(to_wire(gossip)));
}

gossip_figures gossip() {
    gossip_figures out;
    constexpr double headers = 52.0;
    const membership_timing timing;
    for (const int members : {8, 50, 200}) {
        std::vector<std::unique_ptr<member_table>> tables;
        std::vector<std::string> seeds;
        const double heap_before = heap_bytes();
        for (int i = 0; i < members; ++i) {
            member_facts self;
            self.id = {fmt::format("10.1.{}.{}:7000", i / 250, i % 250), 1'796'000'000'000};
            self.caller_address = fmt::format("10.1.{}.{}:8000", i / 250, i % 250);
            self.operator_address = fmt::format("10.1.{}.{}:9000", i / 250, i % 250);
            self.failure_domain = failure_domain_id("norra");
            seeds.push_back(self.id.address);
            tables.push_back(
                std::make_unique<member_table>(self, timing, static_cast<std::uint64_t>(i)));
        }
        time_point now = start;
        double bytes = 0;
        double frames = 0;
        const auto round = [&](int i) {
            member_table& own = *tables[static_cast<std::size_t>(i)];
            own.set_seeds(seeds, now);
            for (const std::string& peer : own.choose_probes(now)) {
                const auto at = static_cast<std::size_t>(
                    std::find(seeds.begin(), seeds.end(), peer) - seeds.begin());
                member_table& other = *tables[at];
                const auto deliver = [&](const member_gossip& reported, member_table& from,
                                         member_table& to) {
                    const std::string frame = encode_probe(reported);
                    bytes += static_cast<double>(frame.size()) + headers;
                    frames += 1;
                    const auto decoded = decode_frame(std::string_view(frame).substr(4));
                    member_gossip heard = from_wire(*decoded->message.AsProbe());
                    to.hear(heard, from.self().id.address, now);
                    return heard;
                };
                const member_gossip asked = deliver(own.probe_gossip(), own, other);
                const member_gossip answer = deliver(other.answer_gossip(asked), other, own);
                if (const auto missing = own.gossip_missing_at(answer)) {
                    deliver(*missing, own, other);
                }
                own.probe_answered(peer, now);
            }
            own.expire(now);
        };
        const auto all_rounds = [&](int count) {
            for (int r = 0; r < count; ++r) {
                now += timing.probe_period;
                for (int i = 0; i < members; ++i) {
                    round(i);
                }
            }
        };
        // Warm-up until every member has learnt that the others joined.
        all_rounds(members * 3);
        out.memory.sizes.push_back(members);
        out.memory.values.push_back((heap_bytes() - heap_before) / members);
        bytes = 0;
        frames = 0;
        constexpr int measured = 50;
        const double us = min_time_us(1, [&] { all_rounds(measured); });
        const double span = measured * to_milliseconds(timing.probe_period) / 1000.0;
        out.bytes.sizes.push_back(members);
        // A frame is sent by one member and received by another, so it counts twice in the total.
        out.bytes.values.push_back(2 * bytes / members / span);
        out.messages.sizes.push_back(members);
        out.messages.values.push_back(2 * frames / members / span);
        out.time.sizes.push_back(members);
        out.time.values.push_back(us / measured / members);
    }
    return out;
}

log_record change_record(std::int64_t offset, int workspace) {
    configuration_submission s;
    s.id = random_id();
    s.base = offset;
    s.author = "operator";
    const json::object value{
        {"weight", 1 + offset % 7},
        {"max_running", 400},
        {"max_waiting", 2000},
        {"keys", json::array{json::object{{"id", "2026-a"},
                                          {"sha256", sha256_hex(std::to_string(workspace))}}}}};
    s.changes.push_back({fmt::format("workspaces/workspace-{}", workspace), value});
    return {offset, offset, configuration_state::submission_record(s)};
}

struct configuration_figures {
    slope apply{"configuration_change", "us", "workspace in the document", {}, {}};
    slope size{"configuration_state", "bytes", "workspace in the document", {}, {}};
    slope adopt{"configuration_adopt", "us", "workspace in the document", {}, {}};
};

configuration_figures configuration() {
    configuration_figures out;
    for (const int workspaces : {10, 160, 640}) {
        configuration_state state;
        std::int64_t offset = 0;
        for (int i = 0; i < workspaces; ++i) {
            state.apply(change_record(offset, i));
            ++offset;
        }
        constexpr int batch = 10;
        const double us = min_time_us(7, [&] {
            for (int i = 0; i < batch; ++i) {
                state.apply(change_record(offset, i % workspaces));
                ++offset;
            }
        });
        out.apply.sizes.push_back(workspaces);
        out.apply.values.push_back(us / batch);
        const std::string text = state.serialize();
        out.size.sizes.push_back(workspaces);
        out.size.values.push_back(static_cast<double>(text.size()));
        out.adopt.sizes.push_back(workspaces);
        out.adopt.values.push_back(min_time_us(7, [&] {
            configuration_state fresh;
            fresh.adopt(text);
        }));
    }
    return out;
}

struct ledger_figures {
    slope apply{"ledger_apply", "us", "claim with its outcome", {}, {}};
    slope memory{"ledger_memory", "bytes", "claim with its outcome", {}, {}};
    slope bytes{"ledger_log_bytes", "bytes", "claim with its outcome", {}, {}};
};

ledger_figures ledger() {
    ledger_figures out;
    for (const int calls : {1'000, 10'000, 100'000}) {
        std::vector<log_record> records;
        double bytes = 0;
        std::int64_t offset = 0;
        for (int i = 0; i < calls; i += 50) {
            std::vector<ledger_entry> group;
            for (int k = 0; k < 50; ++k) {
                ledger_entry e;
                e.workspace = "workspace-1";
                e.key = make_uuid_v7(1'796'000'000'000);
                e.claim = random_id();
                e.claimant = {"10.1.1.1:7000", 1'796'000'000'000};
                e.call_digest = std::string(64, 'a');
                group.push_back(e);
                e.kind = ledger_kind::outcome;
                e.status = 200;
                e.body = std::string(120, 'b');
                group.push_back(e);
            }
            records.push_back({offset, offset, encode_ledger_record(group)});
            ++offset;
            bytes += static_cast<double>(records.back().data.size());
        }
        const double heap_before = heap_bytes();
        claim_table table;
        const double us = min_time_us(1, [&] {
            for (const log_record& record : records) {
                table.apply(record);
            }
        });
        out.apply.sizes.push_back(calls);
        out.apply.values.push_back(us);
        out.memory.sizes.push_back(calls);
        out.memory.values.push_back(heap_bytes() - heap_before);
        out.bytes.sizes.push_back(calls);
        out.bytes.values.push_back(bytes);
    }
    return out;
}

slope lengths_memory() {
    slope out{"lengths_memory", "bytes", "subject", {}, {}};
    for (const int subjects : {100, 1'000, 7'000}) {
        const double before = heap_bytes();
        length_estimator estimator;
        for (int i = 0; i < subjects; ++i) {
            estimator.record_end(estimator.key({fmt::format("w{}", i), "m", "k"}), 100);
        }
        out.sizes.push_back(subjects);
        out.values.push_back(heap_bytes() - before);
    }
    return out;
}

slope handles() {
    slope out{"handle_sign_and_verify", "us", "handle", {}, {}};
    const handle_signer signer({{"a", "a-secret-of-some-length", true}});
    const workspace_id owner("w");
    for (const int count : {100, 400, 1'600}) {
        out.sizes.push_back(count);
        out.values.push_back(min_time_us(5, [&] {
            for (int i = 0; i < count; ++i) {
                const auto handle = signer.issue(
                    {backend_id("10.0.0.1:80"), generation_id(std::string(32, 'a')), owner, 10});
                handle_failure why;
                signer.verify(handle->text(), owner, 1, why);
            }
        }));
    }
    return out;
}

slope authentication() {
    slope out{"authentication", "us", "workspace", {}, {}};
    for (const int workspaces : {10, 160, 640}) {
        configuration_document document;
        for (int i = 0; i < workspaces; ++i) {
            document.workspaces[fmt::format("w{}", i)].keys.push_back(
                {"k", sha256_hex(std::to_string(i))});
        }
        out.sizes.push_back(workspaces);
        out.values.push_back(min_time_us(50, [&] { document.workspace_of_key(sha256_hex("5")); }));
    }
    return out;
}

} // namespace

int main(int argc, char** argv) {
    std::string json_file;
    settings s("decision-bench", "Slopes of the decision objects");
    s.text("json", &json_file, "File to write the slopes to");
    if (s.parse(argc, argv) != settings_outcome::run) {
        return s.exit_code();
    }
    const gossip_figures g = gossip();
    const configuration_figures c = configuration();
    const ledger_figures l = ledger();
    const document_figures d = documents();
    std::vector<slope> all = {routing(),
                              choice_by_view(),
                              choice_of_engine(false),
                              choice_of_engine(true),
                              admission(),
                              forecast_refresh(),
                              quarantine_report(),
                              part_report(),
                              digest_of_short_request(),
                              g.bytes,
                              g.messages,
                              g.time,
                              g.memory,
                              c.apply,
                              c.size,
                              c.adopt,
                              l.apply,
                              l.memory,
                              l.bytes,
                              lengths_memory(),
                              handles(),
                              authentication(),
                              d.read,
                              d.encode,
                              d.decode,
                              d.bytes};
    json::array rows;
    for (slope& row : all) {
        row.fit();
        fmt::print("{:<28} {:>10.3f} {} a {} + {:.2f} (misses {:.0f} %) :", row.name, row.factor,
                   row.unit, row.per, row.base, 100 * row.error);
        json::array points;
        for (std::size_t i = 0; i < row.sizes.size(); ++i) {
            fmt::print(" {}={:.4g}", row.sizes[i], row.values[i]);
            points.push_back(json::array{row.sizes[i], row.values[i]});
        }
        fmt::print("\n");
        rows.push_back(json::object{{"name", row.name},
                                    {"unit", row.unit},
                                    {"per", row.per},
                                    {"slope", row.factor},
                                    {"base", row.base},
                                    {"error", row.error},
                                    {"points", std::move(points)}});
    }
    if (!json_file.empty()) {
        std::ofstream(json_file) << json::serialize(rows) << '\n';
    }
    return exit_code_ok;
}
