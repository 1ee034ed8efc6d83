#pragma once

#include <system_error>

namespace cicadahatch::configuration {

/// \brief Why configuration could not be published, loaded or merged.
enum class errc {
    not_published = 1, ///< the store holds no configuration
    not_accepted,      ///< the store was not reached; the change is surely not accepted
    outcome_unknown,   ///< the change may have been accepted; ask again with the same change id
    base_unknown,      ///< the base revision is older than what is remembered, or not yet reached
    service_too_large, ///< a service does not fit into one value
    malformed,         ///< bytes that are not a configuration
    inconsistent,      ///< the parts don't add up to what the head or the peer stated
    gap                ///< changes since a revision that this daemon has not reached
};

[[nodiscard]] const std::error_category& configuration_category() noexcept;
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

} // namespace cicadahatch::configuration

template <>
struct std::is_error_code_enum<cicadahatch::configuration::errc> : std::true_type {};
