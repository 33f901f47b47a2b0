#include "bamboostream/src/Entry/error_answer.h"

#include "bamboostream/src/Core/event_log.h"

#include <boost/json.hpp>

namespace bamboostream {

error_answer make_error(int status, std::string_view code, std::string message) {
    error_answer answer;
    answer.status = status;
    answer.code = code;
    answer.message = std::move(message);
    return answer;
}

error_answer make_refusal(std::string_view code, std::string message, milliseconds retry_after) {
    error_answer answer = make_error(503, code, std::move(message));
    answer.outcome = "not_run";
    answer.retry_after = retry_after;
    return answer;
}

std::string to_json(const error_answer& error) {
    boost::json::object body{{"code", error.code}, {"message", error.message}};
    if (!error.outcome.empty()) {
        body["outcome"] = error.outcome;
    }
    if (error.retry_after.count() > 0) {
        body["come_back_in_ms"] = error.retry_after.count();
    }
    if (!error.errors.empty()) {
        boost::json::array details;
        for (const validation_error& mistake : error.errors) {
            details.push_back(boost::json::object{
                {"path", mistake.path}, {"found", mistake.found}, {"expected", mistake.expected}});
        }
        body["details"] = std::move(details);
    }
    return boost::json::serialize(boost::json::object{{"error", std::move(body)}});
}

boost::asio::awaitable<bool> respond_error(http_exchange& exchange, const error_answer& error) {
    std::vector<http_field> fields;
    if (error.retry_after.count() > 0) {
        const auto whole_seconds = std::chrono::ceil<seconds>(error.retry_after).count();
        fields.push_back({"Retry-After", std::to_string(whole_seconds)});
    }
    log_event(error.retry_after.count() > 0 ? events::request_refused : events::bad_request,
              "path={} status={} code={}", exchange.request().path, error.status, error.code);
    std::string body = to_json(error);
    co_return co_await exchange.respond_json(error.status, std::move(body), fields);
}

} // namespace bamboostream
