#pragma once

#include "src/core/random.hpp"
#include "src/discovery/follower.hpp"
#include "src/forwarding/gateway_state.hpp"
#include "src/forwarding/placement_service.hpp"
#include "src/gateway/peer_channel.hpp"

#include <map>
#include <memory>
#include <set>

namespace cicadahatch::gateway {

/// \brief Requests placements from the homes of the cells.
///
/// A cell's home is the first reachable daemon in rendezvous order. Each new connection to a home
/// starts with a registration of the grants that this daemon holds.
class placement_client final : public forwarding::placement_service {
public:
    placement_client(forwarding::gateway_state& state, daemon_id self);

    [[nodiscard]] forwarding::asio::awaitable<forwarding::placement_response>
    request_placement(forwarding::request_context_ptr context,
                      forwarding::placement_request request) override;
    void on_prefill_finished(const forwarding::request_context& context,
                             const forwarding::placement_request& request) override;
    void on_first_event(const forwarding::request_context& context,
                        const forwarding::placement_request& request) override;
    void on_engine_leaving(const discovery::backend& engine) override;
    void on_attempt_ended(const forwarding::request_context& context,
                          const forwarding::placement_request& request,
                          forwarding::placement_outcome end, std::uint32_t output_tokens) override;

    /// \brief Replaces the list of daemons that may be homes.
    void set_daemons(std::vector<discovery::registered_daemon> daemons);

    /// \brief Connects to homes and closes connections that timed out. Called several times a
    /// second.
    void tick();

private:
    /// A placement request, from its submission until the end of its attempt.
    struct placement_entry {
        rpc::acquire acquire;
        rpc::grant_record grant; ///< valid once granted
        bool is_granted = false;
        bool is_answered = false;
        time_point asked_at;
        time_point granted_at;
        daemon_id home; ///< that received the request; empty: none
        forwarding::placement_response answer;
        std::shared_ptr<forwarding::asio::steady_timer> wake_timer;
    };

    /// A daemon that may be a home.
    struct candidate {
        discovery::registered_daemon daemon;
        std::shared_ptr<peer_channel> channel; ///< null: not connected
        time_point opened_at;                  ///< when the connection attempt started
        bool is_established = false;
        time_point avoid_until;
    };

    using entry_ptr = std::shared_ptr<placement_entry>;

    [[nodiscard]] std::vector<daemon_id> homes_of(const cell_id& cell) const;
    [[nodiscard]] candidate* connected_home(const cell_id& cell);
    [[nodiscard]] std::set<cell_id> cells() const;
    void connect(candidate& target);
    void connect_to_homes();
    [[nodiscard]] bool is_connecting(const cell_id& cell) const;
    void retry_unassigned(time_point now);
    void on_open(const daemon_id& home);
    void on_messages(const daemon_id& home, const std::vector<rpc::message>& received);
    void on_close(const daemon_id& home);
    void handle(const daemon_id& home, const rpc::granted& answer);
    void handle(const daemon_id& home, const rpc::refused& answer);
    void handle(const daemon_id& home, const rpc::crashing_parts& known);
    /// \returns the answer to a request if no home can be reached
    [[nodiscard]] forwarding::placement_response answer_without_home(const rpc::acquire& request);
    void register_grants(const daemon_id& home);
    void send_to_home(const entry_ptr& entry);
    void notify_homes(const cell_id& cell, const rpc::message& message);
    /// \returns when the oldest unanswered request to the home was sent
    [[nodiscard]] std::optional<time_point> oldest_unanswered(const daemon_id& home) const;
    void close_if_timed_out(candidate& row, time_point now);
    [[nodiscard]] entry_ptr find(const request_id& request, attempt_number attempt) const;

    forwarding::gateway_state& state_;
    daemon_id self_;
    std::map<daemon_id, candidate> candidates_;
    std::map<request_id, entry_ptr> entries_; ///< by request and attempt
    rpc::crashing_parts suspects_; ///< as last received from a home; a new home is told them
    /// Cache of the homes per cell; cleared when the daemons change.
    mutable std::map<cell_id, std::vector<daemon_id>> homes_by_cell_;
};

} // namespace cicadahatch::gateway
