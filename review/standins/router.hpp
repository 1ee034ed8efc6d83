#pragma once

#include "review/standins/record.hpp"
#include "review/standins/wire.hpp"

#include <atomic>
#include <sys/types.h>
#include <thread>

namespace review {

/// \brief The machine of the platform that runs the daemon: it starts the process with the run
/// command of the deploy file, on loopback addresses.
class router {
public:
    /// \param folder of the settings file and the log
    /// \param store_place address of the platform's store
    router(record& notes, std::string folder, const std::string& store_place,
           std::string name = "front-a-1");
    router(const router&) = delete;
    router& operator=(const router&) = delete;
    router(router&&) = delete;
    router& operator=(router&&) = delete;
    ~router() { stop(); }

    /// \brief Ends the process.
    void stop();
    /// \returns whether the daemon was ready in time
    [[nodiscard]] bool start();
    void signal(int number, const std::string& name) const;
    [[nodiscard]] bool is_running() const;
    [[nodiscard]] std::uint16_t callers() const { return callers_; }

    /// \brief Kills the process once it holds more than its memory, as the platform does.
    void enforce_memory(int limit_mb);
    [[nodiscard]] bool was_killed_for_memory() const { return was_killed_for_memory_; }
    /// \returns the most memory that the process was seen to hold, in MB
    [[nodiscard]] int most_memory_mb() const { return most_memory_mb_; }

private:
    [[nodiscard]] int memory_mb() const;
    [[nodiscard]] bool is_ready() const;

    record& notes_;
    std::string folder_;
    std::string name_;
    std::uint16_t callers_ = free_port();
    std::uint16_t readiness_ = free_port();
    pid_t process_ = 0;
    std::atomic<bool> is_closing_{false};
    std::atomic<bool> was_killed_for_memory_{false};
    std::atomic<int> most_memory_mb_{0};
    std::thread watch_;
};

} // namespace review
