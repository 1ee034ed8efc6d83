#pragma once

#include <system_error>

namespace cicadahatch::http {

/// \brief Why an HTTP operation failed.
enum class errc {
    bad_endpoint = 1,   ///< not a numeric address and port
    connect_failed,     ///< no byte of the request has left this process
    send_failed,        ///< some bytes may have arrived
    response_timeout,   ///< the request was sent; no response within the time allowed
    response_broken,    ///< the response ended early or was malformed
    body_too_large,     ///< the body exceeds the receiver's bound
    body_truncated,     ///< the sender closed before the announced length
    body_late,          ///< the body did not arrive in the time allowed
    header_too_large,   ///< a response line exceeds the bound
    server_not_started, ///< the listener could not be opened
    address_in_use      ///< another process listens at the address
};

[[nodiscard]] const std::error_category& http_category() noexcept;
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

/// \returns true if the failure proves that the server got no byte of the request
[[nodiscard]] bool is_surely_unsent(const std::error_code& error) noexcept;

} // namespace cicadahatch::http

template <>
struct std::is_error_code_enum<cicadahatch::http::errc> : std::true_type {};
