#pragma once

#include <chrono>
#include <cstddef>

namespace cicadahatch::store {

/// Largest value the key-value service takes.
inline constexpr std::size_t max_value_bytes = 1024UL * 1024;

/// Longest wait for a reply of the key-value service.
inline constexpr std::chrono::milliseconds default_call_timeout{2'000};

} // namespace cicadahatch::store
