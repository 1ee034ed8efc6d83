#pragma once

#include <system_error>

namespace cicadahatch::membership {

/// \brief Why an operation on members failed.
enum class errc {
    unknown_member = 1 ///< no member of that name is present
};

[[nodiscard]] const std::error_category& membership_category() noexcept;
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

} // namespace cicadahatch::membership

template <>
struct std::is_error_code_enum<cicadahatch::membership::errc> : std::true_type {};
