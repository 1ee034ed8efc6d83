#include "src/claims/internal/lane.hpp"

#include "src/claims/constants.hpp"

#include <algorithm>
#include <thread>
#include <utility>

namespace cicadahatch::claims::internal {

lane::lane(shard_view view, const clock& time, std::size_t max_batch,
           std::chrono::milliseconds gather, std::uint64_t seed)
    : time_(time), max_batch_(max_batch), gather_(gather), view_(std::move(view)), random_(seed) {}

void lane::run(operation& wanted, platform::store& shared) {
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

void lane::lead(std::unique_lock<std::mutex>& lock, platform::store& shared) {
    const duration wait = std::max<duration>(gather_, random_.jittered(pause_));
    if (wait > duration{0}) {
        filled_.wait_for(lock, wait, [this] { return queue_.size() >= max_batch_; });
    }
    const std::vector<waiting*> batch = take_batch();
    lock.unlock();
    commit(batch, shared);
    lock.lock();
    for (waiting* each : batch) {
        each->is_done = true;
    }
}

void lane::commit(const std::vector<waiting*>& batch, platform::store& shared) {
    std::vector<operation*> operations;
    operations.reserve(batch.size());
    for (const waiting* each : batch) {
        operations.push_back(each->wanted);
    }
    commit_run running{view_, std::move(operations), time_};
    int seen_races = 0;
    while (!running.step(shared)) {
        if (running.lost_races() > seen_races) {
            seen_races = running.lost_races();
            pause_after_lost_race();
        }
    }
    pause_ = seen_races == 0 ? pause_ / 2 : pause_;
}

void lane::pause_after_lost_race() {
    pause_ = std::clamp(pause_ * 2, min_race_pause, max_race_pause);
    std::this_thread::sleep_for(random_.jittered(pause_));
}

std::vector<lane::waiting*> lane::take_batch() {
    const auto count = static_cast<std::ptrdiff_t>(std::min(queue_.size(), max_batch_));
    std::vector<waiting*> batch(queue_.begin(), queue_.begin() + count);
    queue_.erase(queue_.begin(), queue_.begin() + count);
    return batch;
}

std::size_t lane::sweep(platform::store& shared, std::size_t limit) {
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
