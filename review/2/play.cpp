// More consumers than usual send long bodies at once. The platform ends a process that exceeds its
// memory.
#include "standins.h"

#include <csignal>
#include <fstream>

using namespace review;

namespace {

/// As in the settings: limits.memory_mb and limits.max_body_bytes.
constexpr long memory_kb = 110L * 1024;
constexpr std::size_t body_bytes = 4'000'000;
constexpr int usual_consumers = 6;
/// 1.7 times the usual number, as on the users' days.
constexpr int burst_consumers = 10;

std::mutex mutex;
std::map<std::string, bool> ran;

long memory_of(pid_t pid) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("VmRSS:")) {
            return std::stol(line.substr(6));
        }
    }
    return 0;
}

void serve(replica& r, channel& c, const message& request) {
    const std::string id = request.field("Attempt-Id");
    {
        const std::lock_guard lock(mutex);
        ran[id] = true;
    }
    if (request.body.size() > 1000) {
        record(r.id() + " runs " + id);
        pause(1.0);
    }
    c.send(sealed(200, id, "done"));
}

} // namespace

int main(int, char** argv) {
    begin(argv[1]);
    const std::string folder = temporary_folder();
    const auto ips = gateway_ips(1);
    store platform("127.0.0.1");
    platform.write(
        "keyed.op", "config",
        R"({"version":3,"routes":[{"name":"scans","host":"desk.example","path_prefix":"/scans/",)"
        R"("kind":"non_idempotent","timeout_ms":6000,"slo_ms":1500,"priority":2,"service":"desk",)"
        R"("max_attempts":1,"anonymous":false,"sticky":false},{"name":"probe",)"
        R"("host":"desk.example","path_prefix":"/probe/","kind":"idempotent","timeout_ms":3000,)"
        R"("slo_ms":300,"priority":2,"service":"desk","max_attempts":2,"anonymous":false}],)"
        R"("services":[{"name":"desk","health_path":"/health","max_conns":110,"protocol":"h1",)"
        R"("tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
        R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"office",)"
        R"("api_keys":["key-of-the-office"]}]})");
    replica first(platform, "127.0.0.1", "i-1", "desk", "zone-0", 24, serve);
    replica second(platform, "127.0.0.1", "i-2", "desk", "zone-1", 24, serve);
    gateway g(platform, ips, 0, folder);
    if (!wait_until_serving(g, "/probe/x", "desk.example", "key-of-the-office")) {
        finish(could_not_run, "the gateway doesn't serve");
    }
    std::atomic<bool> ended{false};
    std::atomic<long> peak{0};
    std::thread([&] {
        while (!ended) {
            const long now = memory_of(g.pid());
            peak = std::max(peak.load(), now);
            if (now > memory_kb) {
                record("the platform ends the process: it holds " + std::to_string(now) +
                       " KB of " + std::to_string(memory_kb));
                ended = true;
                g.signal(SIGKILL);
            }
            pause(0.002);
        }
    }).detach();
    record("requests begin");
    std::map<int, int> statuses;
    int lost = 0;
    const double start = seconds();
    const std::string body(body_bytes, 'x');
    const auto consume = [&](int k, double from, double until) {
        pause(std::max(0.0, start + from - seconds()));
        std::unique_ptr<channel> c;
        int on_this_channel = 0;
        for (int i = 0; seconds() < start + until && !ended; ++i) {
            if (!c) {
                c = channel::connect(g.front());
                on_this_channel = 0;
            }
            if (!c) {
                return;
            }
            const std::string id = "b" + std::to_string(k) + "-" + std::to_string(i);
            // A short request first, so that the channel is a kept one.
            const bool is_long = on_this_channel++ > 0;
            const reply r = is_long ? ask(*c,
                                          consumer_request("POST", "/scans/new", "desk.example", id,
                                                           "key-of-the-office", 5000, "", body),
                                          7.0)
                                    : ask(*c,
                                          consumer_request("GET", "/probe/x", "desk.example", id,
                                                           "key-of-the-office", 1500),
                                          3.0);
            const std::lock_guard lock(mutex);
            ++statuses[r.status];
            if (is_long && r.status == 0 && ran.contains(id)) {
                ++lost;
                record("LOST: " + id +
                       " was passed on, and its channel was closed without an answer");
            }
            if (!r.complete || r.head.field("Connection") == "close") {
                c.reset();
            }
        }
    };
    std::vector<std::thread> consumers;
    for (int k = 0; k < usual_consumers; ++k) {
        consumers.emplace_back(consume, k, 0.05 * k, 24.0);
    }
    for (int k = usual_consumers; trouble() && k < burst_consumers; ++k) {
        consumers.emplace_back(consume, k, 8.0 + 0.05 * k, 11.0);
    }
    for (std::thread& it : consumers) {
        it.join();
    }
    const std::lock_guard lock(mutex);
    for (const auto& [status, count] : statuses) {
        record("status " + std::to_string(status) + ": " + std::to_string(count));
    }
    record("the most that the process held: " + std::to_string(peak) + " KB");
    if (statuses[200] < 20) {
        finish(could_not_run, "too few requests were served");
    }
    finish(lost > 3 ? broken : held,
           "requests that were passed on and lost: " + std::to_string(lost) + ", peak memory " +
               std::to_string(peak) + " KB");
}
