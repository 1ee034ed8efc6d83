#include "src/serving/worker_group.hpp"

#include <thread>

namespace cicadahatch::serving {

worker_group::~worker_group() {
    std::unique_lock lock{mutex_};
    ended_.wait(lock, [this] { return running_ == 0; });
}

int worker_group::running() const {
    const std::lock_guard lock{mutex_};
    return running_;
}

void worker_group::start(std::function<void()> job) {
    {
        const std::lock_guard lock{mutex_};
        ++running_;
    }
    std::thread{[this, job = std::move(job)] {
        job();
        const std::lock_guard lock{mutex_};
        --running_;
        ended_.notify_all();
    }}.detach();
}

} // namespace cicadahatch::serving
