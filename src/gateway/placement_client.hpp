#pragma once

#include "src/core/random.hpp"
#include "src/forwarding/gateway_state.hpp"
#include "src/forwarding/placement_service.hpp"
#include "src/gateway/home_connections.hpp"

#include <map>
#include <memory>
#include <set>

namespace cicadahatch::gateway {

/// \brief Requests placements from the homes of the cells.
///
/// Each new connection to a home starts with a registration of the grants that this daemon holds.
class placement_client final : public forwarding::placement_service, public home_user {
public:
    placement_client(forwarding::gateway_state& state, daemon_id self, home_connections& homes);

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

    [[nodiscard]] std::set<cell_id> cells() const override;
    [[nodiscard]] std::optional<time_point> oldest_unanswered(const daemon_id& home) const override;
    void on_home_open(const daemon_id& home) override;
    void on_home_messages(const daemon_id& home,
                          const std::vector<rpc::message>& received) override;
    void on_home_close(const daemon_id& home) override;

    /// \brief Sends requests again that no home has received. Called several times a second.
    void tick();

    /// \brief Bounds the waits for a placement by the shutdown schedule.
    void start_shutdown();

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

    using entry_ptr = std::shared_ptr<placement_entry>;

    void retry_unassigned(time_point now);
    void handle(const daemon_id& home, const rpc::granted& answer);
    void handle(const daemon_id& home, const rpc::refused& answer);
    void handle(const daemon_id& home, const rpc::crashing_parts& known);
    /// \returns the answer to a request if no home can be reached
    [[nodiscard]] forwarding::placement_response answer_without_home(const rpc::acquire& request);
    /// \returns whether the daemon is shutting down and the request waits for its response
    [[nodiscard]] bool is_bounded_by_shutdown(const forwarding::request_context& context) const;
    /// \returns whether the daemon is shutting down and no placement is of use any more
    [[nodiscard]] bool has_missed_shutdown(const forwarding::request_context& context) const;
    /// \returns when the wait for a placement ends at the latest
    [[nodiscard]] time_point last_wait(const forwarding::request_context& context) const;
    /// \returns the answer to a request that has waited in vain
    [[nodiscard]] forwarding::placement_response
    answer_unplaced(const forwarding::request_context& context) const;
    void register_grants(const daemon_id& home);
    void send_to_home(const entry_ptr& entry);
    [[nodiscard]] entry_ptr find(const request_id& request, attempt_number attempt) const;

    forwarding::gateway_state& state_;
    daemon_id self_;
    home_connections& homes_;
    std::map<request_id, entry_ptr> entries_; ///< by request and attempt
    rpc::crashing_parts suspects_; ///< as last received from a home; a new home is told them
};

} // namespace cicadahatch::gateway
