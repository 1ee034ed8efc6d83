#pragma once

#include "cicadahatch/core"
#include "cicadahatch/http"

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace cicadahatch::test_support {

/// \brief A program of this project that a test has started. It is killed on destruction.
///
/// The program prints a line `ready HOST:PORT`, or `ready NAME=HOST:PORT ...` for several
/// listeners, once it listens.
class process {
public:
    /// \brief Starts a program and waits for its ready line; stops the test if none comes.
    /// \param arguments the program's path first
    /// \param output file for standard error; empty: that of the test
    explicit process(const std::vector<std::string>& arguments, const std::string& output = {});
    /// \brief Starts a program that prints no ready line, without waiting for it.
    /// \param output file for standard output and standard error
    [[nodiscard]] static process start(const std::vector<std::string>& arguments,
                                       const std::string& output);
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    ~process();

    [[nodiscard]] pid_t id() const noexcept { return id_; }
    /// \returns where the program listens
    /// \param listener the listener's name; empty for a program with one
    [[nodiscard]] const http::endpoint& place(const std::string& listener = {}) const;

    /// \brief Sends a signal. The process has stopped when SIGSTOP has been sent.
    void send_signal(int signal) const;
    /// \brief Ends the program at once, as if its VM had died.
    void kill();
    /// \brief Waits for the program's end.
    /// \returns its exit status, or 128 and more if a signal ended it
    int wait();

private:
    process() = default;
    void spawn(const std::vector<std::string>& arguments, int output, const std::string& errors);
    void read_ready_line(int descriptor);

    pid_t id_ = -1;
    std::map<std::string, http::endpoint> places_;
};

} // namespace cicadahatch::test_support
