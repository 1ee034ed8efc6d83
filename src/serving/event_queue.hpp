#pragma once

#include "src/core/identifiers.hpp"
#include "src/engines/messages.hpp"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <system_error>
#include <variant>

namespace cicadahatch::serving {

/// The prefill is done and its result is kept by the engine.
struct prefill_done {
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
};

/// A token came.
struct token_received {
    engines::frame frame;
};

/// The stream reached its end mark.
struct stream_ended {};

/// The attempt failed.
struct attempt_failed {
    std::error_code error;
    bool is_in_decode = false; ///< the prefill's result had been handed to the decode engine
};

/// \brief What happened to one attempt at the engines.
struct attempt_event {
    attempt_number attempt;
    std::variant<prefill_done, token_received, stream_ended, attempt_failed> what;
};

/// \brief Carries events from the threads of attempts to the thread that owns the caller.
class event_queue {
public:
    void push(attempt_event event);

    /// \returns the next event, or nothing if none came in time
    [[nodiscard]] std::optional<attempt_event> pop_for(std::chrono::milliseconds wait);

private:
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::deque<attempt_event> events_;
};

} // namespace cicadahatch::serving
