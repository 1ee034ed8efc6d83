#pragma once

#include "src/serving/peer_network.hpp"

namespace cicadahatch::serving {

/// \brief The network of a daemon that has no peers.
class solo_network final : public peer_network {
public:
    explicit solo_network(daemon_id self) : self_(std::move(self)) {}

    [[nodiscard]] const daemon_id& self() const override { return self_; }
    [[nodiscard]] std::vector<daemon_id> live_daemons(const domain_id& domain) const override {
        static_cast<void>(domain);
        return {self_};
    }
    bool send(const daemon_id& peer, rpc::message sent) override {
        static_cast<void>(peer);
        static_cast<void>(sent);
        return false;
    }

private:
    daemon_id self_;
};

} // namespace cicadahatch::serving
