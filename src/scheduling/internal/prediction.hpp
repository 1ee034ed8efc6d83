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

/// \returns the work that a waiting request adds to a queue
[[nodiscard]] work_amount request_work(const waiting_request& request) noexcept;

void add_work(work_amount& to, const work_amount& added) noexcept;

/// \brief Subtracts work from a sum. Without requests the sum is exactly zero.
void remove_work(work_amount& from, const work_amount& removed) noexcept;

/// \returns the predicted time of a prefill on an idle engine
/// \param tokens number of uncached tokens
[[nodiscard]] double prefill_seconds(const engine& instance, std::uint32_t tokens) noexcept;

/// \returns the predicted time between tokens
/// \param streams batch size
[[nodiscard]] double step_seconds(const engine& instance, std::uint32_t streams) noexcept;

/// \returns the predicted time of a KV transfer on idle links
[[nodiscard]] double transfer_seconds(const cell_state& state, const engine& from, const engine& to,
                                      std::uint32_t tokens);

/// \returns the KV memory to reserve for prompt and output, in pieces of the engine
[[nodiscard]] std::uint32_t pieces_needed(const engine& instance, const cell_policy& policy,
                                          const request_spec& spec) noexcept;

/// \returns the longest useful time to first token. If even an idle cell can't meet the target, the
/// request runs on a best-effort basis with a longer limit.
[[nodiscard]] duration usable_target(const waiting_request& request, const cell_policy& policy);

/// \returns engine seconds: the prefill takes a whole engine, the decode one slot of an engine
[[nodiscard]] double engine_seconds(const cell_state& state, double prefill_seconds,
                                    double slot_seconds) noexcept;

/// \returns the expected cost of the request in engine seconds
[[nodiscard]] double expected_cost(const cell_state& state,
                                   const waiting_request& request) noexcept;

/// \returns the engine seconds per second that a rank's floor earns
[[nodiscard]] double floor_rate(const cell_state& state, const cell_policy& policy,
                                const rank_queue& queue) noexcept;

/// \returns the engine seconds per second that the floor of a service's level earns; zero for the
/// first level
[[nodiscard]] double floor_rate(const cell_state& state, const service_queue& service,
                                std::uint8_t level) noexcept;

/// \returns the maximum credit of a rank or level. The limit keeps a rank from monopolizing the
/// cell after a pause. \param floor_rate engine seconds earned per second
[[nodiscard]] double max_credit(double floor_rate) noexcept;

/// \returns whether the credit covers the cost of the next request or has reached its maximum
[[nodiscard]] bool has_enough_credit(const cell_state& state, double credit, double floor_rate,
                                     const waiting_request& next) noexcept;

/// \brief Sets the request's predictions from the cell's mean engine speeds.
void predict_request(const cell_state& state, const cell_policy& policy, waiting_request& request);

/// \returns the fraction of the cell available to a rank, given the other rank's load
[[nodiscard]] double rank_fraction(const cell_state& state, rank work_rank);

/// \returns the fraction of the cell available to a request's level, given the load of the other
/// rank and of higher-priority levels
[[nodiscard]] double level_fraction(const cell_state& state, const request_spec& spec);

/// \returns the waiting work of the request's rank, without lower-priority levels of its service
[[nodiscard]] work_amount work_ahead(const cell_state& state, const request_spec& spec);

/// \returns the predicted time until an amount of work has been granted
/// \param fraction available fraction of the cell
[[nodiscard]] double predicted_wait_seconds(const cell_state& state, double fraction,
                                            const work_amount& ahead);

/// \returns the predicted time until a new request would be granted
/// \param team_ahead waiting work of the same team ahead of the request
/// \param team_fraction fraction of the rank's throughput that the team gets
[[nodiscard]] double predicted_wait_seconds(const cell_state& state, const request_spec& spec,
                                            const work_amount& team_ahead, double team_fraction);

} // namespace cicadahatch::scheduling::internal
