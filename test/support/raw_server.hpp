#pragma once

#include "cicadahatch/http"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace cicadahatch::test_support {

/// \brief What a raw_server sends and how its connection goes on.
struct raw_answer {
    enum class ending : std::uint8_t {
        keep,             ///< waits for the next request
        close,            ///< closes; the kernel resets the connection if it holds unread bytes
        reset,            ///< resets the connection
        finish_then_reset ///< ends its sending side, and resets the connection later
    };
    std::string bytes;
    ending end = ending::close;
    bool is_early = false; ///< sent once the head of the request has come; the body stays unread
    std::chrono::milliseconds delay{0}; ///< before the bytes are sent
    std::chrono::milliseconds pause{0}; ///< between the bytes and the end of the connection
    std::string late_bytes{};           ///< sent after the pause
};

/// \brief A server that answers requests with any bytes, on a thread of its own. Its receive
/// buffers are small, so that a request of megabytes is still being written when an early answer
/// comes.
class raw_server {
public:
    /// \param head of the request, with the blank line
    using handler = std::function<raw_answer(const std::string& head)>;

    /// \param answer called on the server's thread
    explicit raw_server(handler answer);
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    raw_server(raw_server&&) = delete;
    raw_server& operator=(raw_server&&) = delete;
    ~raw_server();

    [[nodiscard]] http::endpoint place() const;

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

/// \returns the parts as one text
[[nodiscard]] std::string join(std::initializer_list<std::string_view> parts);

/// \returns the value of a field in a head as sent, or an empty text
[[nodiscard]] std::string raw_field(const std::string& head, const std::string& name);

} // namespace cicadahatch::test_support
