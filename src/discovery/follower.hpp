#pragma once

#include "src/core/clock.hpp"
#include "src/discovery/backend.hpp"
#include "src/discovery/registry_feed.hpp"
#include "src/routing/route.hpp"
#include "src/store/key_value_store.hpp"
#include "src/store/resuming_watch.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadahatch::discovery {

/// \brief Where the store keeps what, and how its entries are read.
struct registry_schema {
    std::string configuration_key;
    std::string backend_prefix;
    std::string daemon_prefix; ///< below it each daemon keeps a key of its own
    /// Both return nothing for an entry that can't be read.
    std::optional<routing::configuration> (*read_configuration)(const store::entry&) = nullptr;
    std::optional<backend> (*read_backend)(const store::entry&) = nullptr;
};

/// \brief A daemon that has registered itself.
struct registered_daemon {
    daemon_id id;
    http::endpoint address; ///< where other daemons reach it
    domain_id domain{};     ///< its failure domain; empty if it has not told
    /// Where it tells other daemons what it reads from the store, if it does.
    std::optional<http::endpoint> registry_address{};

    friend bool operator==(const registered_daemon&, const registered_daemon&) = default;
};

/// \brief What one look at the store has brought.
struct registry_update {
    std::optional<routing::configuration> configuration;
    std::vector<backend> present;
    std::vector<backend_id> absent;
    std::vector<std::string> unreadable;    ///< keys
    bool is_snapshot = false;               ///< present lists every backend server
    bool has_daemon_list = false;           ///< the list of daemons is new
    std::vector<registered_daemon> daemons; ///< all of them, if the list is new
    time_point
        grace_ends_at; ///< backend servers that vanish by this update count as there until then
    bool is_relayed = false; ///< another daemon has looked
};

/// \brief A change of the store's reachability.
struct store_status {
    bool is_reachable = false;
    std::error_code error; ///< if not reached
};

/// \brief How the store is followed.
struct follower_options {
    std::chrono::milliseconds watch_timeout{1000}; ///< of one watch
    std::chrono::milliseconds relaying_watch_timeout{
        500};                                     ///< of one watch, while other daemons rely on it
    std::chrono::milliseconds update_delay{400};  ///< after a watch that saw a change
    std::chrono::milliseconds retry_delay{150};   ///< after a failure
    std::chrono::milliseconds grace_period{2400}; ///< after an outage, for entries to come back
    std::chrono::seconds presence_ttl{15};        ///< of this daemon's own key
    std::chrono::seconds presence_renewal_interval{5};
};

/// \brief Follows configuration and backend servers in the store, and registers this daemon there.
/// run() blocks, so it has a thread of its own; the handlers are called on it.
class follower {
public:
    using update_handler = std::function<void(registry_update)>;
    using state_handler = std::function<void(const store_status&)>;
    using delta_handler = std::function<void(store_delta)>;

    /// \param kept,time outlive this object
    follower(store::key_value_store& kept, registry_schema reader, follower_options options,
             const clock& time, registered_daemon self);

    /// \brief Has this daemon rely on what others read from the store, as long as it hears them.
    /// \param heard outlives this object
    void use_feed(registry_feed& heard) { feed_ = &heard; }

    /// \brief Has each look at the store that succeeds told, for other daemons.
    void on_delta(delta_handler handler) { on_delta_ = std::move(handler); }

    /// \brief Follows until stop() is called.
    void run(const update_handler& on_update, const state_handler& on_state);

    /// \brief Looks once: hears other daemons, lists or watches.
    /// \returns what is new, or why the store could not be asked
    [[nodiscard]] result<registry_update> poll();

    /// \brief Keeps this daemon's key alive; renews it when that is due.
    /// \returns the failure of a call that was due
    [[nodiscard]] result<void> maintain_presence();

    /// \brief Takes this daemon's key back, so that the others no longer turn to it.
    void withdraw_presence();

    /// \brief Ends run() after the call that is under way.
    void stop() { is_stopping_ = true; }

private:
    [[nodiscard]] result<registry_update> look(std::chrono::milliseconds wait);
    [[nodiscard]] result<registry_update> listen();
    [[nodiscard]] registry_update completed(registry_update update) const;
    void tell(revision before, const store::watch_update& seen);
    [[nodiscard]] registry_update read_snapshot(const std::vector<store::entry>& entries);
    [[nodiscard]] registry_update read_changes(const std::vector<store::change>& changes);
    void read_entry(const store::entry& seen, registry_update& update) const;
    void set_reachable(bool is_reachable);
    [[nodiscard]] result<void> register_self();
    [[nodiscard]] bool update_daemon(const store::entry& seen, bool is_erased);

    store::key_value_store& store_;
    registry_schema schema_;
    follower_options options_;
    const clock& time_;
    registered_daemon self_;
    store::resuming_watch watch_;
    registry_feed* feed_ = nullptr; ///< null: this daemon always reads for itself
    delta_handler on_delta_;
    std::map<std::string, registered_daemon> daemons_; ///< by key
    bool is_unreachable_ = false;
    time_point grace_ends_at_; ///< until then entries may come back after an outage
    store::lease_id lease_;
    time_point renew_at_;
    std::atomic<bool> is_stopping_{false};
};

} // namespace cicadahatch::discovery
