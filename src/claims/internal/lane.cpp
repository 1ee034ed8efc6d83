#include "src/claims/internal/lane.hpp"

#include <algorithm>
#include <utility>

namespace cicadahatch::claims::internal {

lane::lane(shard_view view, const clock& time, std::size_t max_batch,
           std::chrono::milliseconds gather)
    : time_(time), max_batch_(max_batch), gather_(gather), view_(std::move(view)) {}

void lane::run(operation& wanted, store::key_value_store& shared) {
    waiting self{&wanted, false};
    std::unique_lock lock{mutex_};
    queue_.push_back(&self);
    if (queue_.size() >= max_batch_) {
        filled_.notify_one();
    }
    while (!self.is_done) {
        if (has_leader_) {
            changed_.wait(lock);
            continue;
        }
        has_leader_ = true;
        lead(lock, shared);
        has_leader_ = false;
        changed_.notify_all();
    }
}

void lane::lead(std::unique_lock<std::mutex>& lock, store::key_value_store& shared) {
    if (gather_.count() > 0) {
        filled_.wait_for(lock, gather_, [this] { return queue_.size() >= max_batch_; });
    }
    const std::vector<waiting*> batch = take_batch();
    lock.unlock();
    std::vector<operation*> operations;
    operations.reserve(batch.size());
    for (const waiting* each : batch) {
        operations.push_back(each->wanted);
    }
    commit_run running{view_, std::move(operations), time_};
    while (!running.step(shared)) {
    }
    lock.lock();
    for (waiting* each : batch) {
        each->is_done = true;
    }
}

std::vector<lane::waiting*> lane::take_batch() {
    const auto count = static_cast<std::ptrdiff_t>(std::min(queue_.size(), max_batch_));
    std::vector<waiting*> batch(queue_.begin(), queue_.begin() + count);
    queue_.erase(queue_.begin(), queue_.begin() + count);
    return batch;
}

std::size_t lane::sweep(store::key_value_store& shared, std::size_t limit) {
    std::unique_lock lock{mutex_};
    changed_.wait(lock, [this] { return !has_leader_; });
    has_leader_ = true;
    lock.unlock();
    std::size_t swept = 0;
    while (swept < limit && sweep_one(view_, shared, time_.wall_now())) {
        ++swept;
    }
    lock.lock();
    has_leader_ = false;
    changed_.notify_all();
    return swept;
}

} // namespace cicadahatch::claims::internal
