#pragma once

#include "src/core/identifiers.hpp"
#include "src/rpc/messages.hpp"

#include <vector>

namespace cicadahatch::serving {

/// \brief How the parts of a daemon reach the other daemons.
class peer_network {
public:
    peer_network() = default;
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;
    peer_network(peer_network&&) = delete;
    peer_network& operator=(peer_network&&) = delete;
    virtual ~peer_network() = default;

    /// \returns this daemon
    [[nodiscard]] virtual const daemon_id& self() const = 0;
    /// \returns the live daemons of a failure domain that take cells, this one included if it does
    [[nodiscard]] virtual std::vector<daemon_id> live_daemons(const domain_id& domain) const = 0;

    /// \brief Queues a message; returns at once. A message to this daemon itself is not sent here.
    /// \returns false if the peer is not known or too much waits for it
    virtual bool send(const daemon_id& peer, rpc::message sent) = 0;
};

} // namespace cicadahatch::serving
