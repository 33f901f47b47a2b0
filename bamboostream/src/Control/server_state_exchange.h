#pragma once

#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Control/refusing_servers.h"
#include "bamboostream/src/Control/server_verifier.h"
#include "bamboostream/src/Links/peer_links.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace bamboostream::wire {
struct ServerCheckRequestT;
}

namespace bamboostream {

/// Combines what this instance and others have found out about a server's process. `others` are the
/// answers received from other instances. A process that anyone finds running has not ended. If
/// others answered, one of them must confirm that it has; if none did, the own finding decides.
process_state combine_findings(process_state own, std::span<const process_state> others);

/// Asks other instances whether a backend server's process has ended, before that counts as
/// evidence against a request: a network failure that resets connections and refuses new ones looks
/// the same to the instance behind it. What can't be known while no server is reached is examined
/// again until one is. Lives on one thread.
class server_state_exchange final : public server_verifier {
public:
    /// What this instance knows of the backend servers.
    struct server_view {
        /// The address of a server; nothing if this instance doesn't know it or can't reach it.
        std::function<std::optional<std::string>(const backend_id&)> find;
        /// The other servers, to which connections should succeed if this instance's network works.
        std::function<std::vector<server_address>(const backend_id&)> others;
        /// The start stamp of a server; nothing if it is not registered.
        std::function<std::optional<std::int64_t>(const backend_id&)> start_of;
    };

    server_state_exchange(boost::asio::io_context& context, peer_links& links,
                          membership_service& membership, server_check& checks, server_view view,
                          std::uint64_t seed)
        : context_(context), links_(links), membership_(membership), checks_(checks),
          view_(std::move(view)), random_(seed), wake_up_(context) {}

    boost::asio::awaitable<process_state> verify(backend_id server, std::string address) override;
    void await_end(const backend_id& server, std::function<void()> listener) override;
    void note_reached(const backend_id& server) override;
    /// Answers another instance with the finding of this one.
    boost::asio::awaitable<std::unique_ptr<wire::FrameT>>
    answer(const wire::ServerCheckRequestT& request);

private:
    /// A verification in progress or just completed.
    struct verification {
        explicit verification(boost::asio::io_context& context)
            : answered(context), done(context, time_point::max()) {}
        process_state state = process_state::unknown;
        std::vector<process_state> answers;
        std::size_t outstanding = 0;
        bool complete = false;
        time_point started = monotonic_now();
        /// Cancelled by each answer; waited for by one coroutine only.
        boost::asio::steady_timer answered;
        /// Cancelled at the end.
        boost::asio::steady_timer done;
    };
    using verification_ptr = std::shared_ptr<verification>;

    /// Checks from this instance alone. A refused connection counts as the end of the process only
    /// if a connection to another server succeeds, unless all others are known to have ended.
    boost::asio::awaitable<process_state> check_here(backend_id server);
    boost::asio::awaitable<bool> reaches_another(backend_id server);
    void record(const server_address& server, process_state state);
    void record_refusal(const server_address& server);
    /// Examines refusing servers again until it is known of each whether its process has ended.
    boost::asio::awaitable<void> examine_again();
    /// Checks the refusing servers for which a broken network is ruled out, that is all of them if
    /// it works.
    boost::asio::awaitable<void> recheck(bool network_works);
    /// The process of a server that has registered with a later start stamp has ended.
    void confirm_restarts();
    /// Asks other instances about a server whose end somebody waits for.
    boost::asio::awaitable<void> confirm(backend_id server);
    boost::asio::awaitable<void> ask(std::string peer, backend_id server, verification_ptr about);
    boost::asio::awaitable<void> ask_others(backend_id server, verification_ptr about);
    /// Other instances, those of other failure domains first.
    std::vector<std::string> choose_witnesses();

    boost::asio::io_context& context_;
    peer_links& links_;
    membership_service& membership_;
    server_check& checks_;
    server_view view_;
    std::mt19937_64 random_;
    std::map<backend_id, verification_ptr> verifications_;
    refusing_servers refusing_;
    bool examining_ = false;
    /// Cancelled when a server is reached.
    boost::asio::steady_timer wake_up_;
};

} // namespace bamboostream
