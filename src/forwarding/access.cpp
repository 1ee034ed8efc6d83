#include "src/forwarding/access.hpp"

namespace cicadahatch::forwarding {

namespace {

bool is_access_withdrawn(const gateway_state& state, const request_context& request) {
    const bool is_unchanged = state.table.get() == &request.table();
    if (is_unchanged || request.owner() == nullptr || !state.table->has_teams()) {
        return false;
    }
    if (!request.table().requires_key(request.route())) {
        return false;
    }
    const routing::team* owner = state.table->find_team(*request.metadata().key);
    return owner == nullptr || owner->id != request.owner()->id;
}

} // namespace

access_decision check_access(const gateway_state& state, const routing::route& route,
                             const request_metadata& metadata) {
    access_decision decision;
    if (!state.table->has_teams()) {
        return decision;
    }
    if (metadata.key) {
        decision.owner = state.table->find_team(*metadata.key);
    }
    if (!state.table->requires_key(route)) {
        return decision;
    }
    // An unknown key may have been added since, so its request is not rejected for good either.
    if (discovery::is_outdated(state.configuration_age, state.lease_time.now())) {
        decision.result = access::outdated;
    } else if (decision.owner == nullptr) {
        decision.result = access::unknown_key;
    }
    return decision;
}

void end_if_access_withdrawn(gateway_state& state, request_context& request) {
    if (request.is_ended() || !is_access_withdrawn(state, request)) {
        return;
    }
    state.log.write(logging::weight::notable, "request.access_withdrawn",
                    {{"request", request.metadata().id.str()},
                     {"team", request.owner()->id.str()},
                     {"admitted_version", request.table().version()},
                     {"version", state.table->version()}});
    request.end(request_end_reason::access_withdrawn);
}

} // namespace cicadahatch::forwarding
