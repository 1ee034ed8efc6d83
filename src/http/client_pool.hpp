#pragma once

#include "src/http/client.hpp"
#include "src/http/constants.hpp"

#include <map>
#include <mutex>
#include <vector>

namespace cicadahatch::http {

/// \brief Kept connections by server, for calls that may be repeated. Safe for use by threads.
class client_pool {
public:
    /// \param tls how to reach the servers
    /// \param max_idle connections kept for each server
    explicit client_pool(client_tls tls = {}, std::size_t max_idle = 4)
        : tls_(std::move(tls)), max_idle_(max_idle) {}

    /// \brief Sends an idempotent request. A kept connection that fails before a response is
    /// replaced by a fresh one once.
    /// \param max_body_bytes a longer body of the response is an error
    [[nodiscard]] result<response> call(const endpoint& place, const request& sent,
                                        std::chrono::milliseconds timeout,
                                        std::size_t max_body_bytes = max_response_bytes);

    /// \brief Sends a request that may not be repeated: always on a fresh connection, never again.
    [[nodiscard]] result<response> call_once(const endpoint& place, const request& sent,
                                             std::chrono::milliseconds timeout,
                                             std::size_t max_body_bytes = max_response_bytes);

private:
    [[nodiscard]] std::vector<client_connection> take_idle(const endpoint& place);
    void give_back(const endpoint& place, client_connection connection);

    client_tls tls_;
    std::size_t max_idle_;
    std::mutex mutex_;
    std::map<endpoint, std::vector<client_connection>> idle_;
};

} // namespace cicadahatch::http
