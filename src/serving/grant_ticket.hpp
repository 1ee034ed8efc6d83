#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/rpc/messages.hpp"
#include "src/serving/problem.hpp"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <tl/expected.hpp>

namespace cicadahatch::serving {

using grant_answer = tl::expected<rpc::granted, problem>;

/// \brief One attempt's request for a grant, shared by the thread that waits and the broker.
class grant_ticket {
public:
    explicit grant_ticket(rpc::acquire asked) : asked_(std::move(asked)) {}

    /// \returns what was asked; does not change
    [[nodiscard]] const rpc::acquire& asked() const noexcept { return asked_; }

    /// \returns the answer, or nothing if none came in time
    [[nodiscard]] std::optional<grant_answer> wait_for(std::chrono::milliseconds wait);

    /// \brief Sets the answer; of several only the first counts.
    /// \returns whether this one counted
    bool answer(grant_answer given);

    /// \returns the grant, if that was the answer
    [[nodiscard]] std::optional<rpc::granted> held() const;

private:
    rpc::acquire asked_;
    mutable std::mutex mutex_;
    std::condition_variable answered_;
    std::optional<grant_answer> answer_;
};

} // namespace cicadahatch::serving
