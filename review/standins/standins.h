// Stand-ins of the platform's store, the replicas and the consumers for the scripts of the review,
// and the start of the gateway processes. They use POSIX sockets and threads only.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

inline constexpr int held = 0;
inline constexpr int broken = 1;
inline constexpr int could_not_run = 2;

/// Seconds since the start of the script.
double seconds();
void pause(double for_seconds);
/// Whether the disruption of the case is played: not with TROUBLE=0.
bool trouble();

/// Writes a line to record.txt in the folder of the case.
void record(const std::string& line);
/// Ends all gateways and the script.
[[noreturn]] void finish(int code, const std::string& why);
/// Opens record.txt in `folder` and makes the script end itself after `limit_s` seconds.
void begin(const std::string& folder, unsigned limit_s = 110);

using fields = std::vector<std::pair<std::string, std::string>>;

/// A request, or the head and body of a response.
struct message {
    std::string start_line;
    fields head;
    std::string body;

    std::string field(std::string_view name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

/// A blocking TCP connection.
class channel {
public:
    explicit channel(int fd) : fd_(fd) {}
    ~channel();
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    /// Null if the address can't be reached.
    static std::unique_ptr<channel> connect(const std::string& address, double timeout_s = 1.0);

    bool send(std::string_view bytes);
    /// Appends what has arrived to `buffer`; false at the end, after a reset, or after the timeout.
    bool receive(double timeout_s);
    /// Reads a head and a body with Content-Length.
    bool read_request(message& out);
    /// Whether the peer has closed or reset the channel.
    bool is_closed() const;
    void close();
    void shut_down();
    /// Ends a blocked `receive` of another thread.
    void interrupt();

    std::string buffer;
    bool ended = false;
    bool was_reset = false;

private:
    std::atomic<int> fd_;
};

/// Accepts connections on a port of its own and serves each in a thread.
class listener {
public:
    using server = std::function<void(channel&)>;
    listener(const std::string& ip, server serve);
    ~listener();
    const std::string& address() const { return address_; }
    /// Refuses further connections.
    void stop();

private:
    void accept_loop();
    std::atomic<int> fd_{-1};
    std::string address_;
    server serve_;
    std::thread thread_;
};

/// The platform's store: keyed topics, long reads, the newest record of each key.
class store {
public:
    explicit store(const std::string& ip);
    void write(const std::string& topic, const std::string& key, const std::string& value);
    const std::string& address() const { return listener_.address(); }

private:
    struct topic_state {
        std::vector<std::pair<std::string, std::string>> records;
        std::map<std::string, std::string> newest;
    };
    void serve(channel& c);
    std::string answer(const message& request);
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, topic_state> topics_;
    listener listener_;
};

/// A replica: registers itself, answers status checks and reports, rejects requests for another
/// instance with 421, and hands all others to `run`.
class replica {
public:
    using handler = std::function<void(replica&, channel&, const message&)>;
    replica(store& platform, const std::string& ip, std::string id, std::string service,
            std::string zone, int slots, handler run);
    const std::string& id() const { return id_; }
    const std::string& address() const { return listener_.address(); }
    void announce(const std::string& state, int cold_left_ms = 0);
    /// Removes the entry.
    void forget();
    /// Refuses further connections; those that are open are up to `run`.
    void stop_listening() { listener_.stop(); }
    std::atomic<bool> draining{false};
    std::atomic<int> running{0};

private:
    void serve(channel& c);
    store& platform_;
    std::string id_;
    std::string service_;
    std::string zone_;
    int slots_;
    int sequence_ = 0;
    handler run_;
    listener listener_;
};

/// A gateway process, started as the deploy file says.
class gateway {
public:
    gateway(const store& platform, const std::vector<std::string>& ips, std::size_t index,
            const std::string& folder, const std::string& more_settings = "");
    std::string front() const { return ip_ + ":" + std::to_string(port_); }
    std::string ready() const { return ip_ + ":" + std::to_string(port_ + 1); }
    void signal(int number) const;
    /// Appends a line to the settings file.
    void change_settings(const std::string& line) const;
    bool is_running() const;
    pid_t pid() const { return pid_; }

private:
    std::string ip_;
    int port_ = 0;
    std::string settings_;
    pid_t pid_ = -1;
};

/// Loopback addresses of this script's gateways.
std::vector<std::string> gateway_ips(std::size_t count);
/// A folder for logs and settings, removed at the end.
std::string temporary_folder();

/// What a consumer got for one request.
struct reply {
    /// 0 if no head arrived.
    int status = 0;
    message head;
    /// The body without its framing, as far as it arrived.
    std::string body;
    /// The body has arrived whole, as far as its framing tells.
    bool complete = false;
    /// Bytes stand where a chunk's length is due that are no length.
    bool malformed = false;
    /// The bytes of the malformed part.
    std::string malformed_bytes;
};

/// Sends a request on `c` and reads its response.
reply ask(channel& c, const std::string& request, double timeout_s, bool head_method = false);
/// The same on a new channel.
reply ask(const std::string& address, const std::string& request, double timeout_s);
/// A request of a consumer.
std::string consumer_request(const std::string& method, const std::string& target,
                             const std::string& host, const std::string& attempt,
                             const std::string& key, int deadline_ms,
                             const std::string& more_fields = "", const std::string& body = "");
/// Waits until the gateway is ready and answers `probe` with 200.
bool wait_until_serving(const gateway& g, const std::string& target, const std::string& host,
                        const std::string& key, double limit_s = 15.0);
/// A response of a replica with its seal.
std::string sealed(int status, const std::string& attempt, const std::string& body,
                   const std::string& more_fields = "");
std::string replace_all(std::string text, std::string_view from, std::string_view to);

} // namespace review
