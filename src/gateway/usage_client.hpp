#pragma once

#include "src/forwarding/gateway_state.hpp"
#include "src/forwarding/usage_service.hpp"
#include "src/gateway/home_connections.hpp"
#include "src/usage/credit.hpp"
#include "src/usage/ledger.hpp"

#include <map>
#include <memory>
#include <unordered_map>

namespace cicadahatch::gateway {

/// \brief Takes the units of requests from the home of the usage accounts.
///
/// Streams ask for each request, plain requests use units obtained in advance where the team has
/// called here lately. Without a home, this daemon grants its equal share of the caps. Not
/// thread-safe: used by the event loop's thread only.
class usage_client final : public forwarding::usage_service, public home_user {
public:
    usage_client(forwarding::gateway_state& state, home_connections& homes);

    [[nodiscard]] forwarding::asio::awaitable<forwarding::usage_decision>
    take(forwarding::request_context_ptr request) override;
    void give_back(const forwarding::request_context& request,
                   const forwarding::usage_decision& decision) override;

    [[nodiscard]] std::set<cell_id> cells() const override;
    [[nodiscard]] std::optional<time_point> oldest_unanswered(const daemon_id& home) const override;
    void on_home_open(const daemon_id& home) override;
    void on_home_messages(const daemon_id& home,
                          const std::vector<rpc::message>& received) override;
    void on_home_close(const daemon_id& home) override;

    /// \brief Tells the home that this daemon relies on it, and returns units that were not used.
    /// Called several times a second.
    void tick();

private:
    struct pending_request {
        rpc::usage_request request;
        rpc::usage_answer answer;
        daemon_id home; ///< that received the request; empty: none
        time_point sent_at;
        bool is_answered = false;
        bool is_abandoned = false; ///< the request goes on without the answer
        std::shared_ptr<forwarding::asio::steady_timer> timer;
    };
    using pending_ptr = std::shared_ptr<pending_request>;

    [[nodiscard]] forwarding::asio::awaitable<forwarding::usage_decision>
    ask(forwarding::request_context_ptr request, rpc::usage_request question,
        std::chrono::milliseconds max_wait);
    [[nodiscard]] forwarding::usage_decision decide_locally(const rpc::usage_request& request);
    [[nodiscard]] forwarding::usage_decision settle(const pending_request& answered);
    void send_to_home(pending_request& row);
    void handle(const daemon_id& home, const rpc::usage_answer& answer);
    void send_presence();
    void return_expired_credit();

    forwarding::gateway_state& state_;
    home_connections& homes_;
    std::map<std::uint64_t, pending_ptr> pending_; ///< by ticket
    std::uint64_t last_ticket_ = 0;
    std::unordered_map<team_id, usage::credit> credits_;
    usage::ledger local_;                  ///< used while no home is reached
    routing::route_table_ptr local_table_; ///< whose caps the local ledger has
    time_point presence_sent_at_;
};

} // namespace cicadahatch::gateway
