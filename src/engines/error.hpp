#pragma once

#include <system_error>

namespace cicadahatch::engines {

/// \brief Why a call to a backend server failed.
enum class errc {
    not_reached = 1,    ///< no byte of the call was sent
    refused,            ///< the server answered that it did nothing
    leaving,            ///< the server answered that it is leaving and did nothing
    cancelled,          ///< the attempt had been cancelled
    kv_gone,            ///< the prefill's KV cache is no longer kept
    no_response,        ///< the call was sent; what became of it is unknown
    stream_broken,      ///< the token stream ended before its end mark
    malformed_frame,    ///< a frame could not be understood
    malformed_response, ///< an answer could not be understood
    stale_fencing,      ///< the server has seen a higher fencing number
    too_late            ///< the time allowed for sending has passed; nothing was sent
};

[[nodiscard]] const std::error_category& engines_category() noexcept;
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

/// \returns true if the failure proves that the backend server did nothing
[[nodiscard]] bool is_known_not_executed(const std::error_code& error) noexcept;

} // namespace cicadahatch::engines

template <>
struct std::is_error_code_enum<cicadahatch::engines::errc> : std::true_type {};
