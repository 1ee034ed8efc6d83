#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/scheduling/constants.hpp"
#include "src/scheduling/obstacle.hpp"
#include "src/scheduling/output_length.hpp"

#include <cstdint>
#include <vector>

namespace cicadahatch::scheduling {

/// \brief What a daemon asks a cell for.
struct request_spec {
    request_id id;
    daemon_id owner; ///< the daemon that holds the caller
    service_id service;
    model_id model;
    team_id team;
    cicadahatch::rank rank = cicadahatch::rank::deferrable;
    /// Order among the requests of its service and rank; 0 goes first.
    std::uint8_t level = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t expected_output_tokens = 0;
    std::uint32_t max_output_tokens = 0; ///< zero: not known
    /// Hashes of the prompt's prefixes, one per block, each covering all before it.
    std::vector<std::uint64_t> prefix_hashes;
    std::uint32_t block_tokens = prefix_block_tokens; ///< of a block; at least 1
    time_point arrived;
    duration first_token{0};         ///< target; zero takes the service's
    duration between_tokens{0};      ///< target; zero takes the service's
    time_point deadline;             ///< when the caller gives up; the epoch means never
    std::vector<backend_id> avoided; ///< engines that the owner can't use now
};

/// \brief A request in the queue of its cell.
struct waiting_request {
    request_id id;
    request_spec spec;
    std::uint64_t serial = 0;                ///< order of arrival at the cell
    double prefill_seconds = 0;              ///< predicted without cached prefix
    double slot_seconds = 0;                 ///< predicted time in a decode slot
    duration minimum_time{0};                ///< predicted time to first token on an idle cell
    std::uint32_t output_hint = 0;           ///< the caller's own estimate; zero: none
    length_estimate output;                  ///< if the most output is known
    time_point latest_start;                 ///< a later start misses the target
    obstacle last_obstacle = obstacle::none; ///< when it was last tried; none: not tried yet
};

} // namespace cicadahatch::scheduling
