#pragma once

#include "src/core/identifiers.hpp"

#include <vector>

namespace cicadahatch::scheduling {

/// \brief Orders daemons by rendezvous hashing: the first is the cell's home, the second takes
/// over from it. Removing a daemon moves no cell that it was not the home of.
/// \param daemons the live daemons of the cell's failure domain
/// \param count longest wanted result
[[nodiscard]] std::vector<daemon_id>
cell_homes(const cell_id& cell, const std::vector<daemon_id>& daemons, std::size_t count = 2);

} // namespace cicadahatch::scheduling
