#pragma once

#include <system_error>

namespace cicadahatch::scheduling {

/// \brief Reasons to refuse a request or reject an input. A refused request has not run.
enum class errc {
    queue_full = 1,      ///< the rank's queue has reached its limit
    target_unreachable,  ///< the predicted time to first token exceeds the target
    deadline_passed,     ///< the caller's deadline passed while the request waited
    too_large,           ///< no engine of the cell has the memory for prompt and output
    no_engine,           ///< no engine of the cell takes work
    unknown_service,     ///< the cell does not run the service
    duplicate_request,   ///< a request with this identifier is waiting or running
    unknown_request,     ///< no request with this identifier is waiting or running
    retry_budget_spent,  ///< the retry budget is exhausted
    registration_pending ///< the new home is collecting live grants
};

[[nodiscard]] const std::error_category& scheduling_category() noexcept;
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

} // namespace cicadahatch::scheduling

template <>
struct std::is_error_code_enum<cicadahatch::scheduling::errc> : std::true_type {};
