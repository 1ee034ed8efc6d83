#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cicadahatch::http {

/// Bodies larger than this are refused with 413 unless the server is built with another bound.
inline constexpr std::size_t default_max_body_bytes = 4UL * 1024 * 1024;

/// Responses with a larger body are given up unless the call states another bound.
inline constexpr std::size_t max_response_bytes = 64UL * 1024 * 1024;

/// Received bytes that a reader buffers until they can be parsed, such as the head of a chunk or
/// the trailer fields. The same part of a valid message is a hundredth of it.
inline constexpr std::size_t max_unparsed_bytes = 64UL * 1024;

/// Time in which the head of a request, and then its body, has to arrive at a server.
inline constexpr std::chrono::milliseconds default_receive_timeout{10'000};

/// Time for which a server keeps an idle connection.
inline constexpr std::chrono::milliseconds default_keep_alive{30'000};

/// Time in which a client connects to a server, and then sends a request.
inline constexpr std::chrono::milliseconds connect_timeout{10'000};
inline constexpr std::chrono::milliseconds send_timeout{30'000};

/// Time without a byte of a body after which a client gives the response up.
inline constexpr std::chrono::milliseconds max_body_silence{30'000};

/// Longer heads of responses are errors; they hold about ten short fields.
inline constexpr std::uint32_t max_response_head_bytes = 16384;

/// Preference (RFC 7240) of a caller whose client can't read interim responses.
inline constexpr std::string_view prefer_no_interim = "no-interim";

/// Interim responses (RFC 9110, 15.2) that a client skips before a final response.
inline constexpr int max_interim_responses = 16;

inline constexpr int status_switching_protocols = 101;
inline constexpr int status_ok = 200;
inline constexpr int status_bad_request = 400;
inline constexpr int status_unauthorized = 401;
inline constexpr int status_forbidden = 403;
inline constexpr int status_not_found = 404;
inline constexpr int status_method_not_allowed = 405;
inline constexpr int status_request_timeout = 408;
inline constexpr int status_conflict = 409;
inline constexpr int status_gone = 410;
inline constexpr int status_too_large = 413;
inline constexpr int status_unprocessable = 422;
inline constexpr int status_too_many_requests = 429;
inline constexpr int status_internal_error = 500;
inline constexpr int status_bad_gateway = 502;
inline constexpr int status_unavailable = 503;
inline constexpr int status_gateway_timeout = 504;

/// \returns whether a final response follows. No client here asks for another protocol, so 101 is
/// not a response to any of its requests.
[[nodiscard]] constexpr bool is_interim(unsigned status) noexcept {
    constexpr unsigned first_interim = 100;
    return status >= first_interim && status < status_ok && status != status_switching_protocols;
}

} // namespace cicadahatch::http
