#pragma once

#include "src/forwarding/backend_connection.hpp"

#include <deque>
#include <unordered_map>

namespace cicadahatch::forwarding {

/// \brief Idle connections to backend servers, kept for the next exchange.
class connection_pool {
public:
    /// \returns the connection that was used last, if it is sound; null if there is none
    [[nodiscard]] connection_ptr take(const backend_id& backend, incarnation started,
                                      time_point now);

    /// \brief Keeps a connection if another exchange may follow on it.
    void give_back(const connection_ptr& used, time_point now);

    /// \brief Closes the connections that the servers are about to close.
    void close_expired(time_point now);

    /// \brief Closes the connections to a backend server.
    void close_all(const backend_id& backend);

    [[nodiscard]] std::size_t size() const;

private:
    struct idle_connection {
        connection_ptr connection;
        time_point stale_at;
    };

    std::unordered_map<backend_id, std::deque<idle_connection>> idle_;
};

} // namespace cicadahatch::forwarding
