#pragma once

#include <system_error>

namespace cicadahatch::serving {

/// \brief Why a caller did not get its answer.
enum class errc {
    bad_json = 1,
    bad_utf8,
    bad_field,
    bad_header,
    unknown_service,
    unknown_path,
    method_not_allowed,
    prompt_too_long,
    output_too_long,
    overloaded,           ///< no free worker, or the queue is full
    deadline_unreachable, ///< the target can't be met any more
    no_backend,           ///< no backend server can take it
    not_ready,            ///< no configuration yet
    shutting_down,
    backend_failed,    ///< the backend servers failed and the tries are spent
    key_required,      ///< a request that may not be repeated came without Idempotency-Key
    key_reused,        ///< the key stands for another request
    key_expired,       ///< the key was used, or made, longer ago than claims are kept
    already_completed, ///< the request ran; its answer is no longer at hand
    in_progress,       ///< the same request is running now
    outcome_unknown,   ///< an earlier try may have run
    store_unavailable, ///< at-most-once can't be ensured now
    unauthorized,
    caller_gone
};

[[nodiscard]] const std::error_category& serving_category() noexcept;
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

/// \returns whether the caller got no answer by its own doing: its request was wrong, or it
/// repeated an at-most-once request, whose first try alone counts
[[nodiscard]] bool is_callers_doing(errc code) noexcept;

} // namespace cicadahatch::serving

template <>
struct std::is_error_code_enum<cicadahatch::serving::errc> : std::true_type {};
