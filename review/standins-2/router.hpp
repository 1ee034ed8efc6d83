#pragma once

#include "review/standins-2/store.hpp"

#include <sys/types.h>

namespace standins {

/// \brief The daemon that the deploy file starts, as a process of its own with the settings of a
/// machine of mddma-hatch, on ports of the loopback address.
class router {
public:
    /// \param program of the deploy file
    /// \param folder for the settings and the log
    router(std::string program, std::string folder, std::string name, std::string zone);
    router(const router&) = delete;
    router& operator=(const router&) = delete;
    router(router&&) = delete;
    router& operator=(router&&) = delete;
    ~router();

    /// \brief Starts the program and waits until it has taken over.
    void start(const store& platform);
    void send_signal(int number) const;
    /// \brief Kills the process if it still runs.
    void end();
    /// \brief Waits for the end of the process.
    /// \returns its exit status, or the signal + 128
    int wait();
    /// \returns whether the process has ended and wait() returns at once
    [[nodiscard]] bool has_ended() const;
    /// \returns whether it takes new channels, as the platform asks it
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] unsigned short front() const noexcept { return front_; }
    [[nodiscard]] const std::string& name() const noexcept { return name_; }

private:
    std::string program_;
    std::string folder_;
    std::string name_;
    std::string zone_;
    unsigned short front_ = free_port();
    unsigned short ready_ = free_port();
    pid_t id_ = -1;
};

/// \brief Waits until a condition holds.
/// \returns whether it did in time
[[nodiscard]] bool eventually(const std::function<bool()>& holds, std::chrono::milliseconds limit);

} // namespace standins
