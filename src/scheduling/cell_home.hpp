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

/// \brief A daemon that may be home of a cell that spans failure domains.
struct home_candidate {
    daemon_id daemon;
    domain_id domain; ///< empty: not known
};

/// \brief Orders daemons as cell_homes() does, but takes the first of each failure domain only: if
/// a domain is lost or cut off, the daemons of every other one still reach one of these homes.
/// \param least results wanted; where there are fewer domains, the daemons next in order follow
[[nodiscard]] std::vector<daemon_id>
spread_homes(const cell_id& cell, const std::vector<home_candidate>& daemons, std::size_t least);

} // namespace cicadahatch::scheduling
