#pragma once

#include <system_error>

namespace cicadahatch::settings {

/// \brief What is wrong with a field of a settings or service file.
enum class errc {
    syntax = 1,      ///< not JSON with comments
    unknown_field,   ///< no such field
    missing_field,   ///< a required field is absent
    wrong_type,      ///< the value has another type
    out_of_range,    ///< the value is outside the accepted range
    contradictory,   ///< the value contradicts another field
    duplicate,       ///< the name stands twice
    unreadable,      ///< the file can't be read
    broken_encoding, ///< not UTF-8
    too_large        ///< the file exceeds max_file_bytes
};

[[nodiscard]] const std::error_category& settings_category() noexcept;
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

} // namespace cicadahatch::settings

template <>
struct std::is_error_code_enum<cicadahatch::settings::errc> : std::true_type {};
