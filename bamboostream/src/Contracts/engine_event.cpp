#include "bamboostream/src/Contracts/engine_event.h"

#include <boost/json.hpp>
#include <boost/json/static_resource.hpp>
#include <new>

namespace bamboostream {

namespace json = boost::json;

bool engine_event_parser::parse(std::string_view data, engine_event& out) {
    json::static_resource resource(memory_.data(), memory_.size());
    json::error_code ec;
    json::value value;
    try {
        value = json::parse({data.data(), data.size()}, ec, &resource);
    } catch (const std::bad_alloc&) {
        // The event does not fit into `memory_`, which is rare: parse it on the heap.
        value = json::parse({data.data(), data.size()}, ec);
    }
    if (ec || !value.is_object()) {
        return false;
    }
    const json::object& object = value.get_object();
    const auto copy = [&](std::string_view name, std::string& into) {
        const json::value* found = object.if_contains(name);
        const bool present = found != nullptr && found->is_string();
        into.assign(present ? std::string_view(found->get_string()) : std::string_view{});
        return present;
    };
    if (!copy("id", generation_)) {
        return false;
    }
    copy("text", text_);
    const bool final = copy("finish_reason", finish_reason_);
    const json::value* sequence = object.if_contains("seq");
    const std::int64_t number =
        sequence != nullptr && sequence->is_int64() ? sequence->get_int64() : -1;
    if (number < 0) {
        return false;
    }
    out = {generation_, static_cast<std::uint64_t>(number), text_, final, finish_reason_};
    return true;
}

} // namespace bamboostream
