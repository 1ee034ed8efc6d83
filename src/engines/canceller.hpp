#pragma once

#include "src/core/clock.hpp"
#include "src/engines/messages.hpp"
#include "src/http/client_pool.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace cicadahatch::engines {

/// \brief Sends cancels in the background until each is acknowledged.
///
/// Unacknowledged cancels are retried; the operation is idempotent. An engine that does not respond
/// delays cancels to other engines by at most the timeout of one call.
class canceller {
public:
    explicit canceller(const clock& time);
    canceller(const canceller&) = delete;
    canceller& operator=(const canceller&) = delete;
    canceller(canceller&&) = delete;
    canceller& operator=(canceller&&) = delete;
    ~canceller();

    /// \returns the number of cancels not yet acknowledged
    [[nodiscard]] std::size_t pending() const;

    /// \brief Queues a cancel without blocking.
    void cancel(const http::endpoint& endpoint, const attempt_id& attempt);

private:
    struct job {
        http::endpoint endpoint;
        attempt_id attempt;
        time_point queued_at;
        time_point due_at;
    };

    void run();
    [[nodiscard]] bool take_due(job& due);
    void finish(job completed, bool is_acknowledged);

    const clock& time_;
    http::client_pool pool_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<job> jobs_;
    std::size_t running_ = 0;
    bool is_stopping_ = false;
    std::vector<std::thread> workers_;
};

} // namespace cicadahatch::engines
