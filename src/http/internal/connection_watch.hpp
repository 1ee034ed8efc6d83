#pragma once

#include "src/core/clock.hpp"
#include "src/http/forward_declarations.hpp"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <pthread.h>
#include <thread>
#include <unordered_map>

namespace cicadahatch::http::internal {

/// \brief What a worker waits for on its connection.
enum class connection_phase {
    head,   ///< the head of a request
    body,   ///< the body of a request
    running ///< nothing; the request is being handled
};

/// \brief One open connection of a server.
struct connection_row {
    pthread_t worker{};
    connection_phase phase = connection_phase::head;
    time_point since;
    bool is_interrupted = false; ///< its wait was ended by the watch
};

using connection_table = std::unordered_map<const mg_connection*, connection_row>;

/// \brief What a server allows to its connections.
struct connection_limits {
    std::chrono::milliseconds body_timeout{0}; ///< longest time in which a body arrives
    int workers = 0;                           ///< connections that are served at once
    int reserved_workers = 0; ///< workers freed from waiting connections; zero: none
};

/// \brief Ends the wait of bodies that are late, and of the connections that have waited longest
/// while fewer workers are free than are reserved.
/// \param interrupt called for each; its worker's blocking call returns
void interrupt_waiting(connection_table& connections, const connection_limits& limits,
                       time_point now, void (*interrupt)(pthread_t));

/// \brief Watches the connections of one server on a thread of its own.
///
/// CivetWeb bounds the time for a head, and for each piece of a body, but not for a whole body; nor
/// can its callers reach the socket. A signal to the worker ends its blocking call from outside.
class connection_watch {
public:
    connection_watch(connection_limits limits, const clock& time);
    connection_watch(const connection_watch&) = delete;
    connection_watch& operator=(const connection_watch&) = delete;
    connection_watch(connection_watch&&) = delete;
    connection_watch& operator=(connection_watch&&) = delete;
    ~connection_watch();

    /// \brief Notes a connection that the calling thread serves from now on.
    void open(const mg_connection* connection);
    /// \brief Notes what the connection's worker does from now on.
    void enter(const mg_connection* connection, connection_phase phase);
    void close(const mg_connection* connection);
    /// \returns whether the wait for a body was ended by the watch or has lasted too long
    [[nodiscard]] bool is_late(const mg_connection* connection) const;

private:
    void run();

    connection_limits limits_;
    const clock& time_;
    mutable std::mutex mutex_;
    std::condition_variable stopping_;
    bool is_stopping_ = false;
    connection_table connections_;
    std::thread thread_;
};

} // namespace cicadahatch::http::internal
