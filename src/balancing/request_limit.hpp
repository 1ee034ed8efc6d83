#pragma once

#include "src/core/clock.hpp"
#include "src/core/random.hpp"

#include <cstddef>
#include <cstdint>

namespace cicadahatch::balancing {

/// \brief A request limit that a backend server has stated, and this daemon's use of its share.
///
/// The daemons divide the limit equally, without messages. Each daemon's time is divided into slots
/// of the length at which one request per slot and daemon adds up to the limit. Slots start at a
/// random offset, so that those of many daemons do not coincide. A slot that is not used within
/// slot_validity of its start lapses: otherwise idle daemons would accumulate permissions and could
/// use them all at once.
struct request_limit {
    double requests_per_second = 0; ///< from all daemons together
    time_point stated_at;           ///< time of the latest response that stated it
    double position = 0;            ///< progress of time, in slots
    time_point position_at;         ///< time of the position
    std::int64_t next_slot = 0;     ///< first slot that is not used
};

/// Time from the start of a slot during which it may be used. Limits are stated per second, so a
/// server is expected to take a second's requests at once.
inline constexpr std::chrono::milliseconds slot_validity{1000};

/// \brief Starts the use of a limit.
/// \param requests_per_second not negative
[[nodiscard]] request_limit make_request_limit(double requests_per_second, random_source& random,
                                               time_point now);

/// \brief Changes the stated rate; slots that were used stay used.
/// \param daemons number of daemons that share the limit
void set_rate(request_limit& limit, double requests_per_second, std::size_t daemons,
              time_point now);

/// \returns whether this daemon may send a request now
[[nodiscard]] bool allows_request(request_limit& limit, std::size_t daemons, time_point now);

/// \returns the time until this daemon may send a request; zero if it may now
[[nodiscard]] duration time_until_allowed(request_limit& limit, std::size_t daemons,
                                          time_point now);

/// \brief Counts a request. One that was not allowed, such as a cancel that can't wait, uses up the
/// next slot.
void charge_request(request_limit& limit, std::size_t daemons, time_point now);

} // namespace cicadahatch::balancing
