#pragma once

#include <system_error>

namespace cicadahatch::scheduling {

/// \brief Why a request is refused or an input is not accepted. A refused request did not run.
enum class errc {
    queue_full = 1,      ///< the rank's queue holds as many requests as it may
    target_unreachable,  ///< the queue is too long for the target time
    deadline_passed,     ///< the caller's deadline came while the request waited
    too_large,           ///< no engine of the cell can hold prompt and answer
    no_engine,           ///< no engine of the cell can take work
    unknown_service,     ///< the service is not known to the cell
    duplicate_request,   ///< the identifier is waiting or running already
    unknown_request,     ///< the identifier is neither waiting nor running
    retry_budget_spent,  ///< too many retries lately
    registration_pending ///< the home is new and gathers live grants
};

[[nodiscard]] const std::error_category& scheduling_category() noexcept;
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

} // namespace cicadahatch::scheduling

template <>
struct std::is_error_code_enum<cicadahatch::scheduling::errc> : std::true_type {};
