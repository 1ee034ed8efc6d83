#pragma once

#include <system_error>

namespace cicadahatch::orders {

/// \brief Why an order was not executed or its outcome is unknown.
enum class errc {
    too_late = 1,   ///< the send deadline has passed; nothing was sent
    unreachable,    ///< the engine was not reached; nothing was sent
    stale_fencing,  ///< the engine has seen a higher fencing number and ignored the order
    refused,        ///< the engine refused the order for another reason
    outcome_unknown ///< sent, no response; the engine's next report shows the outcome
};

[[nodiscard]] const std::error_category& orders_category() noexcept;
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

} // namespace cicadahatch::orders

template <>
struct std::is_error_code_enum<cicadahatch::orders::errc> : std::true_type {};
