#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>

namespace cicadahatch::serving {

/// \brief Runs jobs on threads of their own and waits for all of them on destruction.
class worker_group {
public:
    worker_group() = default;
    worker_group(const worker_group&) = delete;
    worker_group& operator=(const worker_group&) = delete;
    worker_group(worker_group&&) = delete;
    worker_group& operator=(worker_group&&) = delete;
    ~worker_group();

    /// \returns the number of jobs running
    [[nodiscard]] int running() const;

    /// \brief Starts a job; returns at once. The job must not throw.
    void start(std::function<void()> job);

private:
    mutable std::mutex mutex_;
    std::condition_variable ended_;
    int running_ = 0;
};

} // namespace cicadahatch::serving
