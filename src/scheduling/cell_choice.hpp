#pragma once

#include "src/core/random.hpp"
#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"

#include <array>
#include <optional>
#include <vector>

namespace cicadahatch::scheduling {

/// \brief Compact summary of a cell's load, gossiped between daemons.
struct cell_digest {
    cell_id id;
    domain_id domain;
    model_id model;
    std::array<duration, rank_count> predicted_wait{}; ///< wait of a new request, by rank
    duration typical_first_token{0}; ///< time to first token of a typical request on an idle cell
    bool takes_work = true;
    time_point taken_at; ///< on the receiver's clock
};

/// \returns the digest of a cell as of its last tick
[[nodiscard]] cell_digest make_digest(const cell_state& state, const domain_id& domain,
                                      time_point now);

/// \brief The cell chosen for a request.
struct cell_target {
    cell_id cell;
    bool is_spilled = false; ///< the cell is in another failure domain
};

/// \brief The properties of a request that choose_cell() depends on.
struct choice_request {
    model_id model;
    cicadahatch::rank rank = cicadahatch::rank::deferrable;
    duration first_token{0};        ///< target time to first token
    duration elapsed{0};            ///< time since the request's arrival
    duration cross_domain_delay{0}; ///< added to the time to first token of remote cells
};

/// \brief Chooses a cell by the power of two choices.
///
/// Takes the cell with the shorter wait of two random cells in the daemon's own domain. If that
/// cell is full or can't meet the target, takes the better of two random cells in other domains,
/// but only if that cell meets the target. \returns nothing if no cell of the model takes work
[[nodiscard]] std::optional<cell_target> choose_cell(const std::vector<cell_digest>& digests,
                                                     const domain_id& own,
                                                     const choice_request& request,
                                                     random_source& random);

} // namespace cicadahatch::scheduling
