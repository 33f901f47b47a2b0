// Streams without a length, which end with their channel, run to their end at a replica that is
// being emptied. The gateway that took them from their consumers gets SIGHUP.
#include "standins.h"

#include <csignal>

using namespace review;

namespace {

constexpr int replicas = 12;
/// A sixth of the replicas is emptied.
constexpr std::size_t emptied = 2;
constexpr int events = 24;

constexpr int prompt_tokens = 3'000;
/// As in the configuration below.
constexpr double bytes_per_token = 96'256.0;
constexpr double link_bits_per_s = 14e9;

/// A generation and what a move needs to know of it.
struct generation {
    std::atomic<int> made{0};
    std::atomic<bool> must_stop{false};
    std::atomic<bool> stopped{false};
    std::atomic<bool> over{false};
    int copied_tokens = 0;
};

std::mutex mutex;
std::map<std::string, std::string> ended_at;
std::map<std::string, std::shared_ptr<generation>> running;
std::map<std::string, std::string> zones;
std::map<std::string, std::unique_ptr<std::mutex>> links;
std::map<std::string, int> handles;
std::atomic<int> moved{0};

std::string text_after(const std::string& body, const std::string& name) {
    const std::size_t at = body.find("\"" + name + "\":\"");
    const std::size_t begin = at + name.size() + 4;
    return at == std::string::npos ? "" : body.substr(begin, body.find('"', begin) - begin);
}

/// Copies the memory of a generation: moves from one replica follow each other, and one between
/// zones takes twice as long. The last part stops the run and closes its stream without its end.
void move(replica& r, channel& c, const message& request) {
    const std::string id = text_after(request.body, "id");
    const std::string target = text_after(request.body, "target");
    const bool last = request.body.find("\"last\":true") != std::string::npos;
    std::shared_ptr<generation> run;
    std::mutex* link = nullptr;
    double factor = 1.0;
    {
        const std::lock_guard lock(mutex);
        const auto found = running.find(r.id() + " " + id);
        run = found == running.end() ? nullptr : found->second;
        link = links[r.id()].get();
        factor = zones[target] == zones[r.address()] ? 1.0 : 2.0;
    }
    bool copied = run && !run->over;
    if (copied && last) {
        run->must_stop = true;
        while (!run->stopped && !run->over) {
            pause(0.001);
        }
        copied = run->stopped.load();
    }
    if (copied) {
        const std::lock_guard turn(*link);
        const int tokens = prompt_tokens + 4 * run->made;
        pause(factor * (tokens - run->copied_tokens) * bytes_per_token * 8.0 / link_bits_per_s);
        run->copied_tokens = tokens;
        copied = last || !run->over;
    }
    if (!copied) {
        c.send("HTTP/1.1 404 X\r\nContent-Length: 2\r\n\r\n{}");
        return;
    }
    const std::string handle = "h-" + id;
    {
        const std::lock_guard lock(mutex);
        handles[handle] = 1;
    }
    const std::string body =
        "{\"handle\":\"" + handle + "\",\"created\":" + std::to_string(run->made) + "}";
    c.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body);
    if (last) {
        ++moved;
        record(r.id() + " has moved " + id + " after event " + std::to_string(run->made));
    }
}

