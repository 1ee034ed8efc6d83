#include "src/serving/vm_list_follower.hpp"

#include "src/engines/calls.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace cicadahatch::serving {

namespace {

/// \returns the incarnation that runs; asks the server if this daemon has had no report of it
incarnation incarnation_of(const backend_row& server, http::client_pool& pool) {
    if (!server.started.empty()) {
        return server.started;
    }
    const auto load = engines::fetch_load(pool, server.place);
    return load ? load->started : incarnation{};
}

} // namespace

vm_list_follower::vm_list_follower(std::vector<http::endpoint> platform,
                                   backend_directory& directory, membership::agent& gossip)
    : client_(std::move(platform)), directory_(directory), gossip_(gossip) {}

void vm_list_follower::look() {
    if (const auto listed = client_.fetch()) {
        note(*listed);
    }
}

void vm_list_follower::note(const store::vm_list& listed) {
    for (const store::virtual_machine& vm : listed) {
        if (vm.state != store::vm_state::leaving) {
            continue;
        }
        const auto is_on_vm = [&](const backend_row& server) {
            return to_string(server.place) == vm.address || server.place.host == vm.address;
        };
        for (const backend_row& server : directory_.select(is_on_vm)) {
            // A VM leaves once; what is restarted at its address later is on another one.
            if (!is_known_to_leave(server.id, vm)) {
                note_leaving(server, vm);
            }
        }
    }
}

bool vm_list_follower::is_known_to_leave(const backend_id& server,
                                         const store::virtual_machine& vm) const {
    if (told_.count({vm.id, server}) != 0) {
        return true;
    }
    const auto told = gossip_.payloads(rpc::payload_kind::leaving_backend);
    return std::any_of(told.begin(), told.end(), [&](const rpc::payload& value) {
        return value.key == server.str() && value.value == vm.id;
    });
}

void vm_list_follower::note_leaving(const backend_row& server, const store::virtual_machine& vm) {
    const incarnation started = incarnation_of(server, pool_);
    if (started.empty()) {
        return; // It does not answer, or reports no load; the next look asks again.
    }
    LOG(INFO) << "platform: backend server " << server.id.str() << " is leaving";
    told_.insert({vm.id, server.id});
    directory_.note_leaving(server.id, started);
    gossip_.set_payload(rpc::payload_kind::leaving_backend, server.id.str(), started.value(),
                        vm.id);
}

} // namespace cicadahatch::serving
