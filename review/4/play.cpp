// A gateway is killed while it carries resumable streams. Their consumers take them up at another
// gateway with Last-Event-Id.
#include "standins.h"

#include <csignal>

using namespace review;

namespace {

constexpr int replicas = 4;
constexpr int events = 40;

std::mutex mutex;

std::string chunk(const std::string& bytes) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

void serve(replica& r, channel& c, const message& request) {
    const std::string id = request.field("Attempt-Id");
    const std::string last = request.field("Last-Event-Id");
    const int from = last.empty() ? 0 : std::stoi(last);
    record(r.id() + " runs " + id + (last.empty() ? "" : " after event " + last));
    c.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Seal: seal." + id +
           "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = from + 1; i <= events; ++i) {
        pause(0.05);
        const std::string event =
            "id: " + std::to_string(i) + "\ndata: word" + std::to_string(i) + "\n\n";
        if (!c.send(chunk(event))) {
            c.ended = true;
            return;
        }
    }
    c.send("0\r\n\r\n");
}

/// The id of the last whole event in `body`.
int last_event(const std::string& body) {
    const std::size_t end = body.rfind("\n\n");
    const std::size_t at = end == std::string::npos ? end : body.rfind("id: ", end);
    return at == std::string::npos ? 0 : std::stoi(body.substr(at + 4));
}

} // namespace

int main(int, char** argv) {
    begin(argv[1]);
    const std::string folder = temporary_folder();
    const auto ips = gateway_ips(8);
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
    std::vector<std::unique_ptr<gateway>> gateways;
    for (std::size_t i = 0; i < ips.size(); ++i) {
        gateways.push_back(std::make_unique<gateway>(platform, ips, i, folder));
    }
    for (const auto& g : gateways) {
        if (!wait_until_serving(*g, "/label/x", "mail.example", "key-of-the-office", 30.0)) {
            finish(could_not_run, "a gateway doesn't serve");
        }
    }
    pause(4.0);
    record("requests begin");
    int requests = 0;
    int whole = 0;
    int denied = 0;
    int resumed = 0;
    std::vector<std::thread> consumers;
    // The first gateway carries the streams; the second one serves what comes after.
    const gateway& to_be_killed = *gateways[1];
    const gateway& other = *gateways[5];
    const double start = seconds();
    for (int k = 0; k < 24; ++k) {
        consumers.emplace_back([&, k] {
            pause(0.05 * k);
            const auto request = [&](const std::string& id, const std::string& more) {
                return consumer_request("POST", "/label/one", "mail.example", id,
                                        "key-of-the-office", 6000,
                                        "Model: m\r\nToken-Count: 200,160\r\n"
                                        "Prompt-Prefix: 5c1e07a2:150,91" +
                                            std::to_string(1000 + k) + ":50\r\n" + more,
                                        "letter");
            };
            for (int i = 0; seconds() < start + 12.0; ++i) {
                const std::string id = "s" + std::to_string(k) + "-" + std::to_string(i);
                const bool after = !to_be_killed.is_running();
                const reply r = ask((after ? other : to_be_killed).front(), request(id, ""), 8.0);
                {
                    const std::lock_guard lock(mutex);
                    ++requests;
                    whole += r.status == 200 && r.complete ? 1 : 0;
                }
                const int last = last_event(r.body);
                if (r.status != 200 || r.complete || last == 0) {
                    pause(0.1);
                    continue;
                }
                const std::string again = id + "-again";
                record(id + " broke off after event " + std::to_string(last) + "; " + again +
                       " goes on at another gateway");
                const reply rest =
                    ask(other.front(),
                        request(again, "Last-Event-Id: " + std::to_string(last) + "\r\n"), 8.0);
                const std::lock_guard lock(mutex);
                ++requests;
                whole += rest.status == 200 && rest.complete ? 1 : 0;
                resumed += 1;
                denied += rest.status == 400 || rest.status == 401 || rest.status == 404 ? 1 : 0;
                record((rest.status == 400 ? "DENIED: " : "") + again + " was answered " +
                       std::to_string(rest.status) + ": " +
                       replace_all(rest.body.substr(0, 80), "\n", "\\n"));
            }
        });
    }
    pause(5.0);
    if (trouble()) {
        record("SIGKILL to a gateway");
        to_be_killed.signal(SIGKILL);
    }
    for (std::thread& it : consumers) {
        it.join();
    }
    record("requests " + std::to_string(requests) + ", whole " + std::to_string(whole) +
           ", taken up " + std::to_string(resumed) + ", denied " + std::to_string(denied));
    if (whole < 50 || (trouble() && resumed == 0)) {
        finish(could_not_run, "too few streams were served");
    }
    const bool bad = denied > 5 + requests / 500;
    finish(bad ? broken : held, "proper requests that were denied: " + std::to_string(denied) +
                                    " of " + std::to_string(requests));
}
