#pragma once

#include <system_error>

namespace cicadahatch::store {

/// \brief Why an operation on the key-value service failed.
enum class errc {
    unavailable = 1, ///< not reached; nothing took effect
    outcome_unknown, ///< sent, but no reply came: the write may have taken effect
    rate_limited,    ///< held back by this process's own budget; nothing was sent
    circuit_open,    ///< recent calls failed; nothing was sent
    value_too_large, ///< over the service's bound
    lease_expired,   ///< the lease no longer exists
    compacted,       ///< the revision to watch from is no longer kept; list again
    reply_too_large, ///< of a read: the store answered, but the reply exceeds its size or time
    restored,        ///< the expected revision is of an earlier generation; nothing was sent
    protocol         ///< the reply could not be understood
};

[[nodiscard]] const std::error_category& store_category() noexcept;
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

/// \returns true if the failure proves that a write did not take effect
[[nodiscard]] bool is_surely_not_applied(const std::error_code& error) noexcept;

} // namespace cicadahatch::store

template <>
struct std::is_error_code_enum<cicadahatch::store::errc> : std::true_type {};
