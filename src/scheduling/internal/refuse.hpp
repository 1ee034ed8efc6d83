#pragma once

#include "src/scheduling/cell_state.hpp"
#include "src/scheduling/error.hpp"

namespace cicadahatch::scheduling::internal {

/// \brief Removes a waiting request from its queue and adds a refusal to pending_refusals.
void refuse(cell_state& state, const request_id& request, errc reason, duration retry_after);

} // namespace cicadahatch::scheduling::internal
