#pragma once

#include "src/core/identifiers.hpp"

#include <vector>

namespace cicadahatch::scheduling {

/// \brief Orders daemons by rendezvous hashing. The first is the cell's home, the second is its
/// successor. Removing a daemon moves only the cells whose home it was.
/// \param daemons the live daemons of the cell's failure domain
/// \param count maximum number of results
[[nodiscard]] std::vector<daemon_id>
cell_homes(const cell_id& cell, const std::vector<daemon_id>& daemons, std::size_t count = 2);

/// \brief A daemon that may become the home of a cell that spans failure domains.
struct home_candidate {
    daemon_id daemon;
    domain_id domain; ///< empty: unknown
};

/// \brief Orders daemons as cell_homes() does, but takes only the first of each failure domain. If
/// a domain fails or is partitioned, the daemons of every other domain still reach one of the
/// homes. \param min_count minimum number of results; with fewer domains, the next daemons in order
/// are added
[[nodiscard]] std::vector<daemon_id> spread_homes(const cell_id& cell,
                                                  const std::vector<home_candidate>& daemons,
                                                  std::size_t min_count);

} // namespace cicadahatch::scheduling
