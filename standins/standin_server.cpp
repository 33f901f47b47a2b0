#include "standins/standin_server.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>

namespace bamboostream::standins {

void add_standin_settings(settings& s, standin_options& options) {
    s.address("listen", &options.listen, "Address to listen on; port 0 takes a free one");
    s.text("announce-file", &options.announce_file, "File to write the address in use to");
    s.text("end-on", &options.end_on, "Text in a request's body that ends the process");
    s.duration_ms("end-after-ms", &options.end_after, "Time from such a request to the end", 0,
                  60'000);
}

void announce(const std::string& file, const std::string& address) {
    if (file.empty()) {
        return;
    }
    const std::string temporary = file + ".new";
    std::ofstream(temporary) << address << '\n';
    std::rename(temporary.c_str(), file.c_str());
}

namespace {

constexpr int exit_code_crashed = 70;

/// Wraps `handler` so that a request that contains `options.end_on` ends the process after
/// `options.end_after`, without a response to the requests that are still open.
http_handler with_crash_trigger(boost::asio::io_context& context, const standin_options& options,
                                http_handler handler) {
    return [&context, &options, handler = std::move(handler)](http_exchange& exchange) {
        if (!options.end_on.empty() &&
            exchange.request().body.find(options.end_on) != std::string::npos) {
            const auto crash_timer =
                std::make_shared<boost::asio::steady_timer>(context, options.end_after);
            crash_timer->async_wait([crash_timer](auto) { std::_Exit(exit_code_crashed); });
        }
        return handler(exchange);
    };
}

} // namespace

int run_standin(boost::asio::io_context& context, const standin_options& options,
                http_handler handler) {
    http_server server({&context}, {}, with_crash_trigger(context, options, std::move(handler)));
    std::string why;
    const auto bound = server.listen(options.listen, why);
    if (!bound) {
        log_event(events::listen_failed, "address={} reason={}", options.listen, why);
        return exit_code_unavailable;
    }
    log_event(events::started, "address={}", *bound);
    announce(options.announce_file, *bound);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, auto) { context.stop(); });
    context.run();
    return exit_code_ok;
}

} // namespace bamboostream::standins
