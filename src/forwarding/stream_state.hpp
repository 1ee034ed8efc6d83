#pragma once

#include "src/forwarding/event_splitter.hpp"
#include "src/forwarding/exchange.hpp"
#include "src/forwarding/local_response.hpp"
#include "src/forwarding/placement_service.hpp"

#include <optional>
#include <string>
#include <vector>

namespace cicadahatch::forwarding {

/// \brief Memory and a slot reserved on a decode engine.
struct decode_reservation {
    discovery::backend engine;
    std::string hold;
    std::uint32_t tokens = 0;
    std::optional<discovery::backend> prefill; ///< the prefill engine, if assigned
    bool is_granted = false;       ///< granted by the pool's home, which is notified of its end
    bool prefills_locally = false; ///< the decode engine runs the prefill
};

/// \brief KV cache of a finished prefill, which the engine keeps for a short time.
struct finished_prefill {
    discovery::backend engine;
    std::string handle;
};

/// \brief State of a stream across its attempts.
struct stream_state {
    placement_request placement; ///< request of the current attempt
    unsigned sends = 0;          ///< requests that a decode engine may have received
    unsigned prefill_calls = 0;  ///< prefill calls that an engine may have received
    execution_state execution = execution_state::not_executed;
    bool has_started = false; ///< the response head has been sent to the caller
    bool is_refused = false;  ///< no capacity
    event_splitter events;
    time_point attempt_began_at; ///< first event of the current attempt; the epoch if none
    std::vector<backend_id> failed_engines; ///< engines that failed during the stream
    std::string last_failure;               ///< reason of the last failure
    std::chrono::milliseconds retry_after{0};
};

/// \returns the number of tokens in the forwarded events
[[nodiscard]] std::uint32_t count_generated_tokens(const request_context& request,
                                                   const stream_state& stream);

/// \brief Reserves capacity on the decode engine granted by the pool's home. If no home can be
/// reached, reserves it on any decode engine that has capacity for the maximum length of the
/// stream.
/// \returns nothing if there is no capacity or the request has ended
[[nodiscard]] asio::awaitable<std::optional<decode_reservation>>
reserve_decode_engine(gateway_state& state, request_context_ptr request, stream_state& stream);

/// \brief Frees a reservation that no request has used.
void release_reservation(gateway_state& state, const decode_reservation& reservation);

/// \brief Charges a prefill to the retry budget; the first prefill of a stream is free.
/// \returns whether the prefill is allowed
[[nodiscard]] bool try_charge_prefill(gateway_state& state, const stream_state& stream);

/// \brief Runs the prefill on a prefill engine. The first try must be allowed by
/// try_charge_prefill().
/// \returns nothing if every engine failed
[[nodiscard]] asio::awaitable<std::optional<finished_prefill>>
run_prefill(gateway_state& state, request_context_ptr request, decode_reservation reservation,
            stream_state& stream);

/// \brief Frees the KV cache of a prefill that no engine has fetched.
void release_prefill(gateway_state& state, const finished_prefill& prefill);

/// \brief Outcome of an attempt.
enum class attempt_outcome : std::uint8_t {
    done,           ///< the stream or another complete response was sent to the caller
    refused,        ///< the decode engine refused the request
    misdirected,    ///< the engine has restarted or changed its role
    prefill_lost,   ///< the decode engine could not fetch the KV cache from the prefill engine
    broken,         ///< an engine accepted the request and did not complete it
    prefill_failed, ///< the prefill failed
    cut             ///< the response to the caller can't be completed
};

[[nodiscard]] const char* to_string(attempt_outcome outcome) noexcept;

/// \brief Result of a request to a decode engine.
struct decode_attempt {
    attempt_outcome outcome = attempt_outcome::refused;
    unsigned status = 0;
    bool is_connection_lost = false; ///< the engine's response broke off
    bool is_engine_down = false;     ///< its process has ended while the stream was beginning
};

/// \brief Sends the request to the decode engine and forwards its events.
[[nodiscard]] asio::awaitable<decode_attempt>
run_decode(gateway_state& state, request_context_ptr request, caller_connection& caller,
           decode_reservation reservation, std::optional<finished_prefill> prefill,
           stream_state& stream);

} // namespace cicadahatch::forwarding
