#pragma once

#include "src/rpc/messages.hpp"
#include "src/scheduling/grant.hpp"

#include <map>
#include <vector>

namespace cicadahatch::serving {

/// \brief The grants that homes have copied to this daemon, their next in line. Used under its
/// owner's lock.
///
/// A lost copy leaves grants unknown here until the next whole copy, or keeps ended ones, whose
/// cancelling does no harm.
/// \sa next_copy()
class copied_grants {
public:
    /// \brief Takes in a copy.
    void take(const rpc::copy_grants& copied);

    /// \brief Ends the book of a cell, whose home this daemon has become.
    /// \param live the live daemons
    /// \returns the grants whose holder is not among them
    [[nodiscard]] std::vector<scheduling::grant> take_orphans(const cell_id& cell,
                                                              const std::vector<daemon_id>& live);

private:
    std::map<cell_id, std::map<request_id, rpc::grant_record>> records_;
};

} // namespace cicadahatch::serving
