#pragma once

#include "src/rpc/delivery.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace cicadahatch::serving {

/// \brief Takes deliveries from the connections' threads and handles them in order on its own.
class inbox {
public:
    /// \brief Handles one delivery.
    using handler = std::function<void(const rpc::delivery&)>;

    explicit inbox(handler called);
    inbox(const inbox&) = delete;
    inbox& operator=(const inbox&) = delete;
    inbox(inbox&&) = delete;
    inbox& operator=(inbox&&) = delete;
    ~inbox();

    /// \brief Queues a delivery; returns at once.
    void push(rpc::delivery received);

private:
    void run();

    handler handler_;
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::deque<rpc::delivery> waiting_;
    bool is_stopping_ = false;
    std::thread thread_;
};

} // namespace cicadahatch::serving
