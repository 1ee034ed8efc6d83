#pragma once

#include "src/discovery/follower.hpp"
#include "src/forwarding/gateway_state.hpp"
#include "src/gateway/peer_channel.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace cicadahatch::gateway {

/// \brief A component that sends requests to homes and receives their answers.
class home_user {
public:
    home_user() = default;
    home_user(const home_user&) = delete;
    home_user& operator=(const home_user&) = delete;
    home_user(home_user&&) = delete;
    home_user& operator=(home_user&&) = delete;
    virtual ~home_user() = default;

    /// \returns the cells whose homes it uses
    [[nodiscard]] virtual std::set<cell_id> cells() const = 0;
    /// \returns when the oldest unanswered request to the home was sent
    [[nodiscard]] virtual std::optional<time_point>
    oldest_unanswered(const daemon_id& home) const = 0;
    virtual void on_home_open(const daemon_id& home) = 0;
    virtual void on_home_messages(const daemon_id& home,
                                  const std::vector<rpc::message>& received) = 0;
    /// \brief The connection is gone, and the next home is being connected to.
    virtual void on_home_close(const daemon_id& home) = 0;
};

/// \brief The connections of a daemon to the homes of the cells that it uses.
///
/// A cell's home is the first reachable daemon in rendezvous order. Not thread-safe: used by the
/// event loop's thread only.
class home_connections {
public:
    home_connections(forwarding::gateway_state& state, daemon_id self);

    /// \param user outlives this object's use
    void add_user(home_user& user) { users_.push_back(&user); }

    /// \brief Replaces the list of daemons that may be homes.
    void set_daemons(std::vector<discovery::registered_daemon> daemons);

    /// \brief Connects to homes and closes connections that timed out. Called several times a
    /// second.
    void tick();

    /// \returns the daemons that may be home of the cell, in the order of preference
    [[nodiscard]] std::vector<daemon_id> homes_of(const cell_id& cell) const;
    /// \returns the connected home of a cell, or an empty identifier
    [[nodiscard]] daemon_id connected_home(const cell_id& cell) const;
    [[nodiscard]] bool is_connecting(const cell_id& cell) const;

    /// \brief Sends messages to a daemon; does nothing if it isn't connected.
    void send(const daemon_id& home, std::vector<rpc::message> messages);
    /// \brief Sends a message to all connected daemons that may be home of the cell.
    void send_to_all(const cell_id& cell, const rpc::message& message);

    /// \brief Takes other homes before this one until the given time.
    void avoid(const daemon_id& home, time_point until);

private:
    /// A daemon that may be a home.
    struct candidate {
        discovery::registered_daemon daemon;
        std::shared_ptr<peer_channel> channel; ///< null: not connected
        time_point opened_at;                  ///< when the connection attempt started
        bool is_established = false;
        time_point avoid_until;
    };

    void connect(candidate& target);
    void connect_to_homes();
    void on_open(const daemon_id& home);
    void on_close(const daemon_id& home);
    [[nodiscard]] std::set<cell_id> cells() const;
    [[nodiscard]] std::optional<time_point> oldest_unanswered(const daemon_id& home) const;
    void close_if_timed_out(candidate& row, time_point now);

    forwarding::gateway_state& state_;
    daemon_id self_;
    std::vector<home_user*> users_;
    std::map<daemon_id, candidate> candidates_;
    /// Cache of the homes per cell; cleared when the daemons change.
    mutable std::map<cell_id, std::vector<daemon_id>> homes_by_cell_;
};

} // namespace cicadahatch::gateway
