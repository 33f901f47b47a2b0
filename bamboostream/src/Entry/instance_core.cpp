#include "bamboostream/src/Entry/instance_core.h"

namespace bamboostream {

instance_core::instance_core(instance_settings s) : settings(std::move(s)) {}

handle_signer make_signer(const configuration_document& document) {
    std::vector<handle_key> keys;
    for (const auto& [id, key] : document.resume_keys) {
        keys.push_back({id, key.secret, key.active});
    }
    return handle_signer(std::move(keys));
}

} // namespace bamboostream
