#include "src/scheduling/internal/fair_queue.hpp"

#include "src/core/macros.hpp"
#include "src/scheduling/internal/prediction.hpp"

#include <algorithm>

namespace cicadahatch::scheduling::internal {

namespace {

bool is_skipped(const skipped_teams& skipped, const service_id& service, std::uint8_t level,
                const team_id& team) {
    return std::any_of(skipped.begin(), skipped.end(), [&](const skipped_team& passed) {
        return passed.service == service && passed.level == level && passed.team == team;
    });
}

bool has_backlog(const service_queue& service) {
    return std::any_of(service.levels.begin(), service.levels.end(),
                       [](const auto& row) { return !row.second.backlogged.empty(); });
}

/// Drops stale entries; the team has at least one valid entry.
const waiting_request& queue_head(cell_state& state, team_queue& team) {
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

const waiting_request* queue_head(cell_state& state, service_queue& service, std::uint8_t number,
                                  const skipped_teams& skipped) {
    level_queue& level = service.levels.at(number);
    for (const auto& [virtual_time, team] : level.backlogged) {
        if (!is_skipped(skipped, service.id, number, team)) {
            return &queue_head(state, level.teams[team]);
        }
    }
    return nullptr;
}

/// Whether the level's floor has earned the cost of its next request.
bool has_floor_credit(const cell_state& state, const service_queue& service, std::uint8_t number,
                      const waiting_request& head) {
    const double rate = floor_rate(state, service, number);
    return rate > 0 && has_enough_credit(state, service.levels.at(number).credit, rate, head);
}

const waiting_request* next_in_service(cell_state& state, service_queue& service,
                                       const skipped_teams& skipped) {
    const waiting_request* first = nullptr;
    for (const auto& [number, level] : service.levels) {
        const waiting_request* head = queue_head(state, service, number, skipped);
        if (head != nullptr && has_floor_credit(state, service, number, *head)) {
            return head;
        }
        first = first == nullptr ? head : first;
    }
    return first;
}

void begin_backlog(rank_queue& queue, service_queue& service, level_queue& level,
                   team_queue& team) {
    if (!has_backlog(service)) {
        service.virtual_time = std::max(service.virtual_time, queue.virtual_time);
    }
    team.virtual_time = std::max(team.virtual_time, level.team_virtual_time);
    level.backlogged.emplace(team.virtual_time, team.id);
}

void end_backlog(level_queue& level, team_queue& team) {
    level.backlogged.erase({team.virtual_time, team.id});
    team.entries.clear();
}

void charge_team(level_queue& level, const team_id& id, double cost) {
    team_queue& team = level.teams[id];
    const bool is_backlogged = level.backlogged.erase({team.virtual_time, id}) > 0;
    level.team_virtual_time = std::max(level.team_virtual_time, team.virtual_time);
    team.id = id;
    team.virtual_time += cost;
    if (is_backlogged) {
        level.backlogged.emplace(team.virtual_time, id);
    }
}

} // namespace

void enqueue(cell_state& state, waiting_request request) {
    const request_spec& spec = request.spec;
    rank_queue& queue = state.ranks[rank_index(spec.rank)];
    service_queue* service = queue.services.find(spec.service);
    CICADAHATCH_ASSERT(service != nullptr, queued_service_is_known);
    level_queue& level = service->levels[spec.level];
    level.last_arrival = std::max(level.last_arrival, spec.arrived);
    team_queue& team = level.teams[spec.team];
    team.id = spec.team;
    if (team.waiting.requests == 0) {
        begin_backlog(queue, *service, level, team);
    }
    team.entries.push_back({request.id, request.serial});
    const work_amount work = request_work(request);
    add_work(team.waiting, work);
    add_work(level.waiting, work);
    add_work(queue.waiting, work);
    state.waiting.insert(std::move(request));
}

waiting_request dequeue(cell_state& state, const request_id& request) {
    waiting_request* found = state.waiting.find(request);
    CICADAHATCH_ASSERT(found != nullptr, dequeued_request_is_waiting);
    waiting_request taken = std::move(*found);
    taken.id = request;
    state.waiting.erase(request);
    const work_amount work = request_work(taken);
    rank_queue& queue = state.ranks[rank_index(taken.spec.rank)];
    remove_work(queue.waiting, work);
    service_queue* service = queue.services.find(taken.spec.service);
    level_queue& level = service->levels[taken.spec.level];
    remove_work(level.waiting, work);
    team_queue& team = level.teams[taken.spec.team];
    remove_work(team.waiting, work);
    if (team.waiting.requests == 0) {
        end_backlog(level, team);
    }
    return taken;
}

const waiting_request* next_request(cell_state& state, rank work_rank,
                                    const skipped_teams& skipped) {
    rank_queue& queue = state.ranks[rank_index(work_rank)];
    const waiting_request* best = nullptr;
    double best_time = 0;
    for (service_queue& service : queue.services.rows()) {
        if (best != nullptr && service.virtual_time >= best_time) {
            continue;
        }
        const waiting_request* next = next_in_service(state, service, skipped);
        if (next != nullptr) {
            best = next;
            best_time = service.virtual_time;
        }
    }
    return best;
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
    level_queue& level = service->levels[spec.level];
    level.credit -= cost;
    charge_team(level, spec.team, cost);
}

double team_fraction(const cell_state& state, const request_spec& spec) {
    const rank_queue& queue = state.ranks[rank_index(spec.rank)];
    double shares = 0;
    for (const service_queue& service : queue.services.rows()) {
        if (has_backlog(service) || service.id == spec.service) {
            shares += service.share;
        }
    }
    const service_queue* own = queue.services.find(spec.service);
    const auto level = own->levels.find(spec.level);
    const std::size_t waiting = level == own->levels.end() ? 0 : level->second.backlogged.size();
    const auto teams = static_cast<double>(std::max<std::size_t>(waiting, 1));
    return own->share / shares / teams;
}

bool has_recent_higher_level(const cell_state& state, const request_spec& spec, duration period,
                             time_point now) {
    const service_queue* service = state.ranks[rank_index(spec.rank)].services.find(spec.service);
    if (service == nullptr) {
        return false;
    }
    return std::any_of(service->levels.begin(), service->levels.lower_bound(spec.level),
                       [&](const auto& row) {
                           const bool was_asked = row.second.last_arrival != time_point{};
                           return was_asked && now - row.second.last_arrival <= period;
                       });
}

namespace {

void remove_idle_teams(level_queue& level) {
    std::erase_if(level.teams, [&level](const auto& named) {
        const team_queue& team = named.second;
        return team.waiting.requests == 0 && team.virtual_time <= level.team_virtual_time;
    });
}

} // namespace

void remove_idle_teams(cell_state& state) {
    for (rank_queue& queue : state.ranks) {
        for (service_queue& service : queue.services.rows()) {
            for (auto& [number, level] : service.levels) {
                remove_idle_teams(level);
            }
        }
    }
}

} // namespace cicadahatch::scheduling::internal
