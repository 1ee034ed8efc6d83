#include "src/scheduling/systems/reap.hpp"

#include "src/scheduling/internal/engine_health.hpp"
#include "src/scheduling/internal/fair_queue.hpp"
#include "src/scheduling/internal/reservation.hpp"

#include <algorithm>
#include <vector>

namespace cicadahatch::scheduling::systems {

namespace {

void reap_silent(cell_state& state, const cell_policy& policy, time_point now,
                 tick_output& output) {
    std::vector<request_id> silent;
    for (const live_grant& held : state.grants.rows()) {
        if (now - held.heard_at > policy.owner_timeout) {
            silent.push_back(held.id);
        }
    }
    for (const request_id& request : silent) {
        output.reaped.push_back(internal::free_grant(state, request, now).issued);
    }
}

void note_stuck(cell_state& state, const cell_policy& policy, time_point now) {
    for (live_grant& held : state.grants.rows()) {
        const bool is_stuck = held.stage != stage::decode && now > held.stuck_at;
        if (!is_stuck || held.is_reported_stuck) {
            continue;
        }
        held.is_reported_stuck = true;
        const bool is_prefill = held.stage == stage::prefill && !held.issued.prefill.empty();
        const backend_id& blamed = is_prefill ? held.issued.prefill : held.issued.decode;
        internal::note_failure(state, policy, blamed, now);
    }
}

/// Signs of life only come later than noted, and later grants are heard of later than now.
time_point next_due(const cell_state& state, const cell_policy& policy, time_point now) {
    time_point due = now + policy.owner_timeout;
    for (const live_grant& held : state.grants.rows()) {
        due = std::min(due, held.heard_at + policy.owner_timeout);
        if (held.stage != stage::decode && !held.is_reported_stuck) {
            due = std::min(due, held.stuck_at);
        }
    }
    return due;
}

void drop_left_engines(cell_state& state) {
    state.engines.erase_if(
        [](const engine& on) { return on.is_unlisted && on.prefills == 0 && on.streams == 0; });
}

} // namespace

void reap(cell_state& state, const cell_policy& policy, time_point now, tick_output& output) {
    // Looking at every grant in every tick would cost more than all else in a large cell.
    if (now >= state.grants_due_at) {
        reap_silent(state, policy, now, output);
        note_stuck(state, policy, now);
        state.grants_due_at = next_due(state, policy, now);
    }
    drop_left_engines(state);
    internal::forget_idle_teams(state);
}

} // namespace cicadahatch::scheduling::systems
