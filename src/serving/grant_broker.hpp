#pragma once

#include "src/core/clock.hpp"
#include "src/rpc/messages.hpp"
#include "src/serving/backend_directory.hpp"
#include "src/serving/cell_host.hpp"
#include "src/serving/cell_layout.hpp"
#include "src/serving/digest_book.hpp"
#include "src/serving/grant_ticket.hpp"
#include "src/serving/peer_network.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace cicadahatch::serving {

/// \brief Gets grants for the requests of this daemon from the cells' homes, and is the home of
/// the cells that fall to this daemon. Safe for use by threads.
class grant_broker {
public:
    grant_broker(const clock& time, scheduling::cell_policy policy, backend_directory& directory,
                 engines::canceller& cancels, peer_network& network, domain_id domain,
                 std::size_t max_engines_per_cell);

    [[nodiscard]] const cell_host& host() const noexcept { return host_; }
    /// \returns tickets that wait for an answer or hold a grant
    [[nodiscard]] std::size_t tickets() const;

    /// \brief Asks for a grant.
    /// \param asked without a cell; it is chosen here
    /// \returns a ticket that is answered later, at once if no cell can take the request
    [[nodiscard]] std::shared_ptr<grant_ticket> acquire(rpc::acquire asked);

    /// \brief Tells the home how a granted attempt goes on.
    void prefill_finished(const grant_ticket& ticket, std::uint32_t cached_tokens);
    /// \copydoc prefill_finished
    void first_token(const grant_ticket& ticket);

    /// \brief Ends a ticket, whether it waits or holds a grant. Later answers to it are handed
    /// back.
    void release(const grant_ticket& ticket, rpc::release_outcome ended,
                 std::uint32_t output_tokens);

    /// \brief Takes in a message of another daemon.
    void deliver(const daemon_id& from, const rpc::message& received);

    /// \brief Notes that messages to a daemon were lost: a ticket's request goes out again, and a
    /// copy of grants is followed by one of all of them.
    void note_lost(const std::vector<rpc::message>& lost);

    /// \brief Frees what a dead daemon held in the cells of this home.
    void forget_daemon(const daemon_id& dead) { host_.forget_daemon(dead); }

    /// \brief Takes in the digest of another daemon's cell.
    void note_digest(scheduling::cell_digest told) { digests_.note(std::move(told)); }

    /// \returns digests of the cells of this home, which are taken in here too
    [[nodiscard]] std::vector<scheduling::cell_digest> own_digests();

    /// \returns the number of cells of all failure domains, and of this daemon's
    [[nodiscard]] std::size_t cell_count() const;
    [[nodiscard]] std::size_t own_cell_count() const;

    /// \brief Lays out the cells anew and takes, updates or gives up homes. Called about ten
    /// times a second and after changes.
    void refresh();

    /// \param called when the cells have something new to decide on; set before the first message
    void on_work(std::function<void()> called) { on_work_ = std::move(called); }

    /// \brief Runs the cells' systems.
    void tick() { host_.tick(); }

private:
    using ticket_key = request_id;
    struct ticket_row {
        ticket_key id;
        std::weak_ptr<grant_ticket> ticket;
        rpc::acquire asked;
        daemon_id home;     ///< whom it was sent to last
        time_point sent_at; ///< when
    };

    void send(const daemon_id& to, rpc::message sent);
    void on(const rpc::granted& answer, const daemon_id& from);
    void on(const rpc::refused& answer);
    void on(const rpc::request_registration& wanted, const daemon_id& from);
    [[nodiscard]] bool is_layout_stale() const;
    [[nodiscard]] cell_id choose(const rpc::acquire& asked);
    [[nodiscard]] std::vector<daemon_id> daemons_of(const domain_id& domain) const;
    /// Called with the mutex held.
    [[nodiscard]] daemon_id home_of(const cell_id& cell) const;
    [[nodiscard]] daemon_id current_home(const grant_ticket& ticket) const;
    /// Lets the next refresh() send the ticket's request again, to the home of that time.
    void send_soon(const ticket_key& key);
    [[nodiscard]] std::shared_ptr<grant_ticket> ticket_of(const ticket_key& key);
    void lay_out();
    [[nodiscard]] std::vector<ticket_row> stale_rows();
    void send_again(const ticket_row& row);
    void update_homes(const std::vector<daemon_id>& live);
    [[nodiscard]] std::vector<cell_plan> own_plans() const;
    [[nodiscard]] cell_plan with_present_state(cell_plan plan) const;

    std::atomic<std::uint64_t> refreshed_version_{0}; ///< of the directory, at the last refresh()
    const clock& time_;
    peer_network& network_;
    backend_directory& directory_;
    domain_id domain_;
    std::size_t max_engines_per_cell_;
    random_source random_; ///< guarded by the mutex
    cell_host host_;
    std::function<void()> on_work_;
    digest_book digests_;
    mutable std::mutex mutex_;
    table<ticket_key, ticket_row> tickets_;
    std::vector<cell_plan> plans_;
    std::vector<scheduling::cell_digest> idle_digests_; ///< of plans_, for cells not heard of
    revision laid_out_;                                 ///< configuration that plans_ were made of
};

} // namespace cicadahatch::serving
