#pragma once

#include "src/core/clock.hpp"
#include "src/rpc/messages.hpp"
#include "src/scheduling/cell_state.hpp"

#include <optional>
#include <set>

namespace cicadahatch::serving {

/// \brief What a home has told the next home in line of one cell's grants.
struct copy_progress {
    std::uint64_t sequence = 0;  ///< of the last copy
    daemon_id successor;         ///< whom it went to
    std::set<request_id> copied; ///< the grants that the successor holds
    time_point whole_copy_at;
    bool is_whole_due = false; ///< the successor has not got a copy that went to it
};

/// \brief Makes the next copy of a cell's grants: what has changed since the last one, or all of
/// them for a new successor, for one that has missed a copy and every ten seconds.
/// \returns nothing if the successor knows all
/// \sa copied_grants
[[nodiscard]] std::optional<rpc::copy_grants> next_copy(copy_progress& told,
                                                        const scheduling::cell_state& cell,
                                                        const daemon_id& successor, time_point now);

} // namespace cicadahatch::serving
