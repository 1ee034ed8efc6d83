#pragma once

#include "src/scheduling/cell_state.hpp"
#include "src/scheduling/error.hpp"

namespace cicadahatch::scheduling::internal {

/// \brief Takes a waiting request from its queue and leaves its refusal for the next hand-out.
void refuse(cell_state& state, const request_id& request, errc reason, duration retry_after);

} // namespace cicadahatch::scheduling::internal
