#include "bamboostream/src/Routing/server_load_table.h"

namespace bamboostream {

namespace {

constexpr seconds warning_period{60};

} // namespace

void server_load_table::observe(const service_id& service, const backend_id& server,
                                const server_load& load, time_point now) {
    latest_[server] = {load, now};
    if (load.host_percent) {
        services_.insert(service);
    }
}

const server_load_table::observation* server_load_table::find(const backend_id& server) const {
    const auto found = latest_.find(server);
    return found == latest_.end() ? nullptr : &found->second;
}

bool server_load_table::should_warn(const backend_id& server, time_point now) {
    const auto [next, is_new] = next_warning_.try_emplace(server, now);
    if (!is_new && now < next->second) {
        return false;
    }
    next->second = now + warning_period;
    return true;
}

void server_load_table::forget(const backend_id& server) {
    latest_.erase(server);
    next_warning_.erase(server);
}

} // namespace bamboostream
