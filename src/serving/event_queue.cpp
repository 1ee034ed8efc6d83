#include "src/serving/event_queue.hpp"

namespace cicadahatch::serving {

void event_queue::push(attempt_event event) {
    {
        const std::lock_guard lock{mutex_};
        events_.push_back(std::move(event));
    }
    arrived_.notify_one();
}

std::optional<attempt_event> event_queue::pop_for(std::chrono::milliseconds wait) {
    std::unique_lock lock{mutex_};
    if (!arrived_.wait_for(lock, wait, [this] { return !events_.empty(); })) {
        return std::nullopt;
    }
    attempt_event next = std::move(events_.front());
    events_.pop_front();
    return next;
}

} // namespace cicadahatch::serving
