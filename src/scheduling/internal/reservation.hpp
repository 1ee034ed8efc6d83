#pragma once

#include "src/scheduling/cell_state.hpp"

namespace cicadahatch::scheduling::internal {

/// \brief Reserves what a grant needs and adds it to the table.
void reserve(cell_state& state, live_grant held, time_point now);

/// \brief Frees everything that a grant holds and takes it from the table.
/// \returns the freed grant; the identifier must hold one
live_grant free_grant(cell_state& state, const request_id& request, time_point now);

/// \brief Ends the prefill part of a grant.
void end_prefill(cell_state& state, live_grant& held, time_point now);

/// \brief Moves a grant into the decode stage.
void begin_decode(cell_state& state, live_grant& held, time_point now);

} // namespace cicadahatch::scheduling::internal
