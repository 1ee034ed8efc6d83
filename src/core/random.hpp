#pragma once

#include "src/core/clock.hpp"

#include <cstdint>
#include <pcg_random.hpp>
#include <string>

namespace cicadahatch {

/// \brief A seeded generator; equal seeds give equal sequences on every machine.
/// Not safe for use from several threads at once.
class random_source {
public:
    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    /// \param limit exclusive upper bound; not zero
    /// \returns a uniform number below limit
    [[nodiscard]] std::uint64_t below(std::uint64_t limit);

    /// \returns a uniform number in [0, 1)
    [[nodiscard]] double unit();

    /// \returns true with the given probability
    [[nodiscard]] bool chance(double probability) { return unit() < probability; }

    /// \param mean the mean of the exponential distribution
    [[nodiscard]] duration exponential(duration mean);

    /// \returns a time drawn uniformly from half of base up to base
    [[nodiscard]] duration jittered(duration base);

private:
    pcg64 engine_;
};

/// \returns 128 bits of the operating system's randomness as 32 hexadecimal digits
[[nodiscard]] std::string unique_token();

} // namespace cicadahatch
