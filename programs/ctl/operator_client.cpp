#include "programs/ctl/operator_client.h"

#include "bamboostream/Contracts"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace bamboostream::ctl {

namespace {
constexpr milliseconds answer_timeout{8'000};
} // namespace

std::optional<operator_answer> operator_client::ask_one(const std::string& address,
                                                        const std::string& method,
                                                        const std::string& target,
                                                        const std::string& body, std::string& why) {
    boost::asio::io_context context(1);
    std::optional<http_response> response;
    http_failure reason;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
            http_request request = make_request(method, target, body);
            response = co_await fetch(context.get_executor(), address, std::move(request),
                                      answer_timeout, reason);
        },
        boost::asio::detached);
    context.run();
    if (!response) {
        why = address + ": " + reason.text;
        return std::nullopt;
    }
    operator_answer answer;
    answer.status = response->status;
    answer.text = response->body;
    std::string ignored;
    if (auto value = parse_json(response->body, ignored)) {
        answer.body = std::move(*value);
    }
    return answer;
}

std::optional<operator_answer> operator_client::ask(const std::string& method,
                                                    const std::string& target,
                                                    const std::string& body,
                                                    std::string& why) const {
    for (const std::string& address : addresses_) {
        if (auto answer = ask_one(address, method, target, body, why)) {
            return answer;
        }
    }
    return std::nullopt;
}

std::vector<std::string> operator_client::all_instances(std::string& why) const {
    std::vector<std::string> out;
    const auto status = ask("GET", "/v1/status", "", why);
    if (!status || !status->body.is_object()) {
        return out;
    }
    out.push_back(text_at(status->body.at("self"), "operator_address"));
    for (const boost::json::value& member : status->body.at("members").as_array()) {
        out.push_back(text_at(member, "operator_address"));
    }
    return out;
}

} // namespace bamboostream::ctl
