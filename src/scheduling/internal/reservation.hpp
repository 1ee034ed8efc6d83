#pragma once

#include "src/scheduling/cell_state.hpp"

namespace cicadahatch::scheduling::internal {

/// \brief Reserves the resources of a grant and adds it to the table.
void reserve(cell_state& state, live_grant held, time_point now);

/// \brief Frees the resources of a grant and removes it from the table. The grant must exist.
/// \returns the removed grant
live_grant free_grant(cell_state& state, const request_id& request, time_point now);

/// \brief Frees the prefill engine of a grant and moves the grant into the transfer stage.
void end_prefill(cell_state& state, live_grant& held, time_point now);

/// \brief Moves a grant into the decode stage.
void begin_decode(cell_state& state, live_grant& held, time_point now);

} // namespace cicadahatch::scheduling::internal
