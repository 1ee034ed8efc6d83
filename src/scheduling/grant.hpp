#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/scheduling/constants.hpp"
#include "src/scheduling/obstacle.hpp"
#include "src/scheduling/output_length.hpp"

#include <cstddef>
#include <cstdint>
#include <system_error>
#include <vector>

namespace cicadahatch::scheduling {

/// \brief Leave to start the prefill now; everything that it will need is reserved.
struct grant {
    std::uint64_t number = 0; ///< grows within one home
    request_id request;
    daemon_id owner;
    backend_id prefill; ///< equal to decode if that engine does both; empty for plain servers
    backend_id decode;
    duration predicted_first_token{0};    ///< from the request's arrival
    duration predicted_between_tokens{0}; ///< at the batch that the grant completes
    std::uint32_t pieces = 0;             ///< reserved KV memory on the decode engine
    std::uint32_t expected_cached_tokens = 0;
};

/// \brief What a refusal rests on.
struct refusal_inputs {
    obstacle last_obstacle = obstacle::none; ///< when it was last tried; none: it never was
    duration predicted_wait{0};              ///< for its rank, as of the refusal
    std::size_t waiting = 0;                 ///< requests of its rank
    double prefill_engines = 0;              ///< that can take work
    double decode_engines = 0;               ///< that can take work
    double free_slots = 0;
};

/// \brief Final answer to a request that was not run.
struct refusal {
    request_id request;
    daemon_id owner;
    std::error_code reason; ///< of scheduling::errc
    duration retry_after{0};
    refusal_inputs inputs{};
};

/// \brief Where a granted request stands.
enum class stage : std::uint8_t { prefill, transfer, decode };

/// \brief A grant whose reservations are held.
struct live_grant {
    request_id id;
    grant issued;
    service_id service;
    cicadahatch::rank rank = cicadahatch::rank::deferrable;
    scheduling::stage stage = scheduling::stage::prefill;
    time_point granted_at;
    time_point prefill_begins; ///< predicted, after those before it on the engine
    time_point decode_began;   ///< meaningful in stage decode
    time_point heard_at;       ///< last sign of life from the owner
    time_point stuck_at;       ///< a prefill or transfer that takes longer counts as failed
    double prefill_seconds = 0;
    double slot_seconds = 0;
    double cost = 0;
    duration between_tokens{0}; ///< target
    std::uint32_t prompt_tokens = 0;
    std::uint32_t expected_output_tokens = 0;
    std::uint32_t output_hint = 0; ///< the caller's own estimate; zero: none
    length_estimate output;        ///< if the most output is known
    std::vector<std::uint64_t> prefix_hashes;
    std::uint32_t block_tokens = prefix_block_tokens; ///< of a block that a prefix hash adds
    bool is_reported_stuck = false;
};

/// \brief How a granted request ended.
enum class outcome : std::uint8_t {
    completed,
    caller_left,
    prefill_failed, ///< the prefill engine's fault
    decode_failed,  ///< the decode engine's fault
    no_room,        ///< the decode engine had less room than was known
    superseded      ///< another attempt took its place; nobody's fault
};

/// \brief What one tick decided.
struct tick_output {
    std::vector<grant> grants;
    std::vector<refusal> refusals;
    /// Grants whose owner fell silent: their reservations are free, cancel them at the engines.
    std::vector<grant> reaped;
};

} // namespace cicadahatch::scheduling
