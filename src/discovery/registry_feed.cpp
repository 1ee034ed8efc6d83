#include "src/discovery/registry_feed.hpp"

#include <algorithm>
#include <utility>

namespace cicadahatch::discovery {

namespace {

/// Bounds the queue of a slow consumer. It reads the store itself to fill a gap of dropped deltas.
constexpr std::size_t max_pending = 64;

} // namespace

registry_feed::registry_feed(const clock& time, std::chrono::milliseconds timeout)
    : time_(time), timeout_(timeout) {}

void registry_feed::offer(store_delta delta) {
    const std::lock_guard lock{mutex_};
    if (is_relaying_) {
        return;
    }
    received_at_ = time_.now();
    pending_.emplace_back(*received_at_, std::move(delta));
    if (pending_.size() > max_pending) {
        pending_.pop_front();
    }
    available_.notify_one();
}

void registry_feed::set_timeout(std::chrono::milliseconds timeout) {
    const std::lock_guard lock{mutex_};
    timeout_ = timeout;
}

void registry_feed::set_relaying(bool is_relaying) {
    const std::lock_guard lock{mutex_};
    is_relaying_ = is_relaying;
    if (is_relaying_) {
        pending_.clear();
    }
}

bool registry_feed::is_relaying() const {
    const std::lock_guard lock{mutex_};
    return is_relaying_;
}

bool registry_feed::is_live() const {
    const std::lock_guard lock{mutex_};
    return !is_relaying_ && received_at_ && time_.now() - *received_at_ <= timeout_;
}

std::optional<store_delta> registry_feed::take(std::chrono::milliseconds wait) {
    std::unique_lock lock{mutex_};
    available_.wait_for(lock, wait, [this] { return !pending_.empty(); });
    if (pending_.empty()) {
        return std::nullopt;
    }
    auto [received_at, delta] = std::move(pending_.front());
    pending_.pop_front();
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(time_.now() - received_at);
    delta.grace_period = std::max(std::chrono::milliseconds{0}, delta.grace_period - age);
    return std::move(delta);
}

} // namespace cicadahatch::discovery
