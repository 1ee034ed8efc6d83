#pragma once

#include <system_error>

namespace cicadahatch::engines {

/// \brief Errors of calls to backend servers.
enum class errc {
    not_reached = 1,    ///< no byte of the request was sent
    refused,            ///< the server responded that it did nothing
    leaving,            ///< the server responded that it is leaving and did nothing
    cancelled,          ///< the attempt was already cancelled
    kv_gone,            ///< the prefill's KV cache has been released
    no_response,        ///< the request was sent; its outcome is unknown
    stream_broken,      ///< the token stream ended before its end marker
    malformed_frame,    ///< a frame could not be parsed
    malformed_response, ///< a response could not be parsed
    stale_fencing,      ///< the server has seen a higher fencing number
    too_late            ///< the send deadline has passed; nothing was sent
};

[[nodiscard]] const std::error_category& engines_category() noexcept;
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

/// \returns true if the error proves that the backend server did nothing
[[nodiscard]] bool is_known_not_executed(const std::error_code& error) noexcept;

} // namespace cicadahatch::engines

template <>
struct std::is_error_code_enum<cicadahatch::engines::errc> : std::true_type {};
