// Parts of the stand-ins of the second review: an HTTP server, an HTTP client, the platform's
// store, entries of replicas, and the start and end of gateway processes. Plain POSIX and C++20.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace kit {

using clock_type = std::chrono::steady_clock;

inline clock_type::time_point& begin_time() {
    static clock_type::time_point begin = clock_type::now();
    return begin;
}

inline double now_s() {
    return std::chrono::duration<double>(clock_type::now() - begin_time()).count();
}

inline void sleep_s(double s) {
    std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

/// Lines of record.txt, each with the seconds since the begin.
class recorder {
public:
    void open(const std::string& path) {
        std::ofstream(path, std::ios::trunc);
        file_.open(path, std::ios::app);
    }
    void line(const std::string& text) {
        const std::lock_guard lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", now_s());
        file_ << time << text << '\n';
        file_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

inline recorder& record() {
    static recorder out;
    return out;
}

inline void note(const std::string& text) {
    record().line(text);
}

// ---------------------------------------------------------------- messages

struct message {
    std::string start;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(std::string_view name) const {
        for (const auto& [key, value] : fields) {
            if (key.size() == name.size() &&
                strncasecmp(key.data(), name.data(), name.size()) == 0) {
                return value;
            }
        }
        return {};
    }
    std::string word(int index) const {
        std::istringstream words(start);
        std::string out;
        for (int i = 0; i <= index; ++i) {
            out.clear();
            words >> out;
        }
        return out;
    }
    std::string target() const { return word(1); }
    std::string path() const { return target().substr(0, target().find('?')); }
    int status() const { return std::atoi(word(1).c_str()); }
    std::string parameter(const std::string& name) const {
        const std::string whole = target();
        const std::size_t mark = whole.find('?');
        if (mark == std::string::npos) {
            return {};
        }
        std::istringstream pairs(whole.substr(mark + 1));
        std::string pair;
        while (std::getline(pairs, pair, '&')) {
            if (pair.starts_with(name + "=")) {
                return pair.substr(name.size() + 1);
            }
        }
        return {};
    }
};

inline bool send_all(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t count = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

/// Reads from a socket with a buffer and a deadline.
class reader {
public:
    explicit reader(int fd) : fd_(fd) {}
    double until_s = 1e18;
    bool timed_out = false;
    bool reset = false;

    bool fill() {
        const double left = until_s - now_s();
        pollfd wait{fd_, POLLIN, 0};
        const int ready =
            ::poll(&wait, 1, left > 1e6 ? -1 : std::max(0, static_cast<int>(left * 1000)));
        if (ready <= 0) {
            timed_out = true;
            return false;
        }
        char bytes[16384];
        const ssize_t count = ::recv(fd_, bytes, sizeof bytes, 0);
        if (count <= 0) {
            reset = count < 0;
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    bool line(std::string& out) {
        std::size_t at = 0;
        while ((at = buffer_.find("\r\n")) == std::string::npos) {
            if (!fill()) {
                return false;
            }
        }
        out = buffer_.substr(0, at);
        buffer_.erase(0, at + 2);
        return true;
    }
    bool bytes(std::size_t count, std::string& out) {
        while (buffer_.size() < count) {
            if (!fill()) {
                out += std::exchange(buffer_, {});
                return false;
            }
        }
        out += buffer_.substr(0, count);
        buffer_.erase(0, count);
        return true;
    }
    bool head(message& out) {
        std::string text;
        if (!line(out.start)) {
            return false;
        }
        while (line(text)) {
            if (text.empty()) {
                return true;
            }
            const std::size_t colon = text.find(':');
            const std::size_t value = text.find_first_not_of(' ', colon + 1);
            out.fields.emplace_back(text.substr(0, colon),
                                    value == std::string::npos ? "" : text.substr(value));
        }
        return false;
    }
    /// Reads a body that has a length or chunks; `on_bytes` gets each chunk. Returns whether it is
    /// whole.
    bool body(message& out, const std::function<void(const std::string&)>& on_bytes = {}) {
        const std::string coding = out.field("Transfer-Encoding");
        if (coding.find("chunked") != std::string::npos) {
            std::string text;
            while (line(text)) {
                const std::size_t size = std::stoul(text, nullptr, 16);
                std::string chunk;
                if (!bytes(size, chunk) || !line(text)) {
                    return false;
                }
                out.body += chunk;
                if (size == 0) {
                    return true;
                }
                if (on_bytes) {
                    on_bytes(chunk);
                }
            }
            return false;
        }
        const std::string length = out.field("Content-Length");
        return length.empty() || bytes(std::stoul(length), out.body);
    }

private:
    int fd_;
    std::string buffer_;
};

// ---------------------------------------------------------------- sockets

inline sockaddr_in to_sockaddr(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

inline int listen_on(const std::string& address) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in to = to_sockaddr(address);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 ||
        ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline int connect_to(const std::string& address) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = to_sockaddr(address);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        ::close(fd);
        return -1;
    }
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

inline void close_with_reset(int fd) {
    const linger hard{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    ::close(fd);
}

/// A server with one thread for each connection. The handler gets each request and answers on the
/// socket; it returns false to close the connection.
class server {
public:
    using handler = std::function<bool(const message&, int fd)>;

    server(std::string address, handler handle)
        : address_(std::move(address)), handle_(std::move(handle)) {}

    bool start() {
        fd_ = listen_on(address_);
        if (fd_ < 0) {
            return false;
        }
        std::thread([this] { accept_loop(); }).detach();
        return true;
    }
    /// While it returns true, new channels are reset.
    std::function<bool()> refuses;
    /// Stops listening; open connections go on.
    void stop() {
        stopped_ = true;
        ::shutdown(fd_, SHUT_RDWR);
        ::close(fd_);
    }

private:
    void accept_loop() {
        while (!stopped_) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            if (refuses && refuses()) {
                close_with_reset(fd);
                continue;
            }
            const int one = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }
    void serve(int fd) {
        reader in(fd);
        while (true) {
            message request;
            if (!in.head(request) || !in.body(request) || !handle_(request, fd)) {
                break;
            }
        }
        ::close(fd);
    }

    std::string address_;
    handler handle_;
    int fd_ = -1;
    std::atomic<bool> stopped_ = false;
};

inline std::string answer_text(int status,
                               const std::vector<std::pair<std::string, std::string>>& fields,
                               const std::string& body) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& [name, value] : fields) {
        out += name + ": " + value + "\r\n";
    }
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// What a client got.
struct outcome {
    bool connected = false;
    bool has_head = false;
    bool complete = false;
    bool timed_out = false;
    message answer;
    double took_s = 0.0;

    int status() const { return has_head ? answer.status() : 0; }
    std::string text() const {
        if (!connected) {
            return "not connected";
        }
        if (!has_head) {
            return timed_out ? "no answer in time" : "channel closed without an answer";
        }
        return "status " + std::to_string(status()) + (complete ? ", complete" : ", cut off") +
               ", " + std::to_string(answer.body.size()) + " bytes";
    }
};

/// Sends one request on a new channel and reads its answer.
inline outcome ask(const std::string& address, const std::string& request, double timeout_s,
                   const std::function<void(const std::string&)>& on_bytes = {}) {
    outcome out;
    const double begin = now_s();
    const int fd = connect_to(address);
    if (fd < 0) {
        return out;
    }
    out.connected = true;
    reader in(fd);
    in.until_s = begin + timeout_s;
    if (send_all(fd, request) && in.head(out.answer)) {
        out.has_head = true;
        out.complete = in.body(out.answer, on_bytes);
    }
    out.timed_out = in.timed_out;
    out.took_s = now_s() - begin;
    ::close(fd);
    return out;
}

// ---------------------------------------------------------------- the platform's store

inline std::string to_base64(std::string_view bytes) {
    static const char* alphabet =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8 | (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += k <= count ? alphabet[group >> (18 - 6 * k) & 63] : '=';
        }
    }
    return out;
}

inline std::string big_endian(std::uint64_t value, int bytes) {
    std::string out;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        out += static_cast<char>(value >> shift & 0xff);
    }
    return out;
}

/// The store: keyed topics with one partition. It keeps all records.
class store {
public:
    explicit store(std::string address)
        : server_(std::move(address),
                  [this](const message& request, int fd) { return handle(request, fd); }) {}

    bool start() { return server_.start(); }
    /// Writes a record, as the operator and the replicas do. Returns its offset.
    std::size_t put(const std::string& topic, const std::string& key, const std::string& value) {
        const std::lock_guard lock(mutex_);
        topics_[topic].push_back({key, value});
        changed_.notify_all();
        return topics_[topic].size() - 1;
    }
    /// While it is down, it answers 503 to all calls of the system.
    std::atomic<bool> down = false;

private:
    struct entry {
        std::string key;
        std::string value;
    };

    static bool reply(int fd, int status, const std::string& body,
                      const std::string& type = "application/json") {
        return send_all(fd, answer_text(status, {{"Content-Type", type}}, body));
    }
    bool handle(const message& request, int fd) {
        if (down) {
            return reply(fd, 503, "{}");
        }
        if (request.path() == "/log-newest") {
            return newest(request, fd);
        }
        if (request.path() == "/log-read") {
            return read(request, fd);
        }
        if (request.path() == "/log-append") {
            return append(request, fd);
        }
        return reply(fd, 404, "{}");
    }
    bool newest(const message& request, int fd) {
        const std::lock_guard lock(mutex_);
        const std::vector<entry>& records = topics_[request.parameter("topic")];
        std::map<std::string, std::size_t> latest;
        for (std::size_t i = 0; i < records.size(); ++i) {
            latest[records[i].key] = i;
        }
        std::string items;
        for (const auto& [key, offset] : latest) {
            if (!records[offset].value.empty()) {
                items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + key +
                         "\",\"value\":\"" + to_base64(records[offset].value) +
                         "\",\"offset\":" + std::to_string(offset) + "}";
            }
        }
        return reply(fd, 200,
                     "{\"items\":[" + items +
                         "],\"more_pages\":false,\"end\":" + std::to_string(records.size()) + "}");
    }
    bool read(const message& request, int fd) {
        std::unique_lock lock(mutex_);
        const std::string topic = request.parameter("topic");
        const std::size_t from = std::strtoull(request.parameter("from").c_str(), nullptr, 10);
        const int wait_ms = std::atoi(request.parameter("wait_ms").c_str());
        changed_.wait_for(lock, std::chrono::milliseconds(wait_ms),
                          [&] { return topics_[topic].size() > from || down.load(); });
        if (down) {
            lock.unlock();
            return reply(fd, 503, "{}");
        }
        const std::vector<entry>& records = topics_[topic];
        std::string body = big_endian(records.size(), 8) + big_endian(0, 8);
        for (std::size_t i = from; i < records.size(); ++i) {
            const std::string content =
                big_endian(records[i].key.size(), 1) + records[i].key + records[i].value;
            body += big_endian(content.size(), 4) + content;
        }
        lock.unlock();
        return reply(fd, 200, body, "application/octet-stream");
    }
    bool append(const message& request, int fd) {
        const std::lock_guard lock(mutex_);
        std::vector<entry>& records = topics_[request.parameter("topic")];
        const std::size_t offset = records.size();
        std::string_view rest = request.body;
        while (rest.size() >= 4) {
            std::size_t length = 0;
            for (int i = 0; i < 4; ++i) {
                length =
                    length << 8 | static_cast<unsigned char>(rest[static_cast<std::size_t>(i)]);
            }
            const std::string_view content = rest.substr(4, length);
            const std::size_t key = static_cast<unsigned char>(content.front());
            records.push_back(
                {std::string(content.substr(1, key)), std::string(content.substr(1 + key))});
            rest.remove_prefix(4 + length);
        }
        changed_.notify_all();
        return reply(fd, 200,
                     "{\"offset\":" + std::to_string(offset) +
                         ",\"end\":" + std::to_string(records.size()) + "}");
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<entry>> topics_;
    server server_;
};

// ---------------------------------------------------------------- processes

inline std::vector<pid_t>& children() {
    static std::vector<pid_t> out;
    return out;
}

/// Starts a program whose output goes to a file. It ends with this process.
inline pid_t start_process(const std::vector<std::string>& words,
                           const std::vector<std::string>& environment, const std::string& output) {
    std::vector<char*> argv;
    for (const std::string& word : words) {
        argv.push_back(const_cast<char*>(word.c_str()));
    }
    argv.push_back(nullptr);
    std::vector<char*> envp;
    for (const std::string& variable : environment) {
        envp.push_back(const_cast<char*>(variable.c_str()));
    }
    envp.push_back(nullptr);
    const int out = ::open(output.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
    const pid_t parent = ::getpid();
    const pid_t child = ::fork();
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) {
            ::_exit(1);
        }
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execve(argv[0], argv.data(), envp.data());
        ::_exit(127);
    }
    ::close(out);
    children().push_back(child);
    return child;
}

inline void end_process(pid_t child, int signal = SIGKILL) {
    ::kill(child, signal);
    ::waitpid(child, nullptr, 0);
    std::erase(children(), child);
}

/// Whether the process still runs. One that has ended is collected, and `how` tells how it ended.
inline bool is_running(pid_t child, std::string& how) {
    int status = 0;
    if (::waitpid(child, &status, WNOHANG) != child) {
        return true;
    }
    how = WIFSIGNALED(status) ? "ended by signal " + std::to_string(WTERMSIG(status))
                              : "exit code " + std::to_string(WEXITSTATUS(status));
    std::erase(children(), child);
    return false;
}

inline void end_all() {
    for (const pid_t child : std::vector<pid_t>(children())) {
        end_process(child);
    }
}

// ---------------------------------------------------------------- a small deployment

/// Loopback addresses that nothing else uses: 127.A.B.0/24 with A and B chosen by chance.
class network {
public:
    network() {
        std::mt19937 random(std::random_device{}());
        bool is_free = false;
        while (!is_free) {
            prefix_ = "127." + std::to_string(30 + random() % 200) + "." +
                      std::to_string(1 + random() % 250) + ".";
            is_free = true;
            for (const char* port : {":8740", ":8742", ":8080", ":9464"}) {
                const int fd = listen_on(ip(1) + port);
                is_free = is_free && fd >= 0;
                ::close(fd);
            }
        }
    }
    std::string ip(int host) const { return prefix_ + std::to_string(host); }

private:
    std::string prefix_;
};

/// Gateways on hosts 1, 2, ... in three zones in turn, and the store on host 200.
struct deployment {
    network net;
    std::string folder;
    store platform{net.ip(200) + ":8742"};
    std::vector<pid_t> gateways;
    int memory_mb = 110;
    std::string extra_settings;

    static std::string zone(int host) {
        static const char* names[] = {"hall-norra", "hall-hamnen", "hall-verket"};
        return names[host % 3];
    }
    std::string front(int host) const { return net.ip(host) + ":8740"; }

    bool open() {
        char path[] = "/tmp/review-2-XXXXXX";
        folder = ::mkdtemp(path);
        return platform.start();
    }
    std::string settings(int host, int count) const {
        const std::string ip = net.ip(host);
        std::string seeds;
        for (int i = 1; i <= std::min(count, 3); ++i) {
            seeds += (i > 1 ? "," : "") + net.ip(i) + ":8748";
        }
        return "node=edge-" + std::to_string(host) +
               "\nrole=gateway\nnode_class=edge\nserves=edge,control_plane,registry\nip=" + ip +
               "\nzone=" + zone(host) +
               "\nregion=se-vattersund\nzones.hall-norra=se-vattersund\nzones.hall-hamnen=se-"
               "vattersund\n"
               "zones.hall-verket=se-vattersund\nlisten.front=" +
               ip + ":8740\nlisten.ready=" + ip + ":8749\nlisten.control=" + ip +
               ":8748\nlisten.directory=" + ip + ":8746\nport_range=7200,7215\nseeds=" + seeds +
               "\nbootstrap=true\nin_fault_budget=false\nlimits.cpu_share=0.25\nlimits.cores=1\n"
               "limits.memory_mb=" +
               std::to_string(memory_mb) +
               "\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery="
               "platform\n"
               "entry=registry\nheartbeat_ms=1200\n"
               "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n"
               "tolerate.machines=1\ntolerate.zones=0\ntolerate.regions=0\nbounds.seed_lag_s=3\n"
               "bounds.addr_reuse_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.sync_s="
               "4\n"
               "bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n"
               "bounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\nbounds.max_skew_ms="
               "5000\n"
               "bounds.strict_revoke=false\nbounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\n"
               "bounds.budget_window_s=10\nbounds.retry_budget_slack=56\nbounds.recovery_s=12\n"
               "bounds.pass_ms=120\nbounds.retry_after_s=4.7\nbounds.ttl_max_s=5\nplatform."
               "address=" +
               net.ip(200) +
               ":8742\nplatform.form=log\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n"
               "platform.parts=8\nplatform.append_ms=4.0\nplatform.part_mb_s=20.0\n"
               "platform.read_mb_s=80.0\nplatform.record_bytes=262144\nplatform.call_bytes="
               "2097152\n"
               "platform.keep_s=300\nplatform.part_mb=200\nplatform.ttl_min_ms=1000\n" +
               extra_settings;
    }
    pid_t start_gateway(int host, int count) {
        const std::string file = folder + "/settings-" + std::to_string(host);
        std::ofstream(file) << settings(host, count);
        return start_process({"target/bin/bamboostream-gateway", "--log-format", "json",
                              "--metrics-listen", net.ip(host) + ":9464"},
                             {"PATH=/usr/bin:/bin", "HOME=/tmp", "BAMBOOSTREAM_SETTINGS=" + file},
                             folder + "/gateway-" + std::to_string(host) + ".log");
    }
    void start_gateways(int count) {
        for (int host = 1; host <= count; ++host) {
            gateways.push_back(start_gateway(host, count));
        }
    }
    bool is_ready(int host) const {
        return ask(net.ip(host) + ":8749", "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n", 1.0)
                   .status() == 200;
    }
    bool await_ready(int count, double within_s) const {
        const double until = now_s() + within_s;
        for (int host = 1; host <= count; ++host) {
            while (!is_ready(host)) {
                if (now_s() > until) {
                    return false;
                }
                sleep_s(0.05);
            }
        }
        return true;
    }
    void put_replica(const std::string& id, const std::string& service, const std::string& address,
                     const std::string& zone_name, int slots, const std::string& state,
                     int sequence) {
        platform.put("keyed.servers", id,
                     "{\"service\":\"" + service + "\",\"address\":\"" + address +
                         "\",\"zone\":\"" + zone_name + "\",\"version\":\"v1\",\"slots\":" +
                         std::to_string(slots) + ",\"state\":\"" + state +
                         "\",\"cold_left_ms\":0,\"stage\":\"unified\",\"models\":[{\"name\":\"m\","
                         "\"version\":1,"
                         "\"adapters\":[]}],\"sequence\":" +
                         std::to_string(sequence) + "}");
    }
    void close() {
        end_all();
        if (std::getenv("KEEP_LOGS") == nullptr && !folder.empty()) {
            const std::string command = "rm -rf '" + folder + "'";
            if (std::system(command.c_str()) != 0) {
                note("the temporary folder could not be removed");
            }
        }
    }
};

/// A seal as the replicas send it; its content doesn't matter to the gateways.
inline std::string seal(std::size_t length) {
    return "3e1b.07.5a2." + std::to_string(length) + ".0.c9f2a4d1";
}

inline std::string fresh_id() {
    static std::mt19937_64 random(std::random_device{}());
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    char text[32];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

inline bool has_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace kit
