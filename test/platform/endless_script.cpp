#include "test/platform/endless_script.h"

#include <fmt/format.h>

namespace bamboostream::test {

std::string_view to_string(endless_kind kind) {
    static constexpr std::array<std::string_view, 13> names = {
        "head_line",       "head_fields",      "interim_responses", "beyond_length", "chunks",
        "chunk_extension", "chunk_extensions", "trailers",          "unframed_body", "event_line",
        "comments",        "empty_lines",      "no_response"};
    return names.at(static_cast<std::size_t>(kind));
}

endless_bytes endless_response(endless_kind kind, const std::string& attempt) {
    const std::string first_line = "HTTP/1.1 200 OK\r\n";
    const std::string head =
        first_line + fmt::format("Attempt-Id: {}\r\nResponse-Seal: s\r\n", attempt);
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const auto chunk = [](const std::string& text) {
        return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
    };
    switch (kind) {
    case endless_kind::head_line:
        return {head + "X: ", "a"};
    case endless_kind::head_fields:
        return {head, "X: a\r\n"};
    case endless_kind::interim_responses:
        return {"", "HTTP/1.1 100 Continue\r\n\r\n"};
    case endless_kind::beyond_length:
        return {head + "Content-Length: 2\r\n\r\nok", "a"};
    case endless_kind::chunks:
        return {chunked, chunk(std::string(1'000, 'a'))};
    case endless_kind::chunk_extension:
        return {chunked + "1;", "a"};
    case endless_kind::chunk_extensions:
        return {chunked, "1;x=" + std::string(200, 'a') + "\r\na\r\n"};
    case endless_kind::trailers:
        return {chunked + "1\r\na\r\n0\r\n", "X: a\r\n"};
    case endless_kind::unframed_body:
        return {head + "\r\n", "a"};
    case endless_kind::event_line:
        return {chunked + chunk("data: "), chunk(std::string(1'000, 'a'))};
    case endless_kind::no_response:
        return {"", std::string("\x16\x03\x01 no response \0\xff", 18)};
    case endless_kind::comments:
        return {chunked, chunk(": nothing yet\n\n")};
    default:
        return {chunked, chunk("\n\n")};
    }
}

backend_script send_endlessly(endless_kind kind, int ms_per_byte,
                              const std::shared_ptr<endless_record>& record) {
    return [=](scripted_connection& c) -> boost::asio::awaitable<void> {
        constexpr std::size_t bytes_per_send = 64 * 1024;
        const endless_bytes bytes = endless_response(kind, c.field("Attempt-Id"));
        std::string repeated;
        while (repeated.size() < bytes_per_send) {
            repeated += bytes.repeated;
        }
        ++record->responses;
        co_await c.send(bytes.begin);
        for (std::size_t at = 0; !c.is_closed(); ++at) {
            if (ms_per_byte > 0) {
                co_await c.send(std::string(1, repeated[at % repeated.size()]));
                co_await c.pause(ms_per_byte);
                record->bytes += 1;
            } else {
                co_await c.send(repeated);
                record->bytes += repeated.size();
            }
        }
        ++record->closed;
        c.close();
    };
}

} // namespace bamboostream::test
