#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/scheduling/constants.hpp"
#include "src/scheduling/obstacle.hpp"
#include "src/scheduling/output_length.hpp"

#include <cstdint>
#include <vector>

namespace cicadahatch::scheduling {

/// \brief A request as a daemon submits it to a cell.
struct request_spec {
    request_id id;
    daemon_id owner; ///< the daemon that the caller is connected to
    service_id service;
    model_id model;
    team_id team;
    cicadahatch::rank rank = cicadahatch::rank::deferrable;
    /// Priority within the service and rank; 0 is the highest.
    std::uint8_t level = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t expected_output_tokens = 0;
    std::uint32_t max_output_tokens = 0; ///< zero: unknown
    /// Hashes of the prompt's prefixes, one per block; each covers all earlier blocks.
    std::vector<std::uint64_t> prefix_hashes;
    std::uint32_t block_tokens = prefix_block_tokens; ///< tokens per block; at least 1
    time_point arrived;
    duration first_token{0};         ///< target; zero: the service's target
    duration between_tokens{0};      ///< target; zero: the service's target
    time_point deadline;             ///< when the caller gives up; the epoch: never
    std::vector<backend_id> avoided; ///< engines that the owner can't use at present
};

/// \brief A request that waits in its cell's queue.
struct waiting_request {
    request_id id;
    request_spec spec;
    std::uint64_t serial = 0;                ///< order of arrival at the cell
    double prefill_seconds = 0;              ///< predicted, without a cached prefix
    double slot_seconds = 0;                 ///< predicted time in a decode slot
    duration minimum_time{0};                ///< predicted time to first token in an idle cell
    std::uint32_t output_hint = 0;           ///< the caller's estimate, in tokens; zero: none
    length_estimate output;                  ///< set if the maximum output is known
    time_point latest_start;                 ///< latest start that meets the target
    obstacle last_obstacle = obstacle::none; ///< of the last placement; none: not attempted
};

} // namespace cicadahatch::scheduling
