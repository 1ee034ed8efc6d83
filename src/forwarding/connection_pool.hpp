#pragma once

#include "src/forwarding/backend_connection.hpp"

#include <deque>
#include <unordered_map>

namespace cicadahatch::forwarding {

/// \brief Pool of idle backend connections.
class connection_pool {
public:
    /// \returns the most recently used connection that is still alive, or null
    [[nodiscard]] connection_ptr acquire(const backend_id& backend, incarnation started,
                                         time_point now);

    /// \brief Returns a connection to the pool if it is reusable, and closes it otherwise.
    void release(const connection_ptr& connection, time_point now);

    /// \brief Closes idle connections that their servers are about to close or have closed.
    void close_expired(time_point now);

    /// \brief Closes all idle connections to a backend server.
    void close_all(const backend_id& backend);

    [[nodiscard]] std::size_t size() const;

private:
    struct idle_connection {
        connection_ptr connection;
        time_point expires_at;
    };

    std::unordered_map<backend_id, std::deque<idle_connection>> idle_;
};

} // namespace cicadahatch::forwarding
