#pragma once

#include "src/http/exchange.hpp"
#include "src/metrics/registry.hpp"
#include "src/serving/caller_handler.hpp"
#include "src/serving/drain_state.hpp"
#include "src/serving/peer_network.hpp"
#include "src/serving/serving_context.hpp"

#include <functional>

namespace cicadahatch::serving {

/// \brief What the admin listener can order the daemon to do.
struct admin_actions {
    std::function<void()> drain_daemon;
    /// Takes a backend server out of service in all of the failure domain.
    std::function<bool(const backend_id&, bool is_drained)> drain_backend;
};

/// \brief Answers the requests of the admin listener, below /admin/v1, and GET /metrics.
class admin_handler {
public:
    admin_handler(serving_context& shared, const caller_handler& callers, drain_state& drain,
                  const peer_network& network, metrics::registry& values, admin_actions actions)
        : shared_(shared), callers_(callers), drain_(drain), network_(network), values_(values),
          actions_(std::move(actions)) {}

    void handle(http::exchange& call);

private:
    [[nodiscard]] bool is_authorized(const http::request& received) const;
    void read(http::exchange& call);
    void order(http::exchange& call);
    [[nodiscard]] std::string status() const;
    [[nodiscard]] std::string cells() const;
    [[nodiscard]] std::string engines() const;
    [[nodiscard]] std::string members() const;
    [[nodiscard]] std::string configuration() const;
    void burn(http::exchange& call) const;
    void drain(http::exchange& call);
    void set_log_level(http::exchange& call);

    serving_context& shared_;
    const caller_handler& callers_;
    drain_state& drain_;
    const peer_network& network_;
    metrics::registry& values_;
    admin_actions actions_;
};

} // namespace cicadahatch::serving
