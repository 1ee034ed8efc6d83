#pragma once

#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"

namespace cicadahatch::scheduling::internal {

[[nodiscard]] constexpr double to_seconds(duration value) noexcept {
    return std::chrono::duration<double>(value).count();
}

[[nodiscard]] constexpr duration from_seconds(double value) noexcept {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

/// \returns what a waiting request adds to a queue
[[nodiscard]] work_amount work_of(const waiting_request& request) noexcept;

void add_work(work_amount& to, const work_amount& added) noexcept;

/// \brief Takes work out of a sum; without requests the sum is exactly zero.
void remove_work(work_amount& from, const work_amount& removed) noexcept;

/// \returns the predicted time of one prefill of so many uncached tokens on an idle engine
[[nodiscard]] double prefill_seconds(const engine& on, std::uint32_t tokens) noexcept;

/// \returns the predicted time between tokens of a batch of so many streams
[[nodiscard]] double step_seconds(const engine& on, std::uint32_t streams) noexcept;

/// \returns the predicted time of a KV transfer on links that carry nothing else
[[nodiscard]] double transfer_seconds(const cell_state& state, const engine& from, const engine& to,
                                      std::uint32_t tokens);

/// \returns KV memory of prompt and answer at their largest, in pieces of the engine
[[nodiscard]] std::uint32_t pieces_needed(const engine& on, const cell_policy& policy,
                                          const request_spec& spec) noexcept;

/// \returns the longest time to first token that the request is worth running for. A request
/// whose target can't be met even by an idle cell is run as well as may be.
[[nodiscard]] duration usable_target(const waiting_request& request, const cell_policy& policy);

/// \returns engine seconds: a whole engine for the prefill, a slot's part of one for the decode
[[nodiscard]] double engine_seconds(const cell_state& state, double prefill_seconds,
                                    double slot_seconds) noexcept;

/// \returns the engine seconds that the request is expected to cost
[[nodiscard]] double expected_cost(const cell_state& state,
                                   const waiting_request& request) noexcept;

/// \returns the engine seconds that a rank's floor earns in a second
[[nodiscard]] double owed_rate(const cell_state& state, const cell_policy& policy,
                               const rank_queue& queue) noexcept;

/// \returns the engine seconds that the floor of a level of a service earns in a second; zero for
/// its first level
[[nodiscard]] double owed_rate(const cell_state& state, const service_queue& service,
                               std::uint8_t level) noexcept;

/// \returns the most that a rank or level can be owed, so that a pause can't turn into a long
/// monopoly
/// \param owed_rate engine seconds that it earns in a second
[[nodiscard]] double largest_credit(double owed_rate) noexcept;

/// \returns whether a floor has earned what the next request costs, or the most that it can be owed
[[nodiscard]] bool has_earned(const cell_state& state, double credit, double owed_rate,
                              const waiting_request& next) noexcept;

/// \brief Writes the predictions that depend on the cell's typical engine.
void predict_request(const cell_state& state, const cell_policy& policy, waiting_request& request);

/// \returns the part of the cell that a rank can count on while the other rank has work too
[[nodiscard]] double rank_part(const cell_state& state, rank of);

/// \returns the part of the cell that a request's level can count on while the levels before it,
/// and the other rank, have work too
[[nodiscard]] double level_part(const cell_state& state, const request_spec& spec);

/// \returns what waits in the request's rank, without the levels of its service behind its own
[[nodiscard]] work_amount waiting_before(const cell_state& state, const request_spec& spec);

/// \returns the predicted time until so much work has been granted
/// \param part of the cell that it can count on
[[nodiscard]] double predicted_wait_seconds(const cell_state& state, double part,
                                            const work_amount& ahead);

/// \returns the predicted time until a new request would be granted
/// \param team_ahead work of the same team waiting before it
/// \param team_part part of the rank's service that the team gets
[[nodiscard]] double predicted_wait_seconds(const cell_state& state, const request_spec& spec,
                                            const work_amount& team_ahead, double team_part);

} // namespace cicadahatch::scheduling::internal
