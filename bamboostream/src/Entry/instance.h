#pragma once

#include "bamboostream/src/Entry/instance_core.h"

#include <memory>
#include <string>

namespace bamboostream {

/// One instance of the system; a single process has all roles. Traffic is served on
/// `instance_settings::threads` threads; the services that they share run on one control thread.
///
/// Example: `instance i(settings); return i.run();`
class instance {
public:
    explicit instance(instance_settings settings);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    /// Serves until a graceful shutdown, started by SIGTERM, SIGINT or `POST /v1/drain`, is
    /// complete. Returns the exit code of the program.
    int run();

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace bamboostream
