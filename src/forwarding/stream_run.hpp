#pragma once

#include "src/forwarding/event_splitter.hpp"
#include "src/forwarding/exchange.hpp"
#include "src/forwarding/final_answer.hpp"
#include "src/forwarding/placement_service.hpp"

#include <optional>
#include <string>
#include <vector>

namespace cicadahatch::forwarding {

/// \brief A place reserved at a decode engine.
struct held_place {
    discovery::backend engine;
    std::string hold;
    std::uint32_t tokens = 0;
    std::optional<discovery::backend> prefill; ///< the engine that is to read the prompt, if chosen
    bool is_granted = false;                   ///< by the pool's home, which is told of its end
    bool reads_itself = false;                 ///< the decode engine reads the prompt
};

/// \brief A prompt that an engine has read and keeps for a short time.
struct kept_prefill {
    discovery::backend engine;
    std::string handle;
};

/// \brief What is known of a stream over all its attempts.
struct stream_run {
    placement_request wanted; ///< of the present attempt
    unsigned sends = 0;       ///< requests that a decode engine may have got
    unsigned prefills = 0;    ///< prefill calls that an engine may have got
    progress reached = progress::unsent;
    bool has_begun = false;  ///< the head of the answer has gone to the caller
    bool is_refused = false; ///< there is no room
    event_splitter events;
    std::vector<backend_id> failed; ///< engines that broke the stream
    std::string reason;             ///< of the last failure
    std::chrono::milliseconds retry_after{0};
};

/// \returns how many tokens the events handed on stand for
[[nodiscard]] std::uint32_t tokens_made(const request_context& request, const stream_run& run);

/// \brief Finds and reserves a place: the one that the pool's home grants, or if no home can be
/// asked, one at any decode engine that has room for the stream at its longest.
/// \returns nothing if there is no room or the request has ended
[[nodiscard]] asio::awaitable<std::optional<held_place>>
find_place(gateway_state& state, request_context_ptr request, stream_run& run);

/// \brief Frees a place that no request has taken up.
void release_place(gateway_state& state, const held_place& place);

/// \brief Charges a prefill: the first one of a stream is part of its ordinary course, all others
/// are repeats.
/// \returns whether it may be sent
[[nodiscard]] bool may_prefill(gateway_state& state, const stream_run& run);

/// \brief Has a prefill engine read the prompt, which may_prefill() has allowed.
/// \returns nothing if no engine did
[[nodiscard]] asio::awaitable<std::optional<kept_prefill>>
read_prompt(gateway_state& state, request_context_ptr request, held_place place, stream_run& run);

/// \brief Frees a prompt that no engine has fetched.
void release_prefill(gateway_state& state, const kept_prefill& kept);

/// \brief How an attempt has ended.
enum class attempt_end : std::uint8_t {
    done,           ///< the caller has got the end of the stream, or another whole answer
    refused,        ///< the decode engine did not take the request
    misdirected,    ///< another process, or an engine in another role, has answered
    prefill_lost,   ///< it could not fetch the prompt's memory from the prefill engine
    broken,         ///< an engine took it and did not finish
    prefill_failed, ///< no engine has read the prompt
    cut             ///< the caller can't be served any further
};

[[nodiscard]] const char* to_string(attempt_end ended) noexcept;

/// \brief What became of a request at a decode engine.
struct decode_attempt {
    attempt_end ended = attempt_end::refused;
    unsigned status = 0;
};

/// \brief Sends the request to the decode engine and hands on its events.
[[nodiscard]] asio::awaitable<decode_attempt>
decode(gateway_state& state, request_context_ptr request, caller_connection& caller,
       held_place place, std::optional<kept_prefill> kept, stream_run& run);

} // namespace cicadahatch::forwarding
