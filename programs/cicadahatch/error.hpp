#pragma once

#include <system_error>

namespace cicadahatch::tool {

/// \brief Why a command could not do its work.
enum class errc {
    no_daemons = 1,   ///< no admin listener was named
    no_platform,      ///< no endpoint of the key-value service was named
    bad_endpoint,     ///< not "host:port" with a numeric address
    unreadable_token, ///< the token file can't be read
    unreadable_file,  ///< a file can't be read
    unwritable_file,  ///< a file can't be written
    unauthorized,     ///< the admin token was refused
    refused,          ///< the daemon refused the order
    malformed_answer, ///< the daemon's answer could not be understood
    missing_markers,  ///< a page lacks the markers of its generated part
    not_in_force      ///< the daemon has an older revision in force
};

[[nodiscard]] const std::error_category& tool_category() noexcept;
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

} // namespace cicadahatch::tool

template <>
struct std::is_error_code_enum<cicadahatch::tool::errc> : std::true_type {};
