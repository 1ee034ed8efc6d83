#pragma once

#include "cicadahatch/http"

#include <string>
#include <sys/types.h>
#include <vector>

namespace cicadahatch::test_support {

/// \brief One of our own programs, run as a child process of a test. Ends with this object.
class child_program {
public:
    /// \brief Starts a program of the build tree and waits until it prints "ready HOST:PORT", or
    /// stops the test.
    /// \param path below the build directory, such as "test/fake_platform"
    explicit child_program(const std::string& path, const std::vector<std::string>& arguments = {});
    child_program(const child_program&) = delete;
    child_program& operator=(const child_program&) = delete;
    child_program(child_program&&) = delete;
    child_program& operator=(child_program&&) = delete;
    ~child_program();

    [[nodiscard]] const http::endpoint& place() const noexcept { return place_; }
    [[nodiscard]] pid_t pid() const noexcept { return pid_; }
    [[nodiscard]] bool is_running() const noexcept { return pid_ > 0; }
    /// \brief Sends a signal such as SIGSTOP.
    void signal(int number) const;
    /// \brief Kills the process and waits for its end.
    void kill();
    /// \brief Waits for the process to end by itself, after signal(SIGTERM).
    /// \returns its exit status, or minus the signal that ended it
    int wait();

private:
    pid_t pid_ = -1;
    http::endpoint place_;
};

} // namespace cicadahatch::test_support
