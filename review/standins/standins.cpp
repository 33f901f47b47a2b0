#include "standins.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using steady = std::chrono::steady_clock;

const steady::time_point began = steady::now();
std::mutex record_mutex;
std::ofstream record_file;
std::mutex processes_mutex;
std::vector<pid_t> processes;
std::string folder_to_remove;

void end_processes() {
    const std::lock_guard lock(processes_mutex);
    for (const pid_t pid : processes) {
        ::kill(pid, SIGKILL);
    }
    for (const pid_t pid : processes) {
        ::waitpid(pid, nullptr, 0);
    }
    processes.clear();
    if (!folder_to_remove.empty() && std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(folder_to_remove, ignored);
    }
}

std::pair<std::string, int> split_address(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    return {address.substr(0, colon), std::stoi(address.substr(colon + 1))};
}

sockaddr_in to_sockaddr(const std::string& ip, int port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

int listen_on(const std::string& ip, int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in to = to_sockaddr(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 ||
        ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

std::string big_endian(std::uint64_t value, int bytes) {
    std::string out;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        out += static_cast<char>(value >> shift & 0xff);
    }
    return out;
}

std::string base64(const std::string& text) {
    static const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        const std::size_t count = std::min<std::size_t>(3, text.size() - i);
        for (std::size_t j = 0; j < 3; ++j) {
            bits = bits << 8 | (j < count ? static_cast<unsigned char>(text[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += j <= count ? letters[bits >> (18 - 6 * j) & 63] : '=';
        }
    }
    return out;
}

std::string parameter(const std::string& target, const std::string& name) {
    const std::size_t query = target.find('?');
    std::string rest = query == std::string::npos ? "" : target.substr(query + 1);
    std::stringstream pairs(rest);
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
        if (pair.starts_with(name + "=")) {
            return pair.substr(name.size() + 1);
        }
    }
    return {};
}

std::string response(int status, const std::string& body,
                     const std::string& type = "application/json") {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: " + type +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool parse_head(const std::string& text, message& out) {
    std::stringstream lines(text);
    std::string line;
    bool first = true;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (first) {
            out.start_line = line;
            first = false;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::string value = line.substr(colon + 1);
            value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
            out.head.emplace_back(line.substr(0, colon), value);
        }
    }
    return !out.start_line.empty();
}

/// Decodes the chunks in `text`; sets `complete` or `malformed` in `out`.
void decode_chunks(const std::string& text, reply& out) {
    std::size_t at = 0;
    out.body.clear();
    while (true) {
        const std::size_t end = text.find("\r\n", at);
        const std::string size_text = text.substr(at, end == std::string::npos ? end : end - at);
        const bool digits =
            size_text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
        if (!digits || (end != std::string::npos && size_text.empty())) {
            out.malformed = true;
            out.malformed_bytes = text.substr(at, 120);
            return;
        }
        if (end == std::string::npos) {
            return;
        }
        const std::size_t size = std::stoul(size_text, nullptr, 16);
        if (size == 0) {
            out.complete = text.size() >= end + 4;
            return;
        }
        if (text.size() < end + 2 + size + 2) {
            out.body += text.substr(end + 2, size);
            return;
        }
        out.body += text.substr(end + 2, size);
        at = end + 2 + size + 2;
    }
}

} // namespace

double seconds() {
    return std::chrono::duration<double>(steady::now() - began).count();
}

void pause(double for_seconds) {
    std::this_thread::sleep_for(std::chrono::duration<double>(for_seconds));
}

bool trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

void record(const std::string& line) {
    const std::lock_guard lock(record_mutex);
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f ", seconds());
    record_file << stamp << line << "\n";
}

void finish(int code, const std::string& why) {
    record("result " + std::to_string(code) + ": " + why);
    {
        const std::lock_guard lock(record_mutex);
        record_file.flush();
    }
    std::printf("%s\n", why.c_str());
    std::fflush(stdout);
    end_processes();
    std::_Exit(code);
}

void begin(const std::string& folder, unsigned limit_s) {
    record_file.open(folder + "/record.txt", std::ios::trunc);
    std::signal(SIGPIPE, SIG_IGN);
    std::thread([limit_s] {
        pause(limit_s);
        finish(could_not_run, "the time of the script is over");
    }).detach();
    record(trouble() ? "with the disruption" : "without the disruption");
}

std::string message::field(std::string_view name) const {
    for (const auto& [key, value] : head) {
        if (key.size() == name.size() && ::strncasecmp(key.data(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return {};
}

std::string message::method() const {
    return start_line.substr(0, start_line.find(' '));
}

std::string message::target() const {
    const std::size_t first = start_line.find(' ');
    const std::size_t second = start_line.find(' ', first + 1);
    return start_line.substr(first + 1, second - first - 1);
}

int message::status() const {
    const std::size_t first = start_line.find(' ');
    return first == std::string::npos ? 0 : std::atoi(start_line.c_str() + first);
}

channel::~channel() {
    close();
}

std::unique_ptr<channel> channel::connect(const std::string& address, double timeout_s) {
    const auto [ip, port] = split_address(address);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in to = to_sockaddr(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 &&
        errno != EINPROGRESS) {
        ::close(fd);
        return nullptr;
    }
    pollfd wait{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&wait, 1, static_cast<int>(timeout_s * 1000)) != 1 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        ::close(fd);
        return nullptr;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_unique<channel>(fd);
}

bool channel::send(std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t count = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

bool channel::receive(double timeout_s) {
    pollfd wait{fd_, POLLIN, 0};
    if (::poll(&wait, 1, std::max(0, static_cast<int>(timeout_s * 1000))) != 1) {
        return false;
    }
    char bytes[16 * 1024];
    const ssize_t count = ::recv(fd_, bytes, sizeof bytes, 0);
    if (count <= 0) {
        ended = true;
        was_reset = count < 0;
        return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool channel::read_request(message& out) {
    out = {};
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!receive(120.0)) {
            return false;
        }
    }
    parse_head(buffer.substr(0, end), out);
    const std::string length = out.field("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < end + 4 + size) {
        if (!receive(120.0)) {
            return false;
        }
    }
    out.body = buffer.substr(end + 4, size);
    buffer.erase(0, end + 4 + size);
    return true;
}

bool channel::is_closed() const {
    char byte = 0;
    const ssize_t count = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void channel::close() {
    const int fd = fd_.exchange(-1);
    if (fd >= 0) {
        ::close(fd);
    }
}

void channel::shut_down() {
    ::shutdown(fd_, SHUT_WR);
}

void channel::interrupt() {
    ::shutdown(fd_, SHUT_RDWR);
}

listener::listener(const std::string& ip, server serve) : serve_(std::move(serve)) {
    fd_ = listen_on(ip, 0);
    if (fd_ < 0) {
        finish(could_not_run, "no port on " + ip);
    }
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &size);
    address_ = ip + ":" + std::to_string(ntohs(bound.sin_port));
    thread_ = std::thread([this] { accept_loop(); });
    thread_.detach();
}

listener::~listener() = default;

void listener::stop() {
    const int fd = fd_.exchange(-1);
    ::shutdown(fd, SHUT_RDWR);
    ::close(fd);
}

void listener::accept_loop() {
    while (true) {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, fd] {
            channel c(fd);
            serve_(c);
        }).detach();
    }
}

store::store(const std::string& ip) : listener_(ip, [this](channel& c) { serve(c); }) {}

void store::write(const std::string& topic, const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    topic_state& t = topics_[topic];
    t.records.emplace_back(key, value);
    if (value.empty()) {
        t.newest.erase(key);
    } else {
        t.newest[key] = value;
    }
    changed_.notify_all();
}

void store::serve(channel& c) {
    message request;
    while (c.read_request(request)) {
        if (!c.send(answer(request))) {
            return;
        }
    }
}

std::string store::answer(const message& request) {
    const std::string target = request.target();
    const std::string name = parameter(target, "topic");
    std::unique_lock lock(mutex_);
    topic_state& t = topics_[name];
    if (target.starts_with("/log-newest")) {
        std::string items;
        for (const auto& [key, value] : t.newest) {
            items += (items.empty() ? "" : ",");
            items += "{\"key\":\"" + key + "\",\"value\":\"" + base64(value) + "\",\"offset\":0}";
        }
        return response(200, "{\"items\":[" + items + "],\"more_pages\":false,\"end\":" +
                                 std::to_string(t.records.size()) + "}");
    }
    if (target.starts_with("/log-read")) {
        const std::size_t from = std::stoul("0" + parameter(target, "from"));
        const auto wait = std::chrono::milliseconds(std::stoul("0" + parameter(target, "wait_ms")));
        changed_.wait_for(lock, wait, [&] { return t.records.size() > from; });
        std::string body = big_endian(t.records.size(), 8) + big_endian(0, 8);
        for (std::size_t i = from; i < t.records.size(); ++i) {
            const auto& [key, value] = t.records[i];
            body += big_endian(1 + key.size() + value.size(), 4) + big_endian(key.size(), 1) + key +
                    value;
        }
        return response(200, body, "application/octet-stream");
    }
    if (target.starts_with("/log-append") && name != "keyed.op" && name != "keyed.servers") {
        t.records.emplace_back("", "");
        return response(200, "{\"offset\":" + std::to_string(t.records.size() - 1) +
                                 ",\"end\":" + std::to_string(t.records.size()) + "}");
    }
    return response(403, "{}");
}

replica::replica(store& platform, const std::string& ip, std::string id, std::string service,
                 std::string zone, int slots, handler run)
    : platform_(platform), id_(std::move(id)), service_(std::move(service)), zone_(std::move(zone)),
      slots_(slots), run_(std::move(run)), listener_(ip, [this](channel& c) { serve(c); }) {
    announce("ready");
}

void replica::announce(const std::string& state, int cold_left_ms) {
    draining = state == "draining";
    platform_.write(
        "keyed.servers", id_,
        "{\"service\":\"" + service_ + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone_ +
            "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots_) + ",\"state\":\"" + state +
            "\",\"cold_left_ms\":" + std::to_string(cold_left_ms) +
            ",\"stage\":\"unified\",\"models\":[{\"name\":\"m\",\"version\":1,"
            "\"adapters\":[]}],\"sequence\":" +
            std::to_string(++sequence_) + "}");
}

void replica::forget() {
    platform_.write("keyed.servers", id_, "");
}

void replica::serve(channel& c) {
    message request;
    while (c.read_request(request)) {
        const std::string target = request.target();
        const std::string expected = request.field("Expected-Instance");
        if (target == "/health") {
            c.send("HTTP/1.1 " + std::string(draining ? "503 X" : "200 OK") +
                   "\r\nReplica-Id: " + id_ + "\r\nContent-Length: 0\r\n\r\n");
        } else if (target == "/report") {
            c.send(response(200, std::string("{\"stage\":\"unified\",\"models\":[],\"busy\":false,"
                                             "\"sequence\":1,\"queued\":0,\"active\":0,\"kv_used\":"
                                             "0,\"kv_total\":90000,\"handles\":0,\"state\":\"") +
                                     (draining ? "draining" : "ready") + "\"}"));
        } else if (!expected.empty() && expected != id_) {
            c.send("HTTP/1.1 421 X\r\nReplica-Id: " + id_ + "\r\nContent-Length: 0\r\n\r\n");
        } else {
            run_(*this, c, request);
        }
        if (c.ended) {
            return;
        }
    }
}

gateway::gateway(const store& platform, const std::vector<std::string>& ips, std::size_t index,
                 const std::string& folder, const std::string& more_settings)
    : ip_(ips.at(index)) {
    // The ports are the same on all machines; the first gateway finds free ones.
    static const int port = [&] {
        for (int from = 20'000 + ::getpid() % 2'000 * 10; from < 60'000; from += 10) {
            bool free = true;
            for (const std::string& ip : ips) {
                for (int i = 0; free && i < 4; ++i) {
                    const int fd = listen_on(ip, from + i);
                    free = fd >= 0;
                    if (free) {
                        ::close(fd);
                    }
                }
            }
            if (free) {
                return from;
            }
        }
        finish(could_not_run, "no free ports");
    }();
    port_ = port;
    std::string seeds;
    for (std::size_t i = 0; i < ips.size() && i < 3; ++i) {
        seeds += (i == 0 ? "" : ",") + ips[i] + ":" + std::to_string(port + 2);
    }
    const std::string name = folder + "/" + std::to_string(index);
    const std::string zone = "zone-" + std::to_string(index % 3);
    settings_ = name + ".conf";
    std::ofstream(settings_)
        << "node=edge-" << zone << "-" << index << "\nrole=gateway\nnode_class=edge\n"
        << "serves=edge,control_plane,registry\nip=" << ip_ << "\nzone=" << zone
        << "\nregion=r\nzones.zone-0=r\nzones.zone-1=r\nzones.zone-2=r\nlisten.front=" << ip_ << ":"
        << port << "\nlisten.ready=" << ip_ << ":" << port + 1 << "\nlisten.control=" << ip_ << ":"
        << port + 2 << "\nlisten.directory=" << ip_ << ":" << port + 3 << "\nseeds=" << seeds
        << "\nbootstrap=true\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=110\n"
        << "limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\n"
        << "entry=registry\nheartbeat_ms=1200\n"
        << "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n"
        << "tolerate.machines=1\nbounds.seed_lag_s=3\nbounds.addr_reuse_s=2\n"
        << "bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.sync_s=4\nbounds.drain_ms=2000\n"
        << "bounds.grace_s=8\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n"
        << "bounds.rollback_slack_ms=250\nbounds.max_skew_ms=5000\nbounds.strict_revoke=false\n"
        << "bounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n"
        << "bounds.retry_budget_slack=56\nbounds.recovery_s=12\nbounds.pass_ms=120\n"
        << "bounds.retry_after_s=4.7\nbounds.ttl_max_s=5\nplatform.address=" << platform.address()
        << "\nplatform.form=log\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n"
        << "platform.parts=8\nplatform.append_ms=4.0\n"
        << more_settings;
    const std::string settings = "BAMBOOSTREAM_SETTINGS=" + settings_;
    const std::string log = name + ".log";
    const std::string metrics = ip_ + ":9464";
    const char* program = "target/bin/bamboostream-gateway";
    if (::access(program, X_OK) != 0) {
        finish(could_not_run, std::string(program) + " is missing: build as the deploy file says");
    }
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) {
            std::_Exit(2);
        }
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        const char* arguments[] = {program,         "--log-format", "json", "--metrics-listen",
                                   metrics.c_str(), nullptr};
        const char* environment[] = {settings.c_str(), "PATH=/usr/bin:/bin", nullptr};
        ::execve(program, const_cast<char**>(arguments), const_cast<char**>(environment));
        std::_Exit(2);
    }
    pid_ = pid;
    const std::lock_guard lock(processes_mutex);
    processes.push_back(pid);
}

void gateway::change_settings(const std::string& line) const {
    std::ofstream(settings_, std::ios::app) << line << "\n";
}

void gateway::signal(int number) const {
    ::kill(pid_, number);
}

bool gateway::is_running() const {
    int status = 0;
    return ::waitpid(pid_, &status, WNOHANG) == 0;
}

std::vector<std::string> gateway_ips(std::size_t count) {
    const int pid = ::getpid();
    std::vector<std::string> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back("127." + std::to_string(20 + pid / 250 % 200) + "." +
                      std::to_string(1 + pid % 250) + "." + std::to_string(10 + i));
    }
    return out;
}

std::string temporary_folder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        finish(could_not_run, "no temporary folder");
    }
    folder_to_remove = pattern;
    if (std::getenv("KEEP_LOGS") != nullptr) {
        std::printf("logs in %s\n", pattern.c_str());
    }
    return pattern;
}

