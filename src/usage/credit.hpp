#pragma once

#include "src/core/clock.hpp"

#include <chrono>
#include <cstdint>

namespace cicadahatch::usage {

/// Time for which a daemon keeps prepaid units.
inline constexpr std::chrono::milliseconds credit_lifetime{2000};

/// \brief Units of one team that a daemon has obtained in advance for its plain requests.
///
/// Load answered: many small requests, each of which would otherwise ask the home.
struct credit {
    std::uint64_t units = 0; ///< obtained and not used
    time_point expires_at;
    std::uint64_t used = 0;        ///< in the current period
    std::uint64_t used_before = 0; ///< in the period before
    time_point period_began;
};

/// \brief Uses prepaid units.
/// \returns whether there were enough
[[nodiscard]] bool spend(credit& prepaid, std::uint64_t units, time_point now);

/// \brief Records that units were used, so that as many are obtained in advance.
void record_use(credit& prepaid, std::uint64_t units, time_point now);

/// \brief Adds obtained units and starts their lifetime anew.
void add(credit& prepaid, std::uint64_t units, time_point now);

/// \returns the units to ask for in advance: as many as were used in the last period
[[nodiscard]] std::uint64_t prepayment(const credit& prepaid, time_point now);

/// \returns units whose lifetime has ended, to be returned to the home
[[nodiscard]] std::uint64_t take_expired(credit& prepaid, time_point now);

} // namespace cicadahatch::usage
