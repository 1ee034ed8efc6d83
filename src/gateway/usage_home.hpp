#pragma once

#include "src/forwarding/gateway_state.hpp"
#include "src/rpc/messages.hpp"
#include "src/usage/ledger.hpp"

#include <map>
#include <optional>

namespace cicadahatch::gateway {

/// \brief Keeps the usage accounts of the teams for the daemons whose home this daemon is.
///
/// It grants the part of each cap that corresponds to the failure domains that it has heard lately,
/// so that the homes of a partitioned network grant the cap once together. Not thread-safe: used by
/// the event loop's thread only.
class usage_home {
public:
    explicit usage_home(forwarding::gateway_state& state);

    [[nodiscard]] static bool is_usage_message(const rpc::message& message);

    /// \returns the answer to the message; nothing if it has none
    [[nodiscard]] std::optional<rpc::message> handle(const daemon_id& from,
                                                     const rpc::message& message);

    /// \brief Sends daemons that ask to the next home.
    void leave() { is_leaving_ = true; }

    /// \brief Follows the configuration and the daemons heard. Called several times a second.
    void tick();

private:
    [[nodiscard]] rpc::usage_answer answer(const rpc::usage_request& request, time_point now);
    void refresh_caps(time_point now);
    void refresh_share(time_point now);

    forwarding::gateway_state& state_;
    usage::ledger ledger_;
    routing::route_table_ptr table_; ///< whose caps the ledger has
    /// When a daemon of a domain was last heard, by the clock that goes on during a suspension.
    std::map<domain_id, time_point> heard_at_;
    double logged_share_ = 0;
    bool is_leaving_ = false;
};

} // namespace cicadahatch::gateway
