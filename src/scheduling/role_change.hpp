#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace cicadahatch::scheduling {

/// \brief Smoothed use of a cell's two pools and when a role last changed. The engines are those
/// that can take work.
struct role_balance {
    double prefill_use = 0; ///< demanded over supplied prefill seconds, smoothed
    double decode_use = 0;  ///< demanded over supplied slot seconds, smoothed
    std::uint32_t prefill_engines = 0;
    std::uint32_t decode_engines = 0;
    std::optional<time_point> pressed_since; ///< since when one pool has been the pressed one
    backend_role pressed = backend_role::plain;
    std::optional<time_point> changed_at;
};

/// \brief Hysteresis of role changes.
struct role_rule {
    double pressed_use = 0.9; ///< a pool above this is pressed
    double idle_use = 0.6;    ///< the other must stay below this after giving an engine
    duration settled = std::chrono::seconds{30}; ///< how long the pressure must last
    /// The same for a pool without engines. Longer than the first ejection with its probe.
    duration settled_without_engine = std::chrono::seconds{3};
    duration spacing = std::chrono::seconds{120};  ///< between two changes
    duration smoothing = std::chrono::seconds{10}; ///< time constant of the use
};

/// \brief Takes in one observation of both pools.
void observe_use(role_balance& balance, const role_rule& rule, double prefill_use,
                 double decode_use, duration since_last, time_point now);

/// \brief Decides on a change of role. A pool without engines is pressed whatever its use, and any
/// pool of two engines may give it one: the cell serves nothing without it.
/// \returns the role that one engine of the other role should take, if any
[[nodiscard]] std::optional<backend_role> wanted_role_change(const role_balance& balance,
                                                             const role_rule& rule, time_point now);

} // namespace cicadahatch::scheduling
