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

/// \brief Permission to start a request's prefill, with all resources of the request reserved.
struct grant {
    std::uint64_t number = 0; ///< increases within one home
    request_id request;
    daemon_id owner;
    backend_id prefill; ///< equal to decode if one engine does both; empty for plain servers
    backend_id decode;
    duration predicted_first_token{0};    ///< from the request's arrival
    duration predicted_between_tokens{0}; ///< at the batch size including this request
    std::uint32_t pieces = 0;             ///< reserved KV memory on the decode engine
    std::uint32_t expected_cached_tokens = 0;
};

/// \brief The state of the cell at the time of a refusal, for diagnosis.
struct refusal_inputs {
    obstacle last_obstacle = obstacle::none; ///< of the last placement; none: not attempted
    duration predicted_wait{0};              ///< of the request's rank
    std::size_t waiting = 0;                 ///< requests of the rank
    double prefill_engines = 0;              ///< available engines
    double decode_engines = 0;               ///< available engines
    double free_slots = 0;
};

/// \brief Final answer to a request that has not run.
struct refusal {
    request_id request;
    daemon_id owner;
    std::error_code reason; ///< of scheduling::errc
    duration retry_after{0};
    refusal_inputs inputs{};
};

/// \brief Stage of a granted request.
enum class stage : std::uint8_t { prefill, transfer, decode };

/// \brief A grant that holds its reservations.
struct live_grant {
    request_id id;
    grant issued;
    service_id service;
    cicadahatch::rank rank = cicadahatch::rank::deferrable;
    scheduling::stage stage = scheduling::stage::prefill;
    time_point granted_at;
    time_point prefill_begins; ///< predicted, after earlier prefills of the engine
    time_point decode_began;   ///< valid in stage::decode
    time_point last_heartbeat; ///< last heartbeat of the owner
    time_point stuck_deadline; ///< a prefill or transfer still running then counts as failed
    double prefill_seconds = 0;
    double slot_seconds = 0;
    double cost = 0;
    duration between_tokens{0}; ///< target
    std::uint32_t prompt_tokens = 0;
    std::uint32_t expected_output_tokens = 0;
    std::uint32_t output_hint = 0; ///< the caller's estimate, in tokens; zero: none
    length_estimate output;        ///< set if the maximum output is known
    std::vector<std::uint64_t> prefix_hashes;
    std::uint32_t block_tokens = prefix_block_tokens; ///< tokens per prefix hash
    bool is_reported_stuck = false;
};

/// \brief How a granted request ended.
enum class outcome : std::uint8_t {
    completed,
    caller_left,
    prefill_failed, ///< the prefill engine's fault
    decode_failed,  ///< the decode engine's fault
    no_room,        ///< the decode engine had less capacity than assumed
    superseded      ///< replaced by another attempt; not an engine failure
};

/// \brief Decisions of one tick.
struct tick_output {
    std::vector<grant> grants;
    std::vector<refusal> refusals;
    /// Released grants whose owner timed out; the caller cancels them at the engines.
    std::vector<grant> reaped;
};

} // namespace cicadahatch::scheduling
