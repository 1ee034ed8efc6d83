#pragma once

#include <cstdint>
#include <string_view>

namespace cicadahatch {

/// \brief A hash that is the same in every process and build (XXH3, 64 bits).
/// \param bytes what to hash
/// \param seed selects one of many independent hashes
[[nodiscard]] std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0) noexcept;

} // namespace cicadahatch
