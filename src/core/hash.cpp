#include "src/core/hash.hpp"

#include <xxhash.h>

namespace cicadahatch {

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed) noexcept {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace cicadahatch
