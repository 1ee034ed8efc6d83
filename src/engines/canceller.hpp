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
/// A cancel that is lost is sent again; the engine treats repeats alike. Cancels to one engine
/// that does not answer do not hold up those to others for longer than one call's timeout.
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

    /// \brief Queues a cancel; returns at once.
    void cancel(const http::endpoint& place, const attempt_id& attempt);

private:
    struct job {
        http::endpoint place;
        attempt_id attempt;
        time_point queued;
        time_point due;
    };

    void run();
    [[nodiscard]] bool take_due(job& taken);
    void finish(job done, bool is_acknowledged);

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
