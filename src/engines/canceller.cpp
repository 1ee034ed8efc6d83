#include "src/engines/canceller.hpp"

#include "src/engines/calls.hpp"
#include "src/engines/constants.hpp"

#include <algorithm>

namespace cicadahatch::engines {

namespace {

/// A slow engine occupies a worker for at most the timeout of one call.
constexpr int worker_count = 4;

} // namespace

canceller::canceller(const clock& time) : time_(time) {
    for (int worker = 0; worker < worker_count; ++worker) {
        workers_.emplace_back([this] { run(); });
    }
}

canceller::~canceller() {
    {
        const std::lock_guard lock{mutex_};
        is_stopping_ = true;
    }
    changed_.notify_all();
    for (std::thread& worker : workers_) {
        worker.join();
    }
}

std::size_t canceller::pending() const {
    const std::lock_guard lock{mutex_};
    return jobs_.size() + running_;
}

void canceller::cancel(const http::endpoint& endpoint, const attempt_id& attempt) {
    const time_point now = time_.now();
    {
        const std::lock_guard lock{mutex_};
        jobs_.push_back({endpoint, attempt, now, now});
    }
    changed_.notify_one();
}

bool canceller::take_due(job& due) {
    const time_point now = time_.now();
    const auto found = std::find_if(jobs_.begin(), jobs_.end(),
                                    [&](const job& waiting) { return waiting.due_at <= now; });
    if (found == jobs_.end()) {
        return false;
    }
    due = std::move(*found);
    jobs_.erase(found);
    ++running_;
    return true;
}

void canceller::finish(job completed, bool is_acknowledged) {
    --running_;
    const time_point now = time_.now();
    if (is_acknowledged || now - completed.queued_at > cancel_timeout) {
        return;
    }
    completed.due_at = now + cancel_retry_period;
    jobs_.push_back(std::move(completed));
}

void canceller::run() {
    std::unique_lock lock{mutex_};
    while (!is_stopping_) {
        job current;
        if (!take_due(current)) {
            changed_.wait_for(lock, cancel_retry_period);
            continue;
        }
        lock.unlock();
        const bool is_acknowledged =
            engines::cancel(pool_, current.endpoint, current.attempt).has_value();
        lock.lock();
        finish(std::move(current), is_acknowledged);
    }
}

} // namespace cicadahatch::engines
