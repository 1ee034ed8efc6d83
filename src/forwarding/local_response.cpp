#include "src/forwarding/local_response.hpp"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace cicadahatch::forwarding {

namespace {

constexpr double milliseconds_per_second = 1000.0;

unsigned to_status(beast_http::status status) {
    return static_cast<unsigned>(status);
}

std::string format_seconds(std::chrono::milliseconds time) {
    std::array<char, 32> text{}; // NOLINT(readability-magic-numbers): holds any number of seconds
    const double seconds = static_cast<double>(time.count()) / milliseconds_per_second;
    const int length = std::snprintf(text.data(), text.size(), "%.3f", seconds);
    return {text.data(), static_cast<std::size_t>(length)};
}

} // namespace

caller_response local_response(unsigned status, std::string_view reason) {
    caller_response response;
    response.result(status);
    response.set(beast_http::field::content_type, "application/json");
    response.body() = nlohmann::json{{"error", reason}}.dump();
    return response;
}

caller_response unavailable_response(std::string_view reason,
                                     std::chrono::milliseconds retry_after) {
    caller_response response =
        local_response(to_status(beast_http::status::service_unavailable), reason);
    response.set(beast_http::field::retry_after, format_seconds(retry_after));
    return response;
}

caller_response too_many_requests_response(std::optional<std::chrono::milliseconds> retry_after) {
    caller_response response =
        local_response(to_status(beast_http::status::too_many_requests), "usage cap exceeded");
    if (retry_after) {
        response.set(beast_http::field::retry_after, format_seconds(*retry_after));
    }
    return response;
}

caller_response unauthorized_response(std::string_view scheme) {
    caller_response response =
        local_response(to_status(beast_http::status::unauthorized), "no valid key");
    response.set(beast_http::field::www_authenticate, std::string{scheme});
    return response;
}

caller_response failure_response(execution_state execution, request_end_reason reason,
                                 std::chrono::milliseconds retry_after) {
    if (execution == execution_state::not_executed) {
        return unavailable_response("not run", retry_after);
    }
    const bool is_timeout = reason == request_end_reason::time_over;
    return local_response(to_status(is_timeout ? beast_http::status::gateway_timeout
                                               : beast_http::status::bad_gateway),
                          is_timeout ? "no answer in time" : "no answer from the backend server");
}

} // namespace cicadahatch::forwarding
