#pragma once

#include <system_error>

namespace cicadahatch::forwarding {

/// \brief How an exchange with a backend server failed.
enum class errc {
    connect_failed = 1, ///< no byte of the request was sent
    connection_lost,    ///< the connection ended before the answer was whole
    bad_response,       ///< the bytes received are no answer to this request
    timed_out,          ///< nothing came in the time allowed
    cancelled,          ///< given up by this daemon: the caller has left or the time is over
    too_large           ///< the answer exceeds its bound
};

[[nodiscard]] const std::error_category& forwarding_category() noexcept;
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

/// \returns true if the failure proves that the backend server got no byte of the request
[[nodiscard]] bool is_surely_unsent(const std::error_code& error) noexcept;

} // namespace cicadahatch::forwarding

template <>
struct std::is_error_code_enum<cicadahatch::forwarding::errc> : std::true_type {};
