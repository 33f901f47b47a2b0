#pragma once

#include "bamboostream/Core"
#include "bamboostream/Http"

#include <boost/asio/io_context.hpp>
#include <string>

namespace bamboostream::standins {

/// Options that all stand-in programs have.
struct standin_options {
    std::string listen = "127.0.0.1:0";
    /// File to which the address in use is written; empty for none.
    std::string announce_file;
    /// A request whose body contains this text ends the process after `end_after`, as a crash
    /// would; empty for none.
    std::string end_on;
    milliseconds end_after{20};
};

/// Adds the settings for `options` to `s`.
void add_standin_settings(settings& s, standin_options& options);

/// Serves HTTP requests on the calling thread until SIGTERM or SIGINT. Returns the exit code.
int run_standin(boost::asio::io_context& context, const standin_options& options,
                http_handler handler);

/// Writes the address in use to `file`, for the process that started the program. The file is
/// replaced atomically, so that a reader never sees a part of the address.
void announce(const std::string& file, const std::string& address);

} // namespace bamboostream::standins
