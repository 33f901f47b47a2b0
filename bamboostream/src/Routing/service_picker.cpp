#include "bamboostream/src/Routing/service_picker.h"

#include <algorithm>
#include <vector>

namespace bamboostream {

std::optional<backend_id> service_picker::pick(std::span<const backend_facts> replicas,
                                               const failure_domain_id& preferred_domain,
                                               time_point now) {
    std::vector<const backend_facts*> usable;
    for (const backend_facts& facts : replicas) {
        if (facts.state == backend_state::live && !outliers_.ejected(facts.id.text(), now)) {
            usable.push_back(&facts);
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    const auto draw = [&] {
        return usable[std::uniform_int_distribution<std::size_t>(0, usable.size() - 1)(random_)];
    };
    const backend_facts* a = draw();
    const backend_facts* b = draw();
    const int load_a = in_progress_[a->id.text()];
    const int load_b = in_progress_[b->id.text()];
    if (load_a != load_b) {
        return load_a < load_b ? a->id : b->id;
    }
    return a->failure_domain == preferred_domain ? a->id : b->id;
}

void service_picker::call_started(const backend_id& backend) {
    ++in_progress_[backend.text()];
}

void service_picker::call_ended(const backend_id& backend, bool reached, std::size_t group_size,
                                time_point now) {
    --in_progress_[backend.text()];
    if (reached) {
        outliers_.on_success(backend.text(), now);
    } else {
        outliers_.on_failure(backend.text(), group_size, now);
    }
}

} // namespace bamboostream