reply ask(channel& c, const std::string& request, double timeout_s, bool head_method) {
    reply out;
    const double until = seconds() + timeout_s;
    if (!c.send(request)) {
        return out;
    }
    std::size_t end = 0;
    while ((end = c.buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!c.receive(until - seconds())) {
            return out;
        }
    }
    parse_head(c.buffer.substr(0, end), out.head);
    out.status = out.head.status();
    const std::string length = out.head.field("Content-Length");
    std::string bytes = c.buffer.substr(end + 4);
    c.buffer.clear();
    while (!head_method) {
        if (!length.empty()) {
            out.body = bytes;
            out.complete = bytes.size() >= std::stoul(length);
        } else {
            decode_chunks(bytes, out);
        }
        if (out.complete || out.malformed || !c.receive(until - seconds())) {
            break;
        }
        bytes += c.buffer;
        c.buffer.clear();
    }
    return out;
}

reply ask(const std::string& address, const std::string& request, double timeout_s) {
    const auto c = channel::connect(address);
    return c ? ask(*c, request, timeout_s) : reply{};
}

std::string consumer_request(const std::string& method, const std::string& target,
                             const std::string& host, const std::string& attempt,
                             const std::string& key, int deadline_ms,
                             const std::string& more_fields, const std::string& body) {
    std::string out = method + " " + target + " HTTP/1.1\r\nHost: " + host +
                      "\r\nAttempt-Id: " + attempt +
                      "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
                      "\r\nAuthorization: Bearer " + key + "\r\n" + more_fields;
    if (!body.empty()) {
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return out + "\r\n" + body;
}

bool wait_until_serving(const gateway& g, const std::string& target, const std::string& host,
                        const std::string& key, double limit_s) {
    const double until = seconds() + limit_s;
    for (int i = 0; seconds() < until; ++i) {
        const reply ready = ask(g.ready(), "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n", 1.0);
        if (ready.status == 200) {
            const reply r =
                ask(g.front(),
                    consumer_request("GET", target, host,
                                     "warm-" + std::to_string(g.pid()) + "-" + std::to_string(i),
                                     key, 1500),
                    2.0);
            if (r.status == 200) {
                return true;
            }
        }
        pause(0.1);
    }
    return false;
}

std::string sealed(int status, const std::string& attempt, const std::string& body,
                   const std::string& more_fields) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nAttempt-Id: " + attempt +
           "\r\nResponse-Seal: seal." + attempt + "\r\n" + more_fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string replace_all(std::string text, std::string_view from, std::string_view to) {
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
    return text;
}

} // namespace review
