#include "bamboostream/src/Contracts/instance_list.h"

#include "bamboostream/src/Contracts/json_reader.h"
#include "bamboostream/src/Http/http_client.h"

#include <fmt/format.h>

namespace bamboostream {

namespace {

constexpr int status_ok = 200;

backend_facts to_backend(const boost::json::value& machine, backend_kind kind) {
    backend_facts facts;
    facts.id = backend_id(text_at(machine, "address"));
    facts.kind = kind;
    facts.group = text_at(machine, "group");
    facts.failure_domain = failure_domain_id(text_at(machine, "failure_domain"));
    facts.start_stamp = number_at(machine, "start_stamp");
    facts.state =
        text_at(machine, "state") == "leaving" ? backend_state::leaving : backend_state::live;
    return facts;
}

} // namespace

http_instance_list::http_instance_list(boost::asio::any_io_executor executor, std::string address,
                                       milliseconds timeout)
    : executor_(std::move(executor)), address_(std::move(address)), timeout_(timeout) {}

boost::asio::awaitable<std::optional<machine_list>> http_instance_list::read(list_failure& why) {
    http_failure reason;
    http_request request = make_request("GET", "/v1/instances");
    const auto response = co_await fetch(executor_, address_, std::move(request), timeout_, reason);
    if (!response || response->status != status_ok) {
        why.set(list_error::unavailable,
                response ? fmt::format("status {}", response->status) : reason.text);
        co_return std::nullopt;
    }
    std::string text;
    const auto json = parse_json(response->body, text);
    const auto* machines =
        json && json->is_object() ? json->get_object().if_contains("instances") : nullptr;
    if (machines == nullptr || !machines->is_array()) {
        why.set(list_error::malformed, "no array 'instances' " + text);
        co_return std::nullopt;
    }
    machine_list list;
    for (const boost::json::value& machine : machines->get_array()) {
        const std::string kind = text_at(machine, "kind");
        if (kind == "instance") {
            list.instances.push_back(text_at(machine, "address"));
        } else if (kind == "engine" || kind == "service") {
            list.backends.push_back(to_backend(
                machine, kind == "engine" ? backend_kind::engine : backend_kind::plain_service));
        }
    }
    co_return list;
}

} // namespace bamboostream
