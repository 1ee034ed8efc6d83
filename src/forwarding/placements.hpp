#pragma once

#include "src/discovery/backend.hpp"
#include "src/forwarding/asio.hpp"
#include "src/forwarding/request_life.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace cicadahatch::forwarding {

/// \brief One attempt of a stream as it asks for its place.
struct placement_request {
    service_id service;
    attempt_number attempt;
    std::uint32_t generated_tokens = 0; ///< by earlier attempts
    std::uint8_t level = 0;             ///< order among the service's requests; 0 goes first
    bool is_late = false; ///< can't meet its objective any more: goes behind all that can
    std::chrono::milliseconds target{0}; ///< longest useful wait for the next event
    std::optional<time_point> since;     ///< from which the target counts; the arrival if not set
    std::chrono::milliseconds late_target{0}; ///< the same for a caller that comes back
    std::vector<backend_id> avoided;          ///< engines that this daemon can't use now
};

/// \brief Where a stream is to run.
struct granted_place {
    backend_id prefill; ///< empty or equal to decode: the decode engine reads the prompt itself
    backend_id decode;
};

/// \brief The answer to a placement request.
struct placement_answer {
    enum class kind : std::uint8_t {
        granted,
        refused,    ///< there is no room in the time allowed
        unreachable ///< nobody could be asked
    };
    kind is = kind::unreachable;
    granted_place place;
    std::chrono::milliseconds retry_after{0};
    std::string reason;
};

/// \brief How an attempt has ended that a place was granted for.
enum class placement_end : std::uint8_t {
    completed,
    caller_left,
    prefill_failed,
    decode_failed,
    no_room ///< the engine refused it
};

/// \brief Decides where streams run, for all daemons of a pool together.
class placements {
public:
    placements() = default;
    placements(const placements&) = delete;
    placements& operator=(const placements&) = delete;
    placements(placements&&) = delete;
    placements& operator=(placements&&) = delete;
    virtual ~placements() = default;

    /// \brief Waits for a place, or until the request ends.
    [[nodiscard]] virtual asio::awaitable<placement_answer> ask(life_ptr life,
                                                                placement_request wanted) = 0;
    virtual void prefill_finished(const request_life& life, const placement_request& of) = 0;
    virtual void first_event(const request_life& life, const placement_request& of) = 0;
    /// \param output_tokens made, zero if not known
    /// \brief Tells that an engine has said that it leaves.
    virtual void engine_leaves(const discovery::backend& engine) = 0;
    virtual void ended(const request_life& life, const placement_request& of, placement_end how,
                       std::uint32_t output_tokens) = 0;
};

} // namespace cicadahatch::forwarding
