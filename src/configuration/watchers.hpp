#pragma once

#include "src/configuration/constants.hpp"
#include "src/core/identifiers.hpp"

#include <vector>

namespace cicadahatch::configuration {

/// \brief A live daemon of the failure domain.
struct watch_candidate {
    daemon_id id;
    bool reaches_store = true; ///< as the daemon itself last reported
};

/// \brief Whether a daemon is among those that watch the store for their failure domain.
///
/// The ones chosen are the first by rendezvous rank, so each daemon that leaves or joins changes
/// one place at most. Daemons that don't reach the store come last. A daemon whose view of the
/// members differs for a while only watches beside the others.
/// \param live the live daemons of the domain; self counts as live even if missing
[[nodiscard]] bool is_watcher(const daemon_id& self, const std::vector<watch_candidate>& live,
                              std::size_t watchers = watchers_per_domain);

/// \brief Orders peers for asking them for a change: the watchers first, who have it soonest.
/// Each daemon begins with another one of them, so that they share the work.
/// \param peers live daemons other than self
[[nodiscard]] std::vector<daemon_id> exchange_order(const daemon_id& self,
                                                    std::vector<daemon_id> peers);

} // namespace cicadahatch::configuration
