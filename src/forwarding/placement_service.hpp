#pragma once

#include "src/discovery/backend.hpp"
#include "src/forwarding/asio.hpp"
#include "src/forwarding/request_context.hpp"

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
    std::uint8_t priority = 0;          ///< order among the service's requests; 0 goes first
    bool is_late = false; ///< can't meet its objective any more: goes behind all that can
    std::chrono::milliseconds target{0}; ///< longest useful wait for the next event
    std::optional<time_point>
        target_start; ///< from which the target counts; the arrival if not set
    std::chrono::milliseconds retry_target{0}; ///< the same for a caller that comes back
    std::vector<backend_id> excluded_engines;  ///< engines that this daemon can't use now
};

/// \brief Where a stream is to run.
struct engine_placement {
    backend_id prefill; ///< empty or equal to decode: the decode engine reads the prompt itself
    backend_id decode;
};

/// \brief The answer to a placement request.
struct placement_response {
    enum class outcome : std::uint8_t {
        granted,
        refused,    ///< there is no room in the time allowed
        unreachable ///< nobody could be asked
    };
    outcome result = outcome::unreachable;
    engine_placement placement;
    std::chrono::milliseconds retry_after{0};
    std::string reason;
};

/// \brief How an attempt has ended that a place was granted for.
enum class placement_outcome : std::uint8_t {
    completed,
    caller_left,
    prefill_failed,
    decode_failed,
    no_room ///< the engine refused it
};

/// \brief Decides where streams run, for all daemons of a pool together.
class placement_service {
public:
    placement_service() = default;
    placement_service(const placement_service&) = delete;
    placement_service& operator=(const placement_service&) = delete;
    placement_service(placement_service&&) = delete;
    placement_service& operator=(placement_service&&) = delete;
    virtual ~placement_service() = default;

    /// \brief Waits for a place, or until the request ends.
    [[nodiscard]] virtual asio::awaitable<placement_response>
    request_placement(request_context_ptr request, placement_request wanted) = 0;
    virtual void on_prefill_finished(const request_context& request,
                                     const placement_request& of) = 0;
    virtual void on_first_event(const request_context& request, const placement_request& of) = 0;
    /// \param output_tokens made, zero if not known
    /// \brief Tells that an engine has said that it leaves.
    virtual void on_engine_leaving(const discovery::backend& engine) = 0;
    virtual void on_attempt_ended(const request_context& request, const placement_request& of,
                                  placement_outcome how, std::uint32_t output_tokens) = 0;
};

} // namespace cicadahatch::forwarding
