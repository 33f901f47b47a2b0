// Measures the processor time per token, the memory per stream and the latency that one instance
// adds, compared with a plain TCP relay. This program simulates the engine and the callers;
// tools/capacity.sh starts the processes between them.

#include "bamboostream/Contracts"
#include "bamboostream/Core"
#include "bamboostream/Http"

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <fmt/format.h>
#include <fstream>
#include <memory>
#include <thread>
#include <unistd.h>

namespace asio = boost::asio;
namespace json = boost::json;
using namespace bamboostream;

namespace {

const std::string caller_key = "bench-key";
constexpr milliseconds request_timeout{10'000};
/// After this many unpaced tokens a stream yields to the others.
constexpr std::int64_t tokens_per_yield = 32;
constexpr std::int64_t max_tokens_per_stream = 1'000'000;

struct bench_settings {
    std::string platform;
    std::string operators;
    std::string callers;
    std::string relay;
    std::string engine_listen = "127.0.0.1:0";
    std::string announce_file;
    std::string json_file;
    std::int64_t daemon_pid = 0;
    std::int64_t relay_pid = 0;
    milliseconds phase{5'000};
};

std::int64_t monotonic_ns() {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(monotonic_now().time_since_epoch())
        .count();
}

/// An engine that sends tokens at a fixed interval. Each token contains the time when it was sent.
class paced_engine {
public:
    explicit paced_engine(asio::io_context& context) : context_(context) {}

    /// Time between two tokens of a stream; zero to send as fast as the connection accepts them.
    std::atomic<std::int64_t> token_interval_us{36'000};
    std::atomic<bool> stop{false};

    asio::awaitable<void> handle(http_exchange& exchange) {
        if (exchange.request().path == "/v1/status") {
            co_await exchange.respond_json(
                200, R"({"state":"live","start_stamp":1,"model":"bench","load":)"
                     R"({"capacity_tokens":100000000,"used_tokens":0,"running":0,)"
                     R"("max_running":100000}})");
            co_return;
        }
        std::string why;
        const std::vector<std::string> path = split_path(exchange.request().path);
        const bool resumed = path.size() == 3 && path[1] == "generations";
        const auto body = parse_json(exchange.request().body, why);
        const std::string id = resumed ? path[2] : body ? text_at(*body, "generation_id") : "";
        const auto from = exchange.request().number_parameter("from", 0);
        if (!co_await exchange.begin_stream(200, "text/event-stream", {})) {
            co_return;
        }
        co_await send_tokens(exchange, id, from);
    }

private:
    asio::awaitable<void> send_tokens(http_exchange& exchange, const std::string& id,
                                      std::int64_t number) {
        asio::steady_timer timer(context_);
        // Starts the streams at different offsets, so that they don't send at the same instants.
        timer.expires_after(microseconds((next_phase_ += 7'919) % 36'000));
        co_await timer.async_wait(asio::use_awaitable);
        time_point next = monotonic_now();
        std::string line;
        while (!stop && !exchange.caller_gone()) {
            const std::int64_t interval_us = token_interval_us;
            line.clear();
            fmt::format_to(std::back_inserter(line),
                           "data: {{\"id\":\"{}\",\"seq\":{},\"text\":\"@{}@\"}}\n\n", id, number++,
                           monotonic_ns());
            co_await exchange.write(line);
            if (interval_us == 0 && number % tokens_per_yield == 0) {
                // Writes to a socket that never fills complete at once, so without this the stream
                // would starve the others.
                co_await asio::post(context_, asio::use_awaitable);
            }
            if (interval_us > 0) {
                next += microseconds(interval_us);
                timer.expires_at(next);
                co_await timer.async_wait(asio::use_awaitable);
            }
        }
        const std::string end = fmt::format(
            "data: {{\"id\":\"{}\",\"seq\":{},\"finish_reason\":\"stop\"}}\n\n", id, number);
        co_await exchange.write(end);
        co_await exchange.end_stream();
    }

    asio::io_context& context_;
    std::int64_t next_phase_ = 0;
};

/// Callers that read streams and record the latency of each token. Runs on one thread, which owns
/// `latency_ms`.
class stream_clients {
public:
    explicit stream_clients(asio::io_context& context) : context_(context) {}

    std::vector<float> latency_ms;
    std::atomic<std::int64_t> tokens{0};
    std::atomic<std::int64_t> open{0};

    void start(const std::string& address, int number, std::int64_t max_tokens) {
        ++open;
        asio::co_spawn(context_, read(address, number, max_tokens), asio::detached);
    }

private:
    asio::awaitable<void> read(std::string address, int number, std::int64_t max_tokens) {
        const json::object body{{"model", "bench"},
                                {"prompt", fmt::format("stream {}", number)},
                                {"stream", true},
                                {"max_tokens", max_tokens},
                                {"generation_id", fmt::format("direct{}", number)}};
        json::object asked = body;
        if (!direct_) {
            asked.erase("generation_id");
        }
        http_request request = make_request("POST", "/v1/completions", json::serialize(asked));
        request.fields.push_back({"Authorization", "Bearer " + caller_key});
        http_failure why;
        auto stream = co_await open_http_stream(context_.get_executor(), address,
                                                std::move(request), request_timeout, why);
        std::string buffer;
        while (stream) {
            buffer.clear();
            const bool more = co_await stream->read(buffer);
            if (!more) {
                break;
            }
            record_tokens(buffer);
        }
        --open;
    }

    void record_tokens(std::string_view bytes) {
        const std::int64_t now = monotonic_ns();
        for (std::size_t at = bytes.find('@'); at != std::string_view::npos;
             at = bytes.find('@', at + 1)) {
            const std::size_t end = bytes.find('@', at + 1);
            if (end == std::string_view::npos) {
                return;
            }
            std::int64_t sent = 0;
            std::from_chars(bytes.data() + at + 1, bytes.data() + end, sent);
            latency_ms.push_back(static_cast<float>(now - sent) / 1e6F);
            ++tokens;
            at = end;
        }
    }

public:
    /// True if requests go to the engine, directly or through the relay. They then contain the
    /// generation_id, which an instance would otherwise assign.
    bool direct_ = true;

private:
    asio::io_context& context_;
};

/// Accumulated processor time and resident memory of a process.
struct process_usage {
    double cpu_seconds = 0.0;
    double resident_bytes = 0.0;
};

process_usage read_process_usage(std::int64_t pid) {
    process_usage out;
    std::ifstream stat(fmt::format("/proc/{}/stat", pid));
    std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
    const std::size_t close = text.rfind(')');
    if (close == std::string::npos) {
        return out;
    }
    std::vector<std::string> fields;
    std::string field;
    for (const char c : text.substr(close + 2)) {
        if (c == ' ') {
            fields.push_back(std::exchange(field, {}));
        } else {
            field += c;
        }
    }
    const double ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
    out.cpu_seconds = (std::stod(fields.at(11)) + std::stod(fields.at(12))) / ticks;
    out.resident_bytes = std::stod(fields.at(21)) * static_cast<double>(sysconf(_SC_PAGESIZE));
    return out;
}

float percentile(std::vector<float> values, double p) {
    if (values.empty()) {
        return 0.0F;
    }
    const auto rank = std::min(values.size() - 1,
                               static_cast<std::size_t>(p * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                     values.end());
    return values[rank];
}

/// One measurement: a path under a load.
struct phase {
    std::string name;
    std::string path;
    std::string address;
    std::int64_t pid = 0;
    int streams = 0;
    std::int64_t token_interval_us = 0;
};

class bench {
public:
    explicit bench(bench_settings s)
        : s_(std::move(s)), engine_(engine_context_), clients_(client_context_),
          engine_guard_(engine_context_.get_executor()),
          client_guard_(client_context_.get_executor()) {}

    int run() {
        http_server server({&engine_context_}, {},
                           [this](http_exchange& e) { return engine_.handle(e); });
        std::string why;
        const auto address = server.listen(s_.engine_listen, why);
        if (!address) {
            fmt::print(stderr, "engine: {}\n", why);
            return exit_code_unavailable;
        }
        engine_address_ = *address;
        std::jthread engine_thread([this] { engine_context_.run(); });
        std::jthread client_thread([this] { client_context_.run(); });
        std::ofstream(s_.announce_file) << engine_address_ << '\n';
        const bool ready = prepare();
        if (ready) {
            measure_all();
        }
        engine_.stop = true;
        engine_context_.stop();
        client_context_.stop();
        if (ready && !s_.json_file.empty()) {
            std::ofstream(s_.json_file) << json::serialize(rows_) << '\n';
        }
        return ready ? exit_code_ok : exit_code_unavailable;
    }

private:
    std::optional<http_response> send(const std::string& address, const std::string& method,
                                      const std::string& target, const std::string& body) {
        asio::io_context context(1);
        std::optional<http_response> response;
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                http_failure why;
                http_request request = make_request(method, target, body);
                response = co_await fetch(context.get_executor(), address, std::move(request),
                                          request_timeout, why);
            },
            asio::detached);
        context.run();
        return response;
    }

    /// Registers the engine, configures the instance and checks after 3 s that it is ready.
    bool prepare() {
        const json::object machine{
            {"address", engine_address_}, {"kind", "engine"}, {"group", "bench"},
            {"failure_domain", "d"},      {"state", "live"},  {"now", 1}};
        send(s_.platform, "POST", "/control/instances", json::serialize(machine));
        const json::object workspace{
            {"weight", 1},
            {"keys", json::array{json::object{{"id", "k"}, {"sha256", sha256_hex(caller_key)}}}}};
        const json::array changes{
            json::object{{"entry", "workspaces/bench"}, {"value", workspace}},
            json::object{{"entry", "pools/bench"}, {"value", json::object{{"model", "bench"}}}},
            json::object{{"entry", "resume_keys/a"},
                         {"value", json::object{{"secret", "a-secret-for-benches"}}}}};
        const json::object submission{{"base", 0}, {"changes", changes}};
        send(s_.operators, "POST", "/v1/configuration", json::serialize(submission));
        std::this_thread::sleep_for(seconds(3));
        const auto ready = send(s_.operators, "GET", "/readyz", "");
        return ready && ready->status == 200;
    }

    void measure_all() {
        constexpr std::int64_t paced_interval_us = 36'000;
        for (const int streams : {100, 200, 400}) {
            measure({"paced", "direct", engine_address_, 0, streams, paced_interval_us});
            measure({"paced", "tcp_relay", s_.relay, s_.relay_pid, streams, paced_interval_us});
            measure(
                {"paced", "bamboostream", s_.callers, s_.daemon_pid, streams, paced_interval_us});
        }
        measure({"peak", "tcp_relay", s_.relay, s_.relay_pid, 64, 0});
        measure({"peak", "bamboostream", s_.callers, s_.daemon_pid, 64, 0});
    }

    void measure(const phase& p) {
        engine_.stop = false;
        engine_.token_interval_us = p.token_interval_us;
        clients_.direct_ = p.path != "bamboostream";
        const process_usage idle = p.pid > 0 ? read_process_usage(p.pid) : process_usage{};
        asio::post(client_context_, [&] {
            for (int i = 0; i < p.streams; ++i) {
                clients_.start(p.address, next_stream_++, max_tokens_per_stream);
            }
        });
        std::this_thread::sleep_for(seconds(1));
        take_latencies();
        const process_usage before = p.pid > 0 ? read_process_usage(p.pid) : process_usage{};
        const time_point started = monotonic_now();
        const std::int64_t first = clients_.tokens;
        std::this_thread::sleep_for(s_.phase);
        const std::int64_t count = clients_.tokens - first;
        const double span = std::chrono::duration<double>(monotonic_now() - started).count();
        const process_usage after = p.pid > 0 ? read_process_usage(p.pid) : process_usage{};
        engine_.stop = true;
        const std::vector<float> latencies = take_latencies();
        while (clients_.open > 0) {
            std::this_thread::sleep_for(milliseconds(20));
        }
        const double rate = static_cast<double>(count) / span;
        const double cores = (after.cpu_seconds - before.cpu_seconds) / span;
        const json::object row{
            {"load", p.name},
            {"path", p.path},
            {"streams", p.streams},
            {"tokens_per_second", rate},
            {"cores", cores},
            {"us_per_token", rate > 0 ? 1e6 * cores / rate : 0.0},
            {"kib_per_stream", (after.resident_bytes - idle.resident_bytes) / 1024.0 / p.streams},
            {"travel_ms_p50", percentile(latencies, 0.5)},
            {"travel_ms_p99", percentile(latencies, 0.99)}};
        fmt::print("{:<6} {:<13} {:>4} streams {:>8.0f} tokens/s {:>6.3f} cores {:>6.2f} us/token "
                   "p50 {:.3f} ms p99 {:.3f} ms\n",
                   p.name, p.path, p.streams, rate, cores, rate > 0 ? 1e6 * cores / rate : 0.0,
                   percentile(latencies, 0.5), percentile(latencies, 0.99));
        std::fflush(stdout);
        rows_.push_back(row);
    }

    /// Returns the recorded latencies and clears them, on the thread that records them.
    std::vector<float> take_latencies() {
        std::vector<float> out;
        std::atomic<bool> done{false};
        asio::post(client_context_, [&] {
            out.swap(clients_.latency_ms);
            clients_.latency_ms.reserve(1'000'000);
            done = true;
        });
        while (!done) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        return out;
    }

    bench_settings s_;
    asio::io_context engine_context_{1};
    asio::io_context client_context_{1};
    paced_engine engine_;
    stream_clients clients_;
    asio::executor_work_guard<asio::io_context::executor_type> engine_guard_;
    asio::executor_work_guard<asio::io_context::executor_type> client_guard_;
    std::string engine_address_;
    int next_stream_ = 0;
    json::array rows_;
};

} // namespace

int main(int argc, char** argv) {
    bench_settings values;
    settings s("stream-bench", "Cost of a token and a stream through one instance");
    s.address("platform", &values.platform, "Address of the platform stand-in", true);
    s.address("operators", &values.operators, "Operators' address of the instance", true);
    s.address("callers", &values.callers, "Callers' address of the instance", true);
    s.address("relay", &values.relay, "Address of the TCP relay", true);
    s.address("engine-listen", &values.engine_listen, "Address of the engine played here");
    s.text("announce-file", &values.announce_file, "File to write the engine's address to", true);
    s.number("daemon-pid", &values.daemon_pid, "Process of the instance", 0, INT32_MAX);
    s.number("relay-pid", &values.relay_pid, "Process of the relay", 0, INT32_MAX);
    s.duration_ms("phase-ms", &values.phase, "Length of each measurement", 100, 600'000);
    s.text("json", &values.json_file, "File to write the rows to");
    if (s.parse(argc, argv) != settings_outcome::run) {
        return s.exit_code();
    }
    bench run(values);
    return run.run();
}
