#pragma once

#include "src/scheduling/cell_state.hpp"

#include <cstdint>
#include <vector>

namespace cicadahatch::scheduling::internal {

/// A team whose queue head is skipped in this tick.
struct skipped_team {
    service_id service;
    std::uint8_t level = 0;
    team_id team;
};
using skipped_teams = std::vector<skipped_team>;

/// \brief Appends a request to its team's queue and adds its work to the sums.
void enqueue(cell_state& state, waiting_request request);

/// \brief Removes a request from any position of its queue. The request must be waiting.
/// \returns the removed request
waiting_request dequeue(cell_state& state, const request_id& request);

/// \returns the next request of the rank in fair order, or null
[[nodiscard]] const waiting_request* next_request(cell_state& state, rank work_rank,
                                                  const skipped_teams& skipped);

/// \brief Charges granted engine seconds to the rank, service, level and team.
void charge(cell_state& state, const request_spec& spec, double cost);

/// \returns the fraction of its rank's throughput that the team gets among all backlogged services
/// and teams
[[nodiscard]] double team_fraction(const cell_state& state, const request_spec& spec);

/// \returns whether requests of a higher-priority level arrived recently
/// \param period time since arrival that counts as recent
[[nodiscard]] bool has_recent_higher_level(const cell_state& state, const request_spec& spec,
                                           duration period, time_point now);

/// \brief Removes teams without waiting requests whose virtual time is not ahead of the level's.
void remove_idle_teams(cell_state& state);

} // namespace cicadahatch::scheduling::internal
