#include "bamboostream/src/Contracts/plain_service.h"

#include "bamboostream/src/Contracts/engine.h"
#include "bamboostream/src/Http/http_client.h"

#include <charconv>
#include <fmt/format.h>

namespace bamboostream {

boost::asio::awaitable<std::optional<service_response>>
call_service(boost::asio::any_io_executor executor, backend_id backend, const service_call& call,
             milliseconds timeout, service_failure& why) {
    http_request request =
        make_request("POST",
                     fmt::format("/v1/services/{}/{}", percent_encode(call.service),
                                 percent_encode(call.operation)),
                     call.body);
    request.fields.push_back({"Idempotency-Key", call.key});
    request.fields.push_back({"Workspace", call.workspace});
    http_failure reason;
    const auto response =
        co_await fetch(executor, backend.text(), std::move(request), timeout, reason);
    if (!response) {
        const bool unsent = reason.code == http_error::not_connected;
        why.set(unsent ? service_error::not_run : service_error::outcome_unknown, reason.text);
        co_return std::nullopt;
    }
    if (response->field(not_run_field) == "true") {
        why.set(service_error::not_run, fmt::format("the service refused: {}", response->status));
        co_return std::nullopt;
    }
    service_response answer;
    answer.status = response->status;
    answer.body = response->body;
    answer.leaving = response->field(backend_state_field) == "leaving";
    const std::string_view stamp = response->field(backend_start_field);
    std::from_chars(stamp.data(), stamp.data() + stamp.size(), answer.start_stamp);
    co_return answer;
}

} // namespace bamboostream
