#pragma once

#include "src/balancing/backend_load.hpp"
#include "src/core/random.hpp"
#include "src/discovery/backend.hpp"

#include <vector>

namespace cicadahatch::balancing {

using candidate_list = std::vector<const discovery::backend*>;

/// \brief What a choice depends on beside the candidates.
struct selection_context {
    load_table& loads;
    random_source& random;
    domain_id own_domain;
    time_point now;
};

/// \brief Orders the servers of a plain service: the one with most free slots first, and of equals
/// one of the own failure domain.
///
/// Answers the ordinary load and bursts below the service's capacity. Each daemon sees only its own
/// requests, so equals are taken in random order. Ejected servers stand last, so that a service
/// whose servers have all failed is still tried.
[[nodiscard]] candidate_list sort_plain_servers(const candidate_list& candidates,
                                                const selection_context& inputs);

/// \brief Orders decode engines by the memory that this daemon holds there, least first.
/// Ejected engines and those that have just refused a place are left out.
[[nodiscard]] candidate_list sort_decode_engines(candidate_list candidates,
                                                 const selection_context& inputs);

/// \brief Orders prefill engines by the time in which they would finish one more prefill.
/// Ejected engines stand last.
[[nodiscard]] candidate_list sort_prefill_engines(const candidate_list& candidates,
                                                  const selection_context& inputs);

} // namespace cicadahatch::balancing
