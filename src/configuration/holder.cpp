#include "src/configuration/holder.hpp"

#include <glog/logging.h>

namespace cicadahatch::configuration {

snapshot_ptr holder::current() const {
    const std::lock_guard lock{mutex_};
    return current_;
}

revision holder::at() const {
    const snapshot_ptr held = current();
    return held ? held->at() : revision{};
}

bool holder::offer(snapshot_ptr offered) {
    const std::lock_guard order{offering_};
    {
        const std::lock_guard lock{mutex_};
        if (current_ && offered->at() <= current_->at()) {
            const bool is_other = offered->at() == current_->at() &&
                                  offered->fingerprint() != current_->fingerprint();
            LOG_IF(ERROR, is_other) << "configuration: two contents of revision "
                                    << offered->at().value() << ", keeping ours";
            return false;
        }
        current_ = offered;
    }
    LOG(INFO) << "configuration: revision " << offered->at().value() << " in force, "
              << offered->services().size() << " services";
    for (const auto& [number, called] : observers_) {
        called(offered);
    }
    return true;
}

std::uint64_t holder::subscribe(observer called) {
    const std::lock_guard order{offering_};
    const std::uint64_t number = next_number_++;
    observers_.emplace(number, std::move(called));
    return number;
}

void holder::unsubscribe(std::uint64_t number) {
    const std::lock_guard order{offering_};
    observers_.erase(number);
}

} // namespace cicadahatch::configuration
