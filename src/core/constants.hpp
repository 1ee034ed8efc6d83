#pragma once

#include <chrono>
#include <cstddef>

namespace cicadahatch {

/// Longest accepted name of a service, team, daemon or backend server, in bytes.
inline constexpr std::size_t max_name_bytes = 128;

/// Period of the systems that run over the tables.
inline constexpr std::chrono::milliseconds tick_period{5};

} // namespace cicadahatch
