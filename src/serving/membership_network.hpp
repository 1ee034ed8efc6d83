#pragma once

#include "src/core/clock.hpp"
#include "src/core/result.hpp"
#include "src/membership/agent.hpp"
#include "src/serving/inbox.hpp"
#include "src/serving/peer_network.hpp"
#include "src/settings/daemon_settings.hpp"

#include <functional>
#include <latch>
#include <memory>

namespace cicadahatch::serving {

/// \brief What the network tells the daemon. Each function is called on a thread of the network
/// and may send messages.
struct network_events {
    std::function<void(const daemon_id& from, const rpc::message&)> on_message;
    std::function<void(const std::vector<rpc::message>& lost)> on_loss;
    std::function<void(const daemon_id& dead)> on_death;
    std::function<void(const rpc::payload&)> on_payload;
    /// Others took this process for dead, or a later start of it exists.
    std::function<void()> on_replaced;
};

/// \brief The daemons of the failure domain and beyond, by the membership module.
class membership_network final : public peer_network {
public:
    membership_network(daemon_id self, network_events events);

    /// \brief Listens and gossips from now on. Until then there are no peers.
    /// \returns why it can't, if so
    [[nodiscard]] result<void> start(const settings::daemon_settings& configured,
                                     incarnation started, const clock& time);

    [[nodiscard]] const daemon_id& self() const override { return self_; }
    [[nodiscard]] std::vector<daemon_id> live_daemons(const domain_id& domain) const override;
    bool send(const daemon_id& peer, rpc::message sent) override;

    [[nodiscard]] membership::agent& gossip() noexcept { return *agent_; }
    [[nodiscard]] const membership::agent& gossip() const noexcept { return *agent_; }
    /// \returns where peers reach this daemon
    [[nodiscard]] http::endpoint place() const { return agent_->self().place; }

private:
    void handle(const rpc::delivery& received);
    void note(const membership::member_event& event);

    daemon_id self_;
    network_events events_;
    std::latch started_{1}; ///< the agent's threads run before agent_ is set
    std::unique_ptr<inbox> inbox_;
    std::unique_ptr<membership::agent> agent_;
};

} // namespace cicadahatch::serving
