#pragma once

#include "src/http/client_pool.hpp"
#include "src/membership/agent.hpp"
#include "src/serving/backend_directory.hpp"
#include "src/store/vm_list.hpp"

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cicadahatch::serving {

/// \brief Takes backend servers on VMs that the platform lists as leaving out of use, here and
/// through gossip at all daemons. Used by one thread.
class vm_list_follower {
public:
    /// \param platform where the VM list is read
    /// \param directory,gossip outlive this object
    vm_list_follower(std::vector<http::endpoint> platform, backend_directory& directory,
                     membership::agent& gossip);

    /// \brief Reads the list once; does nothing if the platform does not answer.
    void look();

private:
    void note(const store::vm_list& listed);
    /// Whether this daemon or another has told that the server leaves because this VM does.
    [[nodiscard]] bool is_known_to_leave(const backend_id& server,
                                         const store::virtual_machine& vm) const;
    void note_leaving(const backend_row& server, const store::virtual_machine& vm);

    store::vm_list_client client_;
    backend_directory& directory_;
    membership::agent& gossip_;
    http::client_pool pool_;
    std::set<std::pair<std::string, backend_id>> told_; ///< VMs and the servers on them
};

} // namespace cicadahatch::serving
