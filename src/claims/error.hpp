#pragma once

#include <system_error>

namespace cicadahatch::claims {

/// \brief Why a claim could not be made, or its outcome not recorded. Whoever gets one of these
/// from claim_book::begin() has no permit: nothing may be sent, the request has not run.
enum class errc {
    store_unreachable = 1, ///< the store was not reached; no claim stands
    claim_uncertain,       ///< a claim may stand; it is given up as soon as the store allows
    contended,             ///< lost too many races in a row; no claim stands
    deadline_passed,       ///< the request's deadline has passed
    invalid_key,           ///< key empty or too long, or service name with a slash
    claim_gone,            ///< the claim is no longer kept
    malformed              ///< the stored value is not of this layout
};

[[nodiscard]] const std::error_category& claims_category() noexcept;
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

} // namespace cicadahatch::claims

template <>
struct std::is_error_code_enum<cicadahatch::claims::errc> : std::true_type {};
