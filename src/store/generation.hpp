#pragma once

#include "src/core/identifiers.hpp"

#include <cstdint>

namespace cicadahatch::store {

/// Counts how often the key-value service has come back from an older copy of its data. Empty: the
/// service states none.
using generation = number_id<struct generation_tag, std::uint32_t>;

/// Bits of a revision below its generation. With generations below 8192 revisions stay below 2^53,
/// which every JSON implementation represents exactly.
inline constexpr unsigned counter_bits = 40;

inline constexpr std::uint64_t max_counter = (std::uint64_t{1} << counter_bits) - 1;
inline constexpr std::uint32_t max_generation = (std::uint32_t{1} << (64U - counter_bits)) - 1;

/// \brief Puts the generation above the counter of the service, which goes back with the data.
/// Revisions of a later generation are therefore greater, and no revision is given out twice.
/// \param counter at most max_counter, unless the generation is empty
[[nodiscard]] constexpr revision make_revision(generation stated, std::uint64_t counter) {
    return revision{(std::uint64_t{stated.value()} << counter_bits) | counter};
}

[[nodiscard]] constexpr generation generation_of(revision stamped) {
    return generation{static_cast<std::uint32_t>(stamped.value() >> counter_bits)};
}

/// \returns the revision as the service counts it
[[nodiscard]] constexpr std::uint64_t counter_of(revision stamped) {
    return stamped.value() & max_counter;
}

} // namespace cicadahatch::store
