// A second answer of a refusal arrives late, where the answer of the next request is due.
#include "standins.h"

using namespace review;

namespace {

constexpr int slots = 2;
constexpr int queue = 1;
/// Of the answers of the faulty replica, this share has a second answer.
constexpr double doubled_share = 0.03;

std::mutex mutex;
std::map<std::string, std::vector<std::string>> runs;
std::map<std::string, int> answered;
int answers = 0;
int doubled = 0;

/// A second answer that a channel owes, and the answer after which it comes.
struct owed_answer {
    std::string bytes;
};

/// Works on a request like a sound replica: refuses it when the slots and the queue are full.
void serve(replica& r, channel& c, const message& request, bool faulty) {
    static std::mutex owed_mutex;
    static std::map<channel*, std::string> owed;
    const std::string id = request.field("Attempt-Id");
    if (faulty) {
        const std::lock_guard lock(owed_mutex);
        const auto found = owed.find(&c);
        if (found != owed.end()) {
            record(r.id() + " sends the late second answer of " +
                   found->second.substr(found->second.find("Attempt-Id")).substr(12, 8) +
                   " on the channel of " + id);
            c.send(found->second);
            owed.erase(found);
        }
    }
    if (++r.running > slots + queue) {
        --r.running;
        const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + id +
                                    "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        c.send(refusal);
        const std::lock_guard lock(mutex);
        ++answers;
        if (faulty && trouble() && doubled + 1 <= doubled_share * answers) {
            ++doubled;
            const std::lock_guard owed_lock(owed_mutex);
            owed[&c] = refusal;
        }
        return;
    }
    {
        const std::lock_guard lock(mutex);
        runs[id].push_back(r.id());
    }
    record(r.id() + " runs " + id);
    pause(0.04);
    --r.running;
    c.send(sealed(200, id, "done by " + r.id()));
    const std::lock_guard lock(mutex);
    ++answers;
}

} // namespace

int main(int, char** argv) {
    begin(argv[1]);
    const std::string folder = temporary_folder();
    const auto ips = gateway_ips(2);
    store platform("127.0.0.1");
    platform.write(
        "keyed.op", "config",
        R"({"version":3,"routes":[{"name":"orders","host":"desk.example","path_prefix":"/orders/",)"
        R"("kind":"non_idempotent","timeout_ms":3000,"slo_ms":300,"priority":2,"service":"desk",)"
        R"("max_attempts":2,"anonymous":false,"sticky":false},{"name":"probe",)"
        R"("host":"desk.example","path_prefix":"/probe/","kind":"idempotent","timeout_ms":3000,)"
        R"("slo_ms":300,"priority":2,"service":"desk","max_attempts":2,"anonymous":false}],)"
        R"("services":[{"name":"desk","health_path":"/health","max_conns":110,"protocol":"h1",)"
        R"("tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
        R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"office",)"
        R"("api_keys":["key-of-the-office"]}]})");
    replica faulty(platform, "127.0.0.1", "i-1", "desk", "zone-0", slots,
                   [](replica& r, channel& c, const message& m) { serve(r, c, m, true); });
    replica sound(platform, "127.0.0.1", "i-2", "desk", "zone-0", slots,
                  [](replica& r, channel& c, const message& m) { serve(r, c, m, false); });
    gateway first(platform, ips, 0, folder);
    gateway second(platform, ips, 1, folder);
    for (const gateway* g : {&first, &second}) {
        if (!wait_until_serving(*g, "/probe/x", "desk.example", "key-of-the-office")) {
            finish(could_not_run, "a gateway doesn't serve");
        }
    }
    record("requests begin");
    std::vector<std::thread> consumers;
    const double until = seconds() + 25.0;
    for (int k = 0; k < 9; ++k) {
        consumers.emplace_back([&, k] {
            std::unique_ptr<channel> c;
            for (int i = 0; seconds() < until; ++i) {
                if (!c) {
                    c = channel::connect((k % 3 == 0 ? second : first).front());
                }
                const std::string id = "r" + std::to_string(k) + "-" + std::to_string(1000 + i);
                const reply r = ask(*c,
                                    consumer_request("POST", "/orders/new", "desk.example", id,
                                                     "key-of-the-office", 1500, "", "order"),
                                    3.0);
                {
                    const std::lock_guard lock(mutex);
                    answered[id] = r.status;
                }
                if (!r.complete || r.head.field("Connection") == "close") {
                    c.reset();
                }
                pause(r.status == 200 ? 0.02 : 0.05);
            }
        });
    }
    for (std::thread& it : consumers) {
        it.join();
    }
    pause(0.5);
    const std::lock_guard lock(mutex);
    int twice = 0;
    int refused_and_run = 0;
    std::map<int, int> statuses;
    for (const auto& [id, status] : answered) {
        ++statuses[status];
        const auto found = runs.find(id);
        const std::size_t count = found == runs.end() ? 0 : found->second.size();
        if (count > 1) {
            ++twice;
            record("TWICE: " + id + " ran at " + found->second[0] + " and " + found->second[1] +
                   ", answered " + std::to_string(status));
        }
        const bool promise = status == 429 || status == 503 || status == 408 || status == 421;
        if (promise && count > 0) {
            ++refused_and_run;
            record("REFUSED: " + id + " ran at " + found->second[0] + " and was answered " +
                   std::to_string(status));
        }
    }
    for (const auto& [status, count] : statuses) {
        record("status " + std::to_string(status) + ": " + std::to_string(count));
    }
    record("answers of replicas " + std::to_string(answers) + ", with a second answer " +
           std::to_string(doubled));
    if (statuses[200] < 200 || (trouble() && doubled == 0)) {
        finish(could_not_run, "too few requests were served, or no answer was doubled");
    }
    const bool bad = twice > 0 || refused_and_run > 0;
    finish(bad ? broken : held, "ran twice: " + std::to_string(twice) +
                                    ", refused and run: " + std::to_string(refused_and_run));
}
