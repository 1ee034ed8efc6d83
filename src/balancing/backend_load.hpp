#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/core/table.hpp"

#include <cstdint>

namespace cicadahatch::balancing {

/// \brief What this daemon knows of one backend server from its own requests.
struct backend_load {
    backend_id id;
    incarnation started;
    std::uint32_t running = 0;         ///< requests and streams of this daemon
    std::uint32_t prefills = 0;        ///< prefills of this daemon under way
    std::uint64_t reserved_tokens = 0; ///< engine memory reserved by this daemon
    duration prefill_time{0};          ///< moving average over this daemon's prefills
    std::uint32_t consecutive_failures = 0;
    time_point ejected_until;
    time_point full_until;    ///< it has just refused a place
    time_point backoff_until; ///< it has asked this daemon to send nothing
};

using load_table = table<backend_id, backend_load>;

/// \returns the row of a process of a backend server; one of an earlier process starts anew
[[nodiscard]] backend_load& load_of(load_table& loads, const backend_id& id, incarnation started);

/// \brief Bounds on keeping failing backend servers out.
struct ejection_policy {
    std::uint32_t failures = 2; ///< in a row; one may be a single lost connection
    duration period = std::chrono::milliseconds{1500};
};

/// \brief Ends the ejection: the backend server has answered.
void record_success(backend_load& load);

/// \brief Counts a failed exchange and ejects the backend server after several in a row.
/// \returns whether it was ejected by this
bool record_failure(backend_load& load, const ejection_policy& rules, time_point now);

/// \brief Notes that a backend server wants nothing from this daemon for a while.
/// \returns whether that is longer than it had asked for before
bool extend_backoff(backend_load& load, time_point until);

/// \brief Takes a prefill's duration into the moving average.
void record_prefill(backend_load& load, duration taken);

} // namespace cicadahatch::balancing
