#pragma once

#include "src/core/clock.hpp"
#include "src/core/random.hpp"

namespace cicadahatch::store {

/// \brief When a circuit opens, and for how long.
struct circuit_limits {
    int failures_to_open = 5;
    duration first_pause = std::chrono::milliseconds{500};
    duration longest_pause = std::chrono::seconds{30};
};

/// \brief A circuit breaker: after failures in a row calls are held back for a growing, jittered
/// time, then one probe decides.
struct circuit {
    circuit_limits limits;
    int failures = 0;        ///< in a row
    duration pause{0};       ///< of the present opening; zero: closed
    time_point probe_at{};   ///< when the next probe may go
    bool is_probing = false; ///< a probe is on its way
};

[[nodiscard]] bool is_open(const circuit& breaker);

/// \returns whether a call may go now; an open circuit lets one probe through when it is due
[[nodiscard]] bool try_pass(circuit& breaker, time_point now);

/// \returns whether the circuit has closed by this
bool record_success(circuit& breaker);

void record_failure(circuit& breaker, time_point now, random_source& random);

} // namespace cicadahatch::store
