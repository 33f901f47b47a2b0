// Tests, over loopback connections, of instances of which many have lost their links to the backend
// servers: most or all of a failure domain, or of the whole deployment.

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Forwarding/backend_connection.h"
#include "test/platform/peer_group.h"
#include "test/platform/scripted_backend.h"
#include "test/platform/unreachable_addresses.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

constexpr int failure_domains = 3;
constexpr std::size_t server_count = 12;
constexpr milliseconds call_interval{100};
/// How long a connection is used.
constexpr milliseconds use_time{400};
constexpr milliseconds call_deadline{600};
constexpr int measured_seconds = 3;
/// Share of the connections of each second that must be established.
constexpr double min_established = 0.95;

/// How new connections of an instance that is cut off fail.
enum class cut_manner : std::uint8_t { refused, silent };

struct domain_cut_row {
    std::string name;
    /// Instances in each failure domain.
    int instances;
    /// How many of each failure domain are cut off, those of the first one first.
    std::array<int, failure_domains> cut_off;
    cut_manner manner;
    /// Instances of the last failure domain that are killed after the first second.
    int killed = 0;
    friend void PrintTo(const domain_cut_row& row, std::ostream* out) { *out << row.name; }
};

class cut_off_domain : public testing::TestWithParam<domain_cut_row> {
public:
    cut_off_domain(const cut_off_domain&) = delete;
    cut_off_domain& operator=(const cut_off_domain&) = delete;

protected:
    cut_off_domain() : group_(failure_domains, GetParam().instances) {
        for (std::size_t i = 0; i < server_count; ++i) {
            servers_.push_back(std::make_unique<scripted_backend>(
                group_.context, [](scripted_connection& c) -> asio::awaitable<void> {
                    co_await c.wait_for_close();
                }));
        }
        std::array<int, failure_domains> to_cut = GetParam().cut_off;
        for (std::size_t i = 0; i < group_.all.size(); ++i) {
            int& left = to_cut.at(i % failure_domains);
            is_cut_off_.push_back(left > 0);
            left = std::max(0, left - 1);
        }
    }

    ~cut_off_domain() override {
        for (const auto& server : servers_) {
            server->stop();
        }
    }

    /// Registers the servers at all instances, at addresses as each of them sees them.
    void register_servers(bool cut) {
        const std::string lost = GetParam().manner == cut_manner::refused ? unreachable_.refusing()
                                                                          : unreachable_.silent();
        for (std::size_t at = 0; at < group_.all.size(); ++at) {
            for (std::size_t i = 0; i < server_count; ++i) {
                registered_backend entry;
                entry.id = backend_id(fmt::format("i-{}", i));
                entry.service = service_id("s");
                entry.failure_domain = failure_domain_id(fmt::format("d{}", i % failure_domains));
                entry.address = cut && is_cut_off_[at] ? lost : servers_[i]->address();
                group_.all[at]->forwarding.registry.update(entry, monotonic_now());
            }
        }
    }

    /// One connection of the instance to a server, which is used for a while.
    asio::awaitable<void> connect(std::size_t at, std::size_t server, int second) {
        forwarding_state& state = group_.all[at]->forwarding;
        connection_request wanted;
        wanted.request_id = fmt::format("r-{}-{}", at, server);
        wanted.deadline = monotonic_now() + call_deadline;
        http_failure why;
        const registered_backend target =
            *state.registry.find(backend_id(fmt::format("i-{}", server)));
        const backend_connection opened =
            co_await open_backend_connection(state, target, std::move(wanted), why);
        ++tried_.at(static_cast<std::size_t>(second));
        established_.at(static_cast<std::size_t>(second)) += opened.connection ? 1 : 0;
        if (opened.connection) {
            if (!opened.connection->carrier().empty()) {
                ++carried_[opened.connection->carrier()];
            }
            co_await pause_for(use_time);
            opened.connection->close();
        }
        --open_;
    }

    /// Each instance that is cut off connects to one server after the other.
    void connect_all() {
        for (int second = 0; second < measured_seconds; ++second) {
            if (second == 1) {
                kill_carriers();
            }
            const time_point end = monotonic_now() + seconds(1);
            for (std::size_t round = 0; monotonic_now() < end; ++round) {
                for (std::size_t at = 0; at < group_.all.size(); ++at) {
                    if (is_cut_off_[at]) {
                        ++open_;
                        asio::co_spawn(group_.context,
                                       connect(at, (at + round) % server_count, second),
                                       asio::detached);
                    }
                }
                group_.run_for(call_interval);
            }
        }
        while (open_ > 0) {
            group_.run_for(milliseconds(20));
        }
    }

    void kill_carriers() {
        for (int i = 0; i < GetParam().killed; ++i) {
            const int last = GetParam().instances - 1 - i;
            group_.kill(*group_.all.at(
                static_cast<std::size_t>(last * failure_domains + failure_domains - 1)));
        }
    }

    peer_group group_;
    unreachable_addresses unreachable_{group_.context};
    std::vector<std::unique_ptr<scripted_backend>> servers_;
    std::vector<bool> is_cut_off_;
    int open_ = 0;
    std::array<int, measured_seconds> tried_{};
    std::array<int, measured_seconds> established_{};
    /// Connections by the instance that carried them.
    std::map<std::string, int> carried_;
};

INSTANTIATE_TEST_SUITE_P(
    table, cut_off_domain,
    testing::Values(
        domain_cut_row{"three_of_three_refused", 3, {3, 0, 0}, cut_manner::refused},
        domain_cut_row{"eight_of_eight_refused", 8, {8, 0, 0}, cut_manner::refused},
        domain_cut_row{"eight_of_eight_silent", 8, {8, 0, 0}, cut_manner::silent},
        domain_cut_row{"most_of_25_refused", 25, {23, 0, 0}, cut_manner::refused},
        domain_cut_row{"most_of_25_silent", 25, {23, 0, 0}, cut_manner::silent},
        domain_cut_row{"all_of_25_refused", 25, {25, 0, 0}, cut_manner::refused},
        domain_cut_row{"all_of_25_silent", 25, {25, 0, 0}, cut_manner::silent},
        domain_cut_row{
            "all_of_25_refused_and_carriers_killed", 25, {25, 0, 0}, cut_manner::refused, 8},
        domain_cut_row{"two_domains_refused", 8, {8, 8, 0}, cut_manner::refused},
        domain_cut_row{"two_domains_silent", 8, {8, 8, 0}, cut_manner::silent},
        domain_cut_row{"all_but_one_refused", 8, {8, 8, 7}, cut_manner::refused},
        domain_cut_row{"all_but_one_silent", 8, {8, 8, 7}, cut_manner::silent}),
    [](const auto& info) { return info.param.name; });

// Guards against callers of a failure domain that has lost its links to all backend servers being
// refused, because its instances only ask one another for a way.
TEST_P(cut_off_domain, reaches_servers_through_any_instance_that_does) {
    register_servers(false);
    group_.run_for(milliseconds(200));
    register_servers(true);
    connect_all();
    for (std::size_t second = 0; second < measured_seconds; ++second) {
        EXPECT_GE(established_.at(second), min_established * tried_.at(second))
            << "second " << second << ": " << established_.at(second) << " of "
            << tried_.at(second);
    }
}

} // namespace
} // namespace bamboostream::test
