#include "src/discovery/registry_feed.hpp"

#include <algorithm>
#include <utility>

namespace cicadahatch::discovery {

namespace {

/// Looks kept for a thread that is behind; it reads the store itself where one was dropped.
constexpr std::size_t max_untaken = 64;

} // namespace

registry_feed::registry_feed(const clock& time, std::chrono::milliseconds silence)
    : time_(time), silence_(silence) {}

void registry_feed::offer(store_look heard) {
    const std::lock_guard lock{mutex_};
    if (is_serving_) {
        return;
    }
    heard_at_ = time_.now();
    untaken_.emplace_back(*heard_at_, std::move(heard));
    if (untaken_.size() > max_untaken) {
        untaken_.pop_front();
    }
    offered_.notify_one();
}

void registry_feed::set_silence(std::chrono::milliseconds silence) {
    const std::lock_guard lock{mutex_};
    silence_ = silence;
}

void registry_feed::set_serving(bool is_serving) {
    const std::lock_guard lock{mutex_};
    is_serving_ = is_serving;
    if (is_serving_) {
        untaken_.clear();
    }
}

bool registry_feed::is_serving() const {
    const std::lock_guard lock{mutex_};
    return is_serving_;
}

bool registry_feed::is_reliable() const {
    const std::lock_guard lock{mutex_};
    return !is_serving_ && heard_at_ && time_.now() - *heard_at_ <= silence_;
}

std::optional<store_look> registry_feed::take(std::chrono::milliseconds wait) {
    std::unique_lock lock{mutex_};
    offered_.wait_for(lock, wait, [this] { return !untaken_.empty(); });
    if (untaken_.empty()) {
        return std::nullopt;
    }
    auto [came_at, taken] = std::move(untaken_.front());
    untaken_.pop_front();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(time_.now() - came_at);
    taken.settling = std::max(std::chrono::milliseconds{0}, taken.settling - age);
    return std::move(taken);
}

} // namespace cicadahatch::discovery
