#include "src/serving/inbox.hpp"

namespace cicadahatch::serving {

inbox::inbox(handler called) : handler_(std::move(called)), thread_([this] { run(); }) {}

inbox::~inbox() {
    {
        const std::lock_guard lock{mutex_};
        is_stopping_ = true;
    }
    arrived_.notify_all();
    thread_.join();
}

void inbox::push(rpc::delivery received) {
    {
        const std::lock_guard lock{mutex_};
        waiting_.push_back(std::move(received));
    }
    arrived_.notify_one();
}

void inbox::run() {
    std::unique_lock lock{mutex_};
    while (true) {
        arrived_.wait(lock, [this] { return is_stopping_ || !waiting_.empty(); });
        if (is_stopping_) {
            return;
        }
        const rpc::delivery next = std::move(waiting_.front());
        waiting_.pop_front();
        lock.unlock();
        handler_(next);
        lock.lock();
    }
}

} // namespace cicadahatch::serving
