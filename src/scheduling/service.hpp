#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"

namespace cicadahatch::scheduling {

/// \brief Targets and shares of a service in one rank.
struct rank_spec {
    duration first_token{0};    ///< target
    duration between_tokens{0}; ///< target
    double share = 1;           ///< weight among the services of the same rank
    double floor = 0;           ///< fraction of the cell guaranteed to the rank under overload
    double level_floor = 0; ///< fraction guaranteed to each level of the service after the first
};

/// \brief A service that the cell's engines run.
struct service_spec {
    service_id id;
    rank_spec urgent;
    rank_spec deferrable;
};

} // namespace cicadahatch::scheduling
