#include "src/membership/gossip_state.hpp"

#include "src/core/macros.hpp"
#include "src/membership/constants.hpp"

#include <utility>

namespace cicadahatch::membership {

gossip_state make_gossip_state(member_record self, std::vector<http::endpoint> seeds,
                               std::uint64_t random_seed, time_point now) {
    CICADAHATCH_ASSERT(!self.id.empty(), member_has_a_name);
    CICADAHATCH_ASSERT(!self.started.empty(), member_has_an_incarnation);
    gossip_state state{random_seed};
    state.self = std::move(self);
    state.seeds = std::move(seeds);
    state.due.last_step = now;
    state.due.heartbeat = now;
    state.due.bridge = now + state.random.jittered(bridge_period);
    state.due.sync = now + state.random.jittered(sync_period);
    state.due.seed = now;
    state.due.dead_contact = now + state.random.jittered(dead_contact_period);
    state.push_allowance = push_burst_bytes;
    return state;
}

} // namespace cicadahatch::membership
