#pragma once

#include "src/balancing/request_limit.hpp"
#include "src/balancing/server_pace.hpp"
#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/core/table.hpp"

#include <cstdint>
#include <optional>

namespace cicadahatch::balancing {

/// \brief Load and health of one backend server, as seen from this daemon's own requests.
struct backend_load {
    backend_id id;
    incarnation started;
    std::uint32_t running = 0;         ///< requests and streams sent by this daemon
    std::uint32_t prefills = 0;        ///< prefills of this daemon in flight
    std::uint64_t reserved_tokens = 0; ///< engine memory reserved by this daemon, in tokens
    duration prefill_time{0};          ///< moving average of this daemon's prefill durations
    std::uint32_t consecutive_failures = 0;
    time_point ejected_until;
    time_point full_until;              ///< the engine has just rejected a reservation
    time_point backoff_until;           ///< the server has asked for no requests
    std::optional<request_limit> limit; ///< stated by the server
    server_pace pace;
    duration answer_time{0}; ///< moving average of the times to complete answers
};

using load_table = table<backend_id, backend_load>;

/// \returns the entry of a backend server, created on first use and reset when the incarnation
/// changes
[[nodiscard]] backend_load& load_of(load_table& loads, const backend_id& id, incarnation started);

/// \brief When to eject a failing backend server, and for how long.
struct ejection_policy {
    std::uint32_t failures = 2; ///< consecutive; a single one may be just a lost connection
    duration period = std::chrono::milliseconds{1500};
    bool starts_slowly = false; ///< whether a server begins slowly after its ejection
};

/// \brief Resets the failure count and ends an ejection.
void record_success(backend_load& load);

/// \brief Counts a failed exchange and ejects the backend server after several consecutive ones.
/// \returns whether this failure ejected the server
bool record_failure(backend_load& load, const ejection_policy& policy, time_point now);

/// \brief Records that a backend server has asked for no requests until the given time.
/// \returns whether this extends an earlier backoff
bool extend_backoff(backend_load& load, time_point until);

/// \brief Records the request limit stated in a response.
/// \param daemons number of daemons that share the limit
/// \returns whether the limit differs from the one known before
bool state_limit(backend_load& load, double requests_per_second, std::size_t daemons,
                 random_source& random, time_point now);

/// \brief Records a response without a request limit. It lifts the limit if the request was sent
/// after the latest response that stated it; an earlier one may have been overtaken.
/// \returns whether this lifted the limit
bool lift_limit(backend_load& load, time_point sent_at);

/// \brief Records the time of a complete answer.
/// \returns whether it took no more than twice the usual time
bool record_answer_time(backend_load& load, duration elapsed);

/// \brief Updates the moving average of the prefill duration.
void record_prefill(backend_load& load, duration elapsed);

} // namespace cicadahatch::balancing
