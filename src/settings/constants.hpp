#pragma once

#include <cstddef>
#include <string_view>

namespace cicadahatch::settings {

/// Ending of the names of service files.
inline constexpr std::string_view service_file_suffix = ".service.json";

/// Largest accepted settings or service file, in bytes.
inline constexpr std::size_t max_file_bytes = 262144;

/// Deepest accepted nesting of objects and lists.
inline constexpr int max_nesting = 16;

/// Shortest accepted shared secret or bearer token, in bytes.
inline constexpr std::size_t min_secret_bytes = 16;

/// Most backend servers of one service.
inline constexpr std::size_t max_backends = 1000;

} // namespace cicadahatch::settings
