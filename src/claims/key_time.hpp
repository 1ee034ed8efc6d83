#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"

#include <optional>

namespace cicadahatch::claims {

/// \brief Reads the time that a key carries if it is a UUID of version 7 (RFC 9562).
/// \returns the time at which the key was made, or nothing for any other key
[[nodiscard]] std::optional<wall_time> key_time(const idempotency_key& key);

} // namespace cicadahatch::claims
