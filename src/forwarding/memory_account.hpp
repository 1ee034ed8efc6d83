#pragma once

#include "src/core/clock.hpp"
#include "src/core/strong_id.hpp"
#include "src/core/table.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cicadahatch::forwarding {

/// A request that is being read from a caller.
using reading_id = number_id<struct reading_tag, std::uint64_t>;

/// \brief Memory of a request that is being read, and its progress.
struct reading {
    reading_id id;
    std::size_t bytes = 0;    ///< memory held
    std::size_t received = 0; ///< since progress was last recorded
    time_point progressed_at;
};

/// \brief The memory that a process holds for its callers.
///
/// Load answered: callers that send many bodies at once and stop short of their end. Requests that
/// are being read give way to others; requests in progress and responses don't.
struct memory_account {
    std::size_t limit = 32UL * 1024 * 1024;
    std::size_t held = 0; ///< by requests in progress and by responses
    std::size_t read = 0; ///< by all readings
    table<reading_id, reading> readings;
    std::uint64_t last_reading = 0;
};

/// \brief Whether memory was granted, and the readings that were evicted for it.
struct memory_grant {
    bool is_granted = false;
    std::vector<reading_id> evicted;
};

/// \returns the identifier of a request whose first bytes have arrived
[[nodiscard]] reading_id begin_reading(memory_account& account, time_point now);

/// \brief Releases the memory of a reading. Does nothing if it was evicted.
void end_reading(memory_account& account, reading_id id);

/// \brief Records bytes received from the caller.
void record_received(memory_account& account, reading_id id, std::size_t bytes, time_point now);

/// \brief Changes the memory of a reading, if necessary by evicting others: those without progress,
/// the largest first, then the youngest of those that are larger.
[[nodiscard]] memory_grant resize_reading(memory_account& account, reading_id id, std::size_t bytes,
                                          time_point now);

/// \brief Takes memory for a request in progress, if necessary by evicting readings.
[[nodiscard]] memory_grant hold(memory_account& account, std::size_t bytes, time_point now);

/// \brief Takes memory that can't be refused, such as for a response that is ready.
void hold_unconditionally(memory_account& account, std::size_t bytes);

/// \brief Returns memory that was held.
void release(memory_account& account, std::size_t bytes);

/// \brief Evicts the reading that has been without progress for longest, to make room for another
/// connection.
/// \returns nothing if all make progress
[[nodiscard]] std::vector<reading_id> evict_stalled(memory_account& account, time_point now);

} // namespace cicadahatch::forwarding
