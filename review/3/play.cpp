// A replica goes silent in the middle of a resumable stream, and the replica at which the system
// takes the stream up answers with a failure of its own.
#include "standins.h"

using namespace review;

namespace {

constexpr int replicas = 7;
constexpr int events = 16;
constexpr int consumers_count = 60;
/// One replica of seven at a time is dark, for as long as on the users' days.
constexpr int dark_spells = 6;
constexpr double dark_s = 4.0;

std::mutex mutex;
/// The replica that went dark, by its index; -1 as long as none did.
std::atomic<int> dark{-1};
std::map<std::string, int> requests;

std::string event(int id) {
    return "id: " + std::to_string(id) + "\ndata: word" + std::to_string(id) + "\n\n";
}

std::string chunk(const std::string& bytes) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

int index_of(const replica& r) {
    return std::stoi(r.id().substr(2));
}

/// A sound replica streams its events. One in seven of the requests of each replica fails with the
/// replica's own status, with or without the disruption.
void serve(replica& r, channel& c, const message& request) {
    const std::string id = request.field("Attempt-Id");
    const std::string last = request.field("Last-Event-Id");
    const int from = last.empty() ? 0 : std::stoi(last);
    int number = 0;
    {
        const std::lock_guard lock(mutex);
        number = ++requests[r.id()];
    }
    const bool fails = number % 7 == 0;
    const bool is_dark = dark == index_of(r);
    record(r.id() + " runs " + id + (last.empty() ? "" : " after event " + last));
    if (is_dark) {
        while (!c.is_closed()) {
            pause(0.01);
        }
        c.ended = true;
        return;
    }
    if (fails && number % 2 == 0) {
        record(r.id() + " answers " + id + " with its own 409");
        c.send(sealed(409, id, "{\"error\":\"the letter is locked\"}",
                      "Content-Type: application/json\r\n"));
        return;
    }
    if (fails) {
        record(r.id() + " answers " + id + " with its own 500 and a long report");
        c.send(sealed(500, id, std::string(300'000, 'r'), "Content-Type: text/plain\r\n"));
        return;
    }
    c.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Seal: seal." + id +
           "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = from + 1; i <= events; ++i) {
        pause(0.05);
        if (dark == index_of(r)) {
            record(r.id() + " is silent in " + id + " after event " + std::to_string(i - 1));
            while (!c.is_closed()) {
                pause(0.01);
            }
            c.ended = true;
            return;
        }
        if (!c.send(chunk(event(i)))) {
            c.ended = true;
            return;
        }
    }
    c.send("0\r\n\r\n");
}

} // namespace

int main(int, char** argv) {
    begin(argv[1]);
    const std::string folder = temporary_folder();
    const auto ips = gateway_ips(2);
    store platform("127.0.0.1");
    platform.write(
        "keyed.op", "config",
        R"({"version":3,"routes":[{"name":"label","host":"mail.example","path_prefix":"/label/",)"
        R"("kind":"streaming","timeout_ms":6000,"slo_ms":1500,"gap_slo_ms":180,"priority":0,)"
        R"("service":"reader","max_attempts":2,"anonymous":false,"sticky":true,"resumable":true}],)"
        R"("services":[{"name":"reader","health_path":"/health","max_conns":222,"protocol":"h1",)"
        R"("tls":false,"engine":{"slots":24,"kv_tokens":34403,"kv_bytes":96256,)"
        R"("link_mbps":14000.0,"moves":true,"backups":true,"stride":4,"most":12,"pin_ms":4000.0,)"
        R"("hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
        R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"office",)"
        R"("api_keys":["key-of-the-office"]}]})");
    std::vector<std::unique_ptr<replica>> all;
    for (int i = 0; i < replicas; ++i) {
        all.push_back(std::make_unique<replica>(platform, "127.0.0.1", "i-" + std::to_string(i),
                                                "reader", "zone-" + std::to_string(i % 3), 24,
                                                serve));
    }
    gateway first(platform, ips, 0, folder);
    gateway second(platform, ips, 1, folder);
    for (const gateway* g : {&first, &second}) {
        if (!wait_until_serving(*g, "/label/x", "mail.example", "key-of-the-office")) {
            finish(could_not_run, "a gateway doesn't serve");
        }
    }
    pause(1.0);
    record("requests begin");
    std::map<int, int> statuses;
    std::map<std::string, int> by_status;
    int whole = 0;
    int broken_off = 0;
    int bad = 0;
    std::vector<std::thread> consumers;
    const double start = seconds();
    for (int k = 0; k < consumers_count; ++k) {
        consumers.emplace_back([&, k] {
            pause(0.01 * k);
            for (int i = 0; seconds() < start + 3.0 + dark_spells * (dark_s + 2.0); ++i) {
                const std::string id = "s" + std::to_string(k) + "-" + std::to_string(i);
                const reply r = ask((k % 2 == 0 ? first : second).front(),
                                    consumer_request("POST", "/label/one", "mail.example", id,
                                                     "key-of-the-office", 6000,
                                                     "Model: m\r\nToken-Count: 200,32\r\n"
                                                     "Prompt-Prefix: 5c1e07a2:150,91" +
                                                         std::to_string(1000 + k) + ":50\r\n",
                                                     "letter"),
                                    8.0);
                const std::lock_guard lock(mutex);
                ++statuses[r.status];
                if (r.malformed) {
                    ++by_status[r.malformed_bytes.substr(0, 12)];
                }
                whole += r.status == 200 && r.complete ? 1 : 0;
                broken_off += r.status == 200 && !r.complete && !r.malformed ? 1 : 0;
                if (r.malformed) {
                    ++bad;
                    record("MIXED: the consumer of " + id + " got " + std::to_string(r.status) +
                           ", whole events up to ..." +
                           replace_all(r.body.substr(r.body.size() > 20 ? r.body.size() - 20 : 0),
                                       "\n", "\\n") +
                           " and then, where a chunk is due: " +
                           replace_all(replace_all(r.malformed_bytes, "\r", "\\r"), "\n", "\\n"));
                }
            }
        });
    }
    pause(3.0);
    for (int i = 0; trouble() && i < dark_spells; ++i) {
        record("replica i-" + std::to_string(i) + " goes dark");
        dark = i;
        pause(dark_s);
        dark = -1;
        record("replica i-" + std::to_string(i) + " is back");
        pause(2.0);
    }
    for (std::thread& it : consumers) {
        it.join();
    }
    for (const auto& [status, count] : statuses) {
        record("status " + std::to_string(status) + ": " + std::to_string(count));
    }
    for (const auto& [status, count] : by_status) {
        record("in open streams, " + status + ": " + std::to_string(count));
    }
    record("whole streams " + std::to_string(whole) + ", broken off " + std::to_string(broken_off));
    if (whole < 100) {
        finish(could_not_run, "too few streams were served");
    }
    finish(bad > 0 ? broken : held,
           "streams with bytes that are no answer: " + std::to_string(bad));
}
