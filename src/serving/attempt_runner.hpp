#pragma once

#include "src/engines/canceller.hpp"
#include "src/engines/messages.hpp"
#include "src/serving/event_queue.hpp"
#include "src/serving/worker_group.hpp"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>

namespace cicadahatch::serving {

/// \brief All that one attempt at the engines needs.
struct attempt_plan {
    engines::attempt_id attempt;
    model_id model;
    http::endpoint prefill;
    http::endpoint decode;
    std::string prompt;
    std::string generated; ///< text already delivered
    std::uint64_t position = 0;
    std::uint32_t max_tokens = 0;
    rank priority = rank::deferrable;
};

/// \brief An attempt that is running.
struct running_attempt {
    attempt_plan plan;
    std::shared_ptr<event_queue> events;
    std::atomic<bool> is_abandoned{false};
};

/// \brief Runs attempts on threads of their own: prefill, KV transfer, token stream.
class attempt_runner {
public:
    explicit attempt_runner(engines::canceller& cancels) : cancels_(cancels) {}

    /// \brief Starts an attempt, whose events go to the queue.
    [[nodiscard]] std::shared_ptr<running_attempt> start(attempt_plan plan,
                                                         std::shared_ptr<event_queue> events);

    /// \brief Gives an attempt up: frees what it holds at both engines, and no later event of it
    /// may be used. Returns at once.
    void abandon(running_attempt& attempt);

private:
    engines::canceller& cancels_;
    worker_group workers_;
};

} // namespace cicadahatch::serving
