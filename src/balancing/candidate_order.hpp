#pragma once

#include "src/balancing/backend_load.hpp"
#include "src/core/random.hpp"
#include "src/discovery/backend.hpp"

#include <vector>

namespace cicadahatch::balancing {

using candidate_list = std::vector<const discovery::backend*>;

/// \brief Inputs of a selection besides the candidates.
struct selection_context {
    load_table& loads;
    random_source& random;
    domain_id own_domain; ///< failure domain of this daemon
    time_point now;
};

/// \brief Sorts the servers of a plain service by slot utilization, lowest first. Ties go to the
/// own failure domain.
///
/// Serves ordinary load and bursts below the service's capacity. Each daemon sees only its own
/// requests, so remaining ties are broken at random. A server that starts slowly is first in a part
/// of the choices only, unless all others are full. Ejected servers come last instead of being
/// dropped, so that a service whose servers have all failed is still tried.
[[nodiscard]] candidate_list sort_plain_servers(const candidate_list& candidates,
                                                const selection_context& context);

/// \brief Sorts decode engines by the memory that this daemon has reserved on them, lowest first.
/// Ejected engines and those that have just rejected a reservation are omitted.
[[nodiscard]] candidate_list sort_decode_engines(candidate_list candidates,
                                                 const selection_context& context);

/// \brief Sorts prefill engines by the expected completion time of one more prefill, lowest first.
/// Ejected engines come last.
[[nodiscard]] candidate_list sort_prefill_engines(const candidate_list& candidates,
                                                  const selection_context& context);

} // namespace cicadahatch::balancing
