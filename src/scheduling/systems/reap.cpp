#include "src/scheduling/systems/reap.hpp"

#include "src/scheduling/internal/engine_health.hpp"
#include "src/scheduling/internal/fair_queue.hpp"
#include "src/scheduling/internal/reservation.hpp"

#include <algorithm>
#include <vector>

namespace cicadahatch::scheduling::systems {

namespace {

void reap_timed_out_owners(cell_state& state, const cell_policy& policy, time_point now,
                           tick_output& output) {
    std::vector<request_id> timed_out;
    for (const live_grant& held : state.grants.rows()) {
        if (now - held.last_heartbeat > policy.owner_timeout) {
            timed_out.push_back(held.id);
        }
    }
    for (const request_id& request : timed_out) {
        output.reaped.push_back(internal::free_grant(state, request, now).issued);
    }
}

void record_stuck_grants(cell_state& state, const cell_policy& policy, time_point now) {
    for (live_grant& held : state.grants.rows()) {
        const bool is_stuck = held.stage != stage::decode && now > held.stuck_deadline;
        if (!is_stuck || held.is_reported_stuck) {
            continue;
        }
        held.is_reported_stuck = true;
        const bool is_prefill = held.stage == stage::prefill && !held.issued.prefill.empty();
        const backend_id& failed_engine = is_prefill ? held.issued.prefill : held.issued.decode;
        internal::record_failure(state, policy, failed_engine, now);
    }
}

/// \returns the earliest time at which a present or later grant can time out. Heartbeats only move
/// the owner's timeout back.
time_point next_timeout(const cell_state& state, const cell_policy& policy, time_point now) {
    time_point timeout = now + policy.owner_timeout;
    for (const live_grant& held : state.grants.rows()) {
        timeout = std::min(timeout, held.last_heartbeat + policy.owner_timeout);
        if (held.stage != stage::decode && !held.is_reported_stuck) {
            timeout = std::min(timeout, held.stuck_deadline);
        }
    }
    return timeout;
}

void remove_unlisted_engines(cell_state& state) {
    state.engines.erase_if([](const engine& instance) {
        return instance.is_unlisted && instance.prefills == 0 && instance.streams == 0;
    });
}

} // namespace

void reap(cell_state& state, const cell_policy& policy, time_point now, tick_output& output) {
    // Scanning all grants in every tick would dominate the cost of a tick in a large cell.
    if (now >= state.next_timeout_check) {
        reap_timed_out_owners(state, policy, now, output);
        record_stuck_grants(state, policy, now);
        state.next_timeout_check = next_timeout(state, policy, now);
    }
    remove_unlisted_engines(state);
    internal::remove_idle_teams(state);
}

} // namespace cicadahatch::scheduling::systems
