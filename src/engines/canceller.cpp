#include "src/engines/canceller.hpp"

#include "src/engines/calls.hpp"
#include "src/engines/constants.hpp"

#include <algorithm>

namespace cicadahatch::engines {

namespace {

/// One slow engine occupies one worker at most for a call's timeout.
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

void canceller::cancel(const http::endpoint& place, const attempt_id& attempt) {
    const time_point now = time_.now();
    {
        const std::lock_guard lock{mutex_};
        jobs_.push_back({place, attempt, now, now});
    }
    changed_.notify_one();
}

bool canceller::take_due(job& taken) {
    const time_point now = time_.now();
    const auto due = std::find_if(jobs_.begin(), jobs_.end(),
                                  [&](const job& waiting) { return waiting.due <= now; });
    if (due == jobs_.end()) {
        return false;
    }
    taken = std::move(*due);
    jobs_.erase(due);
    ++running_;
    return true;
}

void canceller::finish(job done, bool is_acknowledged) {
    --running_;
    const time_point now = time_.now();
    if (is_acknowledged || now - done.queued > cancel_timeout) {
        return;
    }
    done.due = now + cancel_retry_period;
    jobs_.push_back(std::move(done));
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
            engines::cancel(pool_, current.place, current.attempt).has_value();
        lock.lock();
        finish(std::move(current), is_acknowledged);
    }
}

} // namespace cicadahatch::engines
