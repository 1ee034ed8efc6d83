#pragma once

#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"
#include "src/serving/backend_directory.hpp"

namespace cicadahatch::serving::internal {

/// \brief Takes an engine's cached prefixes into its cell. If the engine's load report tells of
/// changes after them, the cell's view of the engine is dropped until the next content comes.
void ingest_cache(scheduling::cell_state& state, const scheduling::cell_policy& policy,
                  const backend_row& server);

} // namespace cicadahatch::serving::internal
