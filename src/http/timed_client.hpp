#pragma once

#include "src/core/result.hpp"
#include "src/http/endpoint.hpp"
#include "src/http/message.hpp"

#include <chrono>
#include <memory>

namespace cicadahatch::http {

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
    /// \returns the response, or an error; see is_surely_unsent()
    [[nodiscard]] result<response> call(const request& sent, std::chrono::milliseconds timeout,
                                        bool is_repeatable);

private:
    struct connection;
    std::unique_ptr<connection> connection_;
};

} // namespace cicadahatch::http
