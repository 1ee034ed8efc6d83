#pragma once

#include "src/rpc/peer_link.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace cicadahatch::rpc {

/// Called on a link's thread with what a peer did not take.
using peer_loss_handler = std::function<void(const daemon_id& peer, std::vector<message> lost,
                                             const std::error_code& reason)>;

/// \brief The links of one daemon, opened on first use and closed when idle. Safe for threads.
class peer_links {
public:
    /// \param prototype a builder with sender, secret, TLS and delays set
    /// \param on_loss may be empty
    explicit peer_links(peer_link_builder prototype, peer_loss_handler on_loss = {});

    /// \brief Queues a message for a peer. A peer seen at a new place gets a new link.
    [[nodiscard]] result<void> send(const daemon_id& peer, const http::endpoint& place,
                                    message sent, urgency how = urgency::prompt);

    /// \brief Closes the link to a peer that has died; what waits for it is reported as lost.
    void close(const daemon_id& peer);

    /// \brief Closes the links that were not used for a while.
    void close_idle(std::chrono::milliseconds idle = idle_link_timeout);

    /// \returns what all links have carried, closed ones included
    [[nodiscard]] traffic carried() const;
    /// \returns the number of open links
    [[nodiscard]] std::size_t size() const;

private:
    using link_key = std::pair<daemon_id, http::endpoint>;

    [[nodiscard]] std::shared_ptr<peer_link> link_to(const daemon_id& peer,
                                                     const http::endpoint& place);
    void retire(std::vector<std::shared_ptr<peer_link>> closing);

    peer_link_builder prototype_;
    peer_loss_handler on_loss_;
    mutable std::mutex mutex_;
    std::map<link_key, std::shared_ptr<peer_link>> links_;
    traffic closed_;
};

} // namespace cicadahatch::rpc
