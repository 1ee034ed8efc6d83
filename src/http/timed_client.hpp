#pragma once

#include "src/core/result.hpp"
#include "src/http/constants.hpp"
#include "src/http/endpoint.hpp"
#include "src/http/message.hpp"

#include <chrono>
#include <memory>

namespace cicadahatch::http {

/// \brief Bounds of a call.
struct call_limits {
    /// From the start of the call to the first byte of the response.
    std::chrono::milliseconds first_byte{0};
    std::chrono::milliseconds silence{0}; ///< between two bytes of the response
    std::chrono::milliseconds total{0};   ///< of the whole call
    std::size_t body_bytes = max_response_bytes;
};

/// \returns limits of a call that has to end within a time, whether or not bytes arrive
[[nodiscard]] constexpr call_limits limit_whole_call(std::chrono::milliseconds timeout) {
    return {timeout, timeout, timeout};
}

/// \brief One kept connection to a server whose calls are bounded as a whole: connecting, sending
/// and receiving together.
///
/// client_connection bounds each of these by itself, and connecting by seconds. A call that fails
/// closes the connection. Used by one thread at a time.
class timed_client {
public:
    explicit timed_client(endpoint place);
    timed_client(const timed_client&) = delete;
    timed_client& operator=(const timed_client&) = delete;
    timed_client(timed_client&&) = delete;
    timed_client& operator=(timed_client&&) = delete;
    ~timed_client();

    /// \brief Sends a request and reads the whole response.
    /// \param is_repeatable a kept connection that turns out to be closed is replaced once
    /// \returns the response, or an error; see is_surely_unsent(). errc::body_too_large and
    /// errc::body_late tell that the server was responding: the body exceeds the limit, or was
    /// still arriving at the end of the call's time.
    [[nodiscard]] result<response> call(const request& sent, const call_limits& limits,
                                        bool is_repeatable);

private:
    struct connection;
    std::unique_ptr<connection> connection_;
};

} // namespace cicadahatch::http
