#include "src/scheduling/internal/fair_queue.hpp"

#include "src/core/macros.hpp"

#include <algorithm>

namespace cicadahatch::scheduling::internal {

namespace {

void add_work(work_amount& to, const waiting_request& request) {
    to.prefill_seconds += request.prefill_seconds;
    to.slot_seconds += request.slot_seconds;
    ++to.requests;
}

void remove_work(work_amount& from, const waiting_request& request) {
    --from.requests;
    if (from.requests == 0) {
        from = {};
        return;
    }
    from.prefill_seconds = std::max(from.prefill_seconds - request.prefill_seconds, 0.0);
    from.slot_seconds = std::max(from.slot_seconds - request.slot_seconds, 0.0);
}

bool is_skipped(const skipped_teams& skipped, const service_id& service, const team_id& team) {
    return std::any_of(skipped.begin(), skipped.end(), [&](const auto& passed) {
        return passed.first == service && passed.second == team;
    });
}

const team_id* next_team(const service_queue& service, const skipped_teams& skipped) {
    for (const auto& [virtual_time, team] : service.backlogged) {
        if (!is_skipped(skipped, service.id, team)) {
            return &team;
        }
    }
    return nullptr;
}

/// Drops entries whose request has left; the team has at least one that has not.
const waiting_request& head_of(cell_state& state, team_queue& team) {
    while (true) {
        CICADAHATCH_ASSERT(!team.entries.empty(), backlogged_team_has_a_head);
        const queue_entry& entry = team.entries.front();
        const waiting_request* request = state.waiting.find(entry.request);
        if (request != nullptr && request->serial == entry.serial) {
            return *request;
        }
        team.entries.pop_front();
    }
}

void begin_backlog(rank_queue& queue, service_queue& service, team_queue& team) {
    if (service.backlogged.empty()) {
        service.virtual_time = std::max(service.virtual_time, queue.virtual_time);
    }
    team.virtual_time = std::max(team.virtual_time, service.team_virtual_time);
    service.backlogged.emplace(team.virtual_time, team.id);
}

void end_backlog(service_queue& service, team_queue& team) {
    service.backlogged.erase({team.virtual_time, team.id});
    team.entries.clear();
}

} // namespace

void enqueue(cell_state& state, waiting_request request) {
    rank_queue& queue = state.ranks[rank_index(request.spec.rank)];
    service_queue* service = queue.services.find(request.spec.service);
    CICADAHATCH_ASSERT(service != nullptr, queued_service_is_known);
    team_queue& team = service->teams[request.spec.team];
    team.id = request.spec.team;
    if (team.ahead.requests == 0) {
        begin_backlog(queue, *service, team);
    }
    team.entries.push_back({request.id, request.serial});
    add_work(team.ahead, request);
    add_work(queue.waiting, request);
    state.waiting.insert(std::move(request));
}

waiting_request dequeue(cell_state& state, const request_id& request) {
    waiting_request* found = state.waiting.find(request);
    CICADAHATCH_ASSERT(found != nullptr, dequeued_request_is_waiting);
    waiting_request taken = std::move(*found);
    taken.id = request;
    state.waiting.erase(request);
    rank_queue& queue = state.ranks[rank_index(taken.spec.rank)];
    remove_work(queue.waiting, taken);
    service_queue* service = queue.services.find(taken.spec.service);
    team_queue& team = service->teams[taken.spec.team];
    remove_work(team.ahead, taken);
    if (team.ahead.requests == 0) {
        end_backlog(*service, team);
    }
    return taken;
}

const waiting_request* next_request(cell_state& state, rank of, const skipped_teams& skipped) {
    rank_queue& queue = state.ranks[rank_index(of)];
    service_queue* best = nullptr;
    const team_id* best_team = nullptr;
    for (service_queue& service : queue.services.rows()) {
        if (best != nullptr && service.virtual_time >= best->virtual_time) {
            continue;
        }
        const team_id* team = next_team(service, skipped);
        if (team != nullptr) {
            best = &service;
            best_team = team;
        }
    }
    return best == nullptr ? nullptr : &head_of(state, best->teams[*best_team]);
}

void charge(cell_state& state, const request_spec& spec, double cost) {
    rank_queue& queue = state.ranks[rank_index(spec.rank)];
    queue.credit -= cost;
    service_queue* service = queue.services.find(spec.service);
    if (service == nullptr) {
        return;
    }
    queue.virtual_time = std::max(queue.virtual_time, service->virtual_time);
    service->virtual_time += cost / service->share;
    team_queue& team = service->teams[spec.team];
    const bool is_backlogged = service->backlogged.erase({team.virtual_time, team.id}) > 0;
    service->team_virtual_time = std::max(service->team_virtual_time, team.virtual_time);
    team.id = spec.team;
    team.virtual_time += cost;
    if (is_backlogged) {
        service->backlogged.emplace(team.virtual_time, team.id);
    }
}

double team_part(const cell_state& state, const request_spec& spec) {
    const rank_queue& queue = state.ranks[rank_index(spec.rank)];
    double shares = 0;
    for (const service_queue& service : queue.services.rows()) {
        if (!service.backlogged.empty() || service.id == spec.service) {
            shares += service.share;
        }
    }
    const service_queue* own = queue.services.find(spec.service);
    const auto teams = static_cast<double>(std::max<std::size_t>(own->backlogged.size(), 1));
    return own->share / shares / teams;
}

void forget_idle_teams(cell_state& state) {
    for (rank_queue& queue : state.ranks) {
        for (service_queue& service : queue.services.rows()) {
            std::erase_if(service.teams, [&](const auto& named) {
                const team_queue& team = named.second;
                return team.ahead.requests == 0 && team.virtual_time <= service.team_virtual_time;
            });
        }
    }
}

} // namespace cicadahatch::scheduling::internal
