#include "src/serving/grant_ticket.hpp"

namespace cicadahatch::serving {

std::optional<grant_answer> grant_ticket::wait_for(std::chrono::milliseconds wait) {
    std::unique_lock lock{mutex_};
    answered_.wait_for(lock, wait, [this] { return answer_.has_value(); });
    return answer_;
}

bool grant_ticket::answer(grant_answer given) {
    {
        const std::lock_guard lock{mutex_};
        if (answer_.has_value()) {
            return false;
        }
        answer_ = std::move(given);
    }
    answered_.notify_all();
    return true;
}

std::optional<rpc::granted> grant_ticket::held() const {
    const std::lock_guard lock{mutex_};
    if (!answer_.has_value() || !answer_->has_value()) {
        return std::nullopt;
    }
    return answer_->value();
}

} // namespace cicadahatch::serving
