#pragma once

#include "src/rpc/messages.hpp"
#include "src/scheduling/grant.hpp"

#include <map>
#include <vector>

namespace cicadahatch::serving {

/// \brief The grants that homes have copied to this daemon, their next in line. Used under its
/// owner's lock.
///
/// A grant is kept until its holder has registered with this daemon as the new home or has died:
/// the deaths of a home and of a holder that went together are learnt one after the other, in any
/// order. A lost copy leaves grants unknown here until the next whole copy, or keeps ended ones,
/// whose cancelling does no harm.
/// \sa next_copy()
class copied_grants {
public:
    /// \brief Takes in a copy.
    void take(const rpc::copy_grants& copied);

    /// \brief Notes that a daemon holds nothing any more of what was copied until now.
    void note_death(const daemon_id& dead);

    /// \brief Forgets the grants of a cell that their holder has registered itself.
    void note_registered(const cell_id& cell, const daemon_id& holder);

    /// \brief Takes out what nobody holds of a cell whose home this daemon has become.
    /// \param live the live daemons
    /// \returns the grants whose holder has died or is not among them
    [[nodiscard]] std::vector<scheduling::grant> take_orphans(const cell_id& cell,
                                                              const std::vector<daemon_id>& live);

    /// \brief Takes out what nobody holds of a cell whose home this daemon is.
    /// \returns the grants whose holder has died
    [[nodiscard]] std::vector<scheduling::grant> take_orphans(const cell_id& cell);

private:
    struct copied_grant {
        rpc::grant_record record;
        bool is_holder_dead = false;
    };

    std::map<cell_id, std::map<request_id, copied_grant>> grants_;
};

} // namespace cicadahatch::serving
