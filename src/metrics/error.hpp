#pragma once

#include <system_error>

namespace cicadahatch::metrics {

/// \brief Why a snapshot could not be taken in.
enum class errc {
    malformed = 1,       ///< not an encoded snapshot
    unsupported_version, ///< encoded by another version
    too_large            ///< over max_snapshot_bytes
};

[[nodiscard]] const std::error_category& metrics_category() noexcept;
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

} // namespace cicadahatch::metrics

template <>
struct std::is_error_code_enum<cicadahatch::metrics::errc> : std::true_type {};
