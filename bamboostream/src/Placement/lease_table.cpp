#include "bamboostream/src/Placement/lease_table.h"

#include "bamboostream/src/Contracts/json_reader.h"

namespace bamboostream {

namespace {

std::string make_record(std::string_view kind, std::string_view name, const instance_id& who) {
    return boost::json::serialize(boost::json::object{{"kind", kind},
                                                      {"name", name},
                                                      {"address", who.address},
                                                      {"start_stamp", who.start_stamp}});
}

} // namespace

std::string lease_table::acquire_record(std::string_view name, const instance_id& who) {
    return make_record("acquire", name, who);
}

std::string lease_table::release_record(std::string_view name, const instance_id& who) {
    return make_record("release", name, who);
}

void lease_table::apply(const log_record& record) {
    if (record.offset < next_offset_) {
        return;
    }
    next_offset_ = record.offset + 1;
    std::string why;
    const auto value = parse_json(record.data, why);
    if (!value || !value->is_object()) {
        return;
    }
    const std::string kind = text_at(*value, "kind");
    const std::string name = text_at(*value, "name");
    const instance_id who{text_at(*value, "address"), number_at(*value, "start_stamp")};
    lease& existing = leases_[name];
    const bool own = existing.fencing >= 0 && existing.holder == who && !existing.released;
    const bool expired = record.time - existing.renewed >= duration_.count();
    if (kind == "release") {
        existing.released = existing.released || own;
    } else if (kind == "acquire" && own && !expired) {
        existing.renewed = record.time;
    } else if (kind == "acquire" && (existing.fencing < 0 || existing.released || expired)) {
        existing = {who, record.offset, record.time, false};
    }
}

std::optional<lease> lease_table::find(std::string_view name) const {
    const auto found = leases_.find(name);
    return found == leases_.end() || found->second.fencing < 0 ? std::nullopt
                                                               : std::optional(found->second);
}

bool lease_table::held_by(std::string_view name, const instance_id& who) const {
    const auto existing = find(name);
    return existing && existing->holder == who && !existing->released;
}

} // namespace bamboostream