/// Streams its events without a length and closes the channel after the last one.
void serve(replica& r, channel& c, const message& request) {
    if (request.target() == "/kv-move") {
        move(r, c, request);
        return;
    }
    if (request.target().starts_with("/kv-handle")) {
        c.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        return;
    }
    const std::string id = request.field("Attempt-Id");
    const std::string from = request.field("Kv-From");
    const std::string last = request.field("Last-Event-Id");
    const auto run = std::make_shared<generation>();
    run->made = last.empty() ? 0 : std::stoi(last);
    if (!from.empty()) {
        const std::lock_guard lock(mutex);
        const auto handle = handles.find(from.substr(from.find('/') + 1));
        if (handle == handles.end() || handle->second == 0) {
            c.send("HTTP/1.1 503 X\r\nAttempt-Id: " + id +
                   "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        handle->second = 0;
    }
    {
        const std::lock_guard lock(mutex);
        running[r.id() + " " + id] = run;
    }
    record(r.id() + " runs " + id + (from.empty() ? "" : " on from event " + last));
    c.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Seal: seal." + id +
           "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
    c.ended = true;
    while (run->made < events) {
        pause(0.05);
        if (run->must_stop) {
            run->stopped = true;
            c.shut_down();
            return;
        }
        const std::string number = std::to_string(run->made + 1);
        if (!c.send("id: " + number + "\ndata: word" + number + "\n\n")) {
            record(r.id() + " stops " + id + ": its channel was closed");
            run->over = true;
            return;
        }
        ++run->made;
    }
    run->over = true;
    record(r.id() + " has ended " + id + (r.draining ? ", draining" : ""));
    const std::lock_guard lock(mutex);
    ended_at[id] = r.id();
    c.shut_down();
}

} // namespace

int main(int, char** argv) {
    begin(argv[1]);
    const std::string folder = temporary_folder();
    const auto ips = gateway_ips(2);
    store platform("127.0.0.1");
    platform.write(
        "keyed.op", "config",
        R"({"version":3,"routes":[{"name":"letter","host":"mail.example","path_prefix":"/letter/",)"
        R"("kind":"streaming","timeout_ms":39000,"slo_ms":1800,"gap_slo_ms":180,"priority":1,)"
        R"("service":"reader","max_attempts":1,"anonymous":false,"sticky":true,)"
        R"("resumable":false}],)"
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
        zones[all.back()->address()] = "zone-" + std::to_string(i % 3);
        links[all.back()->id()] = std::make_unique<std::mutex>();
    }
    gateway first(platform, ips, 0, folder);
    gateway second(platform, ips, 1, folder);
    for (const gateway* g : {&first, &second}) {
        if (!wait_until_serving(*g, "/letter/x", "mail.example", "key-of-the-office")) {
            finish(could_not_run, "a gateway doesn't serve");
        }
    }
    pause(4.0);
    record("requests begin");
    int whole = 0;
    int broken_off = 0;
    int lost = 0;
    std::vector<std::thread> consumers;
    std::atomic<double> hup_at{1e9};
    const double start = seconds();
    for (int k = 0; k < 84; ++k) {
        consumers.emplace_back([&, k] {
            pause(0.02 * k);
            for (int i = 0; seconds() < start + 14.0; ++i) {
                const std::string id = "s" + std::to_string(k) + "-" + std::to_string(i);
                const double sent = seconds();
                const reply r = ask((k % 7 != 0 ? first : second).front(),
                                    consumer_request("POST", "/letter/one", "mail.example", id,
                                                     "key-of-the-office", 39000,
                                                     "Model: m\r\nToken-Count: 3000,96\r\n"
                                                     "Prompt-Prefix: 5c1e07a2:2950,91" +
                                                         std::to_string(1000 + k) + ":50\r\n",
                                                     "letter"),
                                    20.0);
                const double now = seconds();
                const std::lock_guard lock(mutex);
                whole += r.status == 200 && r.complete ? 1 : 0;
                if (r.status == 200 && !r.complete) {
                    ++broken_off;
                    const bool by_replica = !ended_at.contains(id);
                    // Sent up to config_apply_ms after the SIGHUP of its gateway, and cut after it.
                    const bool counts = k % 7 != 0 && sent <= hup_at + 2.0 && now >= hup_at;
                    lost += counts && !by_replica ? 1 : 0;
                    record((counts && !by_replica ? "LOST: " : "cut: ") + id + " sent at " +
                           std::to_string(sent) + (by_replica ? "" : ", ended by its replica ") +
                           (by_replica ? "" : ended_at[id]) + "; the consumer has " +
                           std::to_string(r.body.size()) + " bytes, the last event is there: " +
                           (r.body.find("data: word" + std::to_string(events) + "\n\n") !=
                                    std::string::npos
                                ? "yes"
                                : "no") +
                           ", and the channel ends without the end of the body");
                }
            }
        });
    }
    pause(4.0);
    if (trouble()) {
        for (std::size_t i = 0; i < emptied; ++i) {
            record("replica " + all[i]->id() + " is being emptied: it reports draining");
            all[i]->announce("draining");
        }
    }
    pause(0.2);
    record("SIGHUP to the first gateway, whose settings have changed");
    first.change_settings("bounds.retry_after_s=4.8");
    hup_at = seconds();
    first.signal(SIGHUP);
    if (trouble()) {
        pause(2.5);
        for (std::size_t i = 0; i < emptied; ++i) {
            all[i]->forget();
        }
        record("the entries of the emptied replicas are removed");
    }
    for (std::thread& it : consumers) {
        it.join();
    }
    record("whole streams " + std::to_string(whole) + ", broken off " + std::to_string(broken_off) +
           ", moved " + std::to_string(moved));
    if (whole < 100) {
        finish(could_not_run, "too few streams were served");
    }
    finish(lost > 0 ? broken : held, "complete streams that were cut: " + std::to_string(lost));
}
