#pragma once

#include "src/core/clock.hpp"
#include "src/discovery/backend.hpp"
#include "src/discovery/registry_feed.hpp"
#include "src/routing/route.hpp"
#include "src/store/generation.hpp"
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

/// \brief Key layout of the store and the decoders of its entries.
struct registry_schema {
    std::string configuration_key;
    std::string backend_prefix;
    std::string daemon_prefix; ///< each daemon registers under its own key below it
    /// Both decoders return nothing for a malformed entry.
    std::optional<routing::configuration> (*read_configuration)(const store::entry&) = nullptr;
    std::optional<backend> (*read_backend)(const store::entry&) = nullptr;
};

/// \brief The registration of a daemon.
struct registered_daemon {
    daemon_id id;
    http::endpoint address; ///< for connections from other daemons
    domain_id domain{};     ///< failure domain; empty if not stated
    /// Where it relays store deltas to other daemons; empty if it does not.
    std::optional<http::endpoint> registry_address{};

    friend bool operator==(const registered_daemon&, const registered_daemon&) = default;
};

/// \brief The store has come back from an older copy of its data.
struct store_restore {
    revision before; ///< up to which this daemon had followed the store
    revision after;  ///< of the first listing
    /// When entries of that listing may be used that this daemon had seen removed. Those of backend
    /// servers that are gone lapse before.
    time_point removed_usable_at;
};

/// \brief This daemon had fallen behind and has read the latest values only.
struct catch_up {
    revision before;                   ///< up to which this daemon had followed the store
    revision after;                    ///< up to which it has now
    std::size_t bytes = 0;             ///< of the values that were read
    std::chrono::milliseconds taken{}; ///< from the poll whose reply was too large
};

/// \brief The decoded changes of one poll.
struct registry_update {
    std::optional<routing::configuration> configuration;
    store::entry configuration_entry; ///< of the configuration, as stored
    std::vector<backend> present;
    std::vector<backend_id> absent;
    std::vector<std::string> unreadable;    ///< keys of malformed entries
    bool is_snapshot = false;               ///< present lists every backend server
    bool has_daemon_list = false;           ///< the list of daemons has changed
    std::vector<registered_daemon> daemons; ///< complete list, if it has changed
    time_point grace_ends_at; ///< absent backend servers are kept until then; the epoch: not kept
    bool is_relayed = false;  ///< read from the store by another daemon
    std::optional<store_restore> restored; ///< the snapshot is the first after a restore
    std::optional<catch_up> caught_up{}; ///< changes that were replaced meanwhile are not contained
    /// Every version of the configuration accepted before this time is known; empty: no new time.
    std::optional<time_point> complete_as_of{};
};

/// \brief A change of the store's reachability.
struct store_status {
    bool is_reachable = false;
    std::error_code error; ///< if unreachable
};

/// \brief Timing of a follower.
struct follower_options {
    std::chrono::milliseconds watch_timeout{1000};
    /// While other daemons rely on this one. Also bounds the wait for a delta from the feed.
    std::chrono::milliseconds relaying_watch_timeout{500};
    std::chrono::milliseconds update_delay{400};  ///< pause after a watch with changes
    std::chrono::milliseconds retry_delay{150};   ///< pause after a failure
    std::chrono::milliseconds grace_period{2400}; ///< for entries to reappear after an outage
    /// Entries do not lapse in a shorter outage.
    std::chrono::milliseconds min_outage{0};
    /// Time after the end of an outage from which removed entries must not be used. The end is not
    /// known, but is later than the start of the last call that failed.
    std::chrono::milliseconds stabilization{3000};
    std::chrono::seconds presence_ttl{15}; ///< lease of this daemon's own key
    std::chrono::seconds presence_renewal_interval{5};
    /// Pause after a failed withdrawal. A call that gets no reply holds up the next poll.
    std::chrono::milliseconds withdrawal_retry_interval{2000};
};

/// \brief Watches configuration and backend servers in the store, and registers this daemon there.
///
/// run() blocks and needs a thread of its own. It calls the handlers on that thread.
class follower {
public:
    using update_handler = std::function<void(registry_update)>;
    using status_handler = std::function<void(const store_status&)>;
    using delta_handler = std::function<void(store_delta)>;
    using confirmation_handler = std::function<void(time_point complete_as_of)>;
    using generation_handler = std::function<void(store::generation)>;
    using registration_handler = std::function<void()>;
    using behind_handler = std::function<void(revision position)>;

    /// \param store,time outlive this object
    follower(store::key_value_store& store, registry_schema schema, follower_options options,
             const clock& time, registered_daemon self);

    /// \brief Takes changes from the feed instead of the store while the feed is live.
    /// \param feed outlives this object
    void use_feed(registry_feed& feed) { feed_ = &feed; }

    /// \brief Sets the handler of each successful poll of the store, which relays it to other
    /// daemons.
    void on_delta(delta_handler handler) { on_delta_ = std::move(handler); }

    /// \brief Sets the handler of each poll that shows until when the configuration is complete. It
    /// is called after the handler of the poll's changes.
    /// \param lease_time keeps running while the VM is suspended; outlives this object
    void on_confirmation(const clock& lease_time, confirmation_handler handler) {
        lease_time_ = &lease_time;
        on_confirmation_ = std::move(handler);
    }

    /// \brief Sets the handler of each generation of the store, the first included.
    void on_generation(generation_handler handler) { on_generation_ = std::move(handler); }

    /// \brief Sets the handler of the first poll in a row whose reply is too large.
    void on_behind(behind_handler handler) { on_behind_ = std::move(handler); }

    /// \brief Sets the handler of each registration of this daemon, renewals of its lease excluded.
    void on_registration(registration_handler handler) { on_registration_ = std::move(handler); }

    /// \brief Sets the handler of each withdrawal of this daemon's registration.
    void on_withdrawal(registration_handler handler) { on_withdrawal_ = std::move(handler); }

    /// \brief Polls until stop() is called.
    void run(const update_handler& on_update, const status_handler& on_status);

    /// \brief Receives one delta from the feed, or lists or watches the store once.
    /// \returns the changes, or the error of the store
    [[nodiscard]] result<registry_update> poll();

    /// \brief Registers this daemon, or renews its lease when that is due. After leave() it removes
    /// the registration, and does so again if the store comes back with it.
    /// \returns the error of a call that was due
    [[nodiscard]] result<void> maintain_presence();

    /// \brief Removes this daemon's registration, so that others stop contacting it.
    void withdraw_presence();

    /// \returns the end of the last successful poll of the store or the feed; the epoch before the
    /// first. Thread-safe.
    [[nodiscard]] time_point last_read() const { return last_read_at_; }

    /// \brief Withdraws the registration for good; run() goes on following the store. Thread-safe.
    void leave() { is_leaving_ = true; }

    /// \brief Makes run() return after the call in progress. Thread-safe.
    void stop() { is_stopping_ = true; }

private:
    /// \brief Watches for changes, or catches up if there are too many for one reply.
    [[nodiscard]] result<store::watch_update> read_changes(std::chrono::milliseconds wait);
    [[nodiscard]] result<store::watch_update> read_latest();
    /// \returns what was caught up with, if this daemon was behind
    [[nodiscard]] std::optional<catch_up> end_catch_up(revision before,
                                                       const store::watch_update& polled);
    [[nodiscard]] result<registry_update> poll_store(std::chrono::milliseconds wait);
    void record_generation(revision before);
    [[nodiscard]] store_restore record_restore(revision before);
    [[nodiscard]] time_point restore_grace_end() const;
    [[nodiscard]] result<registry_update> poll_feed();
    [[nodiscard]] registry_update complete(registry_update update) const;
    void publish_delta(revision before, const store::watch_update& polled, time_point grace_ends_at,
                       std::optional<time_point> complete_as_of);
    [[nodiscard]] registry_update decode_snapshot(const std::vector<store::entry>& entries);
    [[nodiscard]] registry_update decode_changes(const std::vector<store::change>& changes);
    void decode_entry(const store::entry& entry, registry_update& update) const;
    /// Reports a poll that differs from the last one reported.
    void report_status(const std::error_code& error, const status_handler& on_status);
    void record_success();
    void record_failure(time_point called_at, const std::error_code& error);
    [[nodiscard]] bool may_have_missed_outage() const;
    [[nodiscard]] time_point outage_grace_end() const;
    [[nodiscard]] std::string own_key() const;
    [[nodiscard]] result<void> register_self();
    /// Reports a failure of maintain_presence().
    void renew_presence(const status_handler& on_status);
    [[nodiscard]] result<void> maintain_absence();
    [[nodiscard]] result<void> remove_registration();
    [[nodiscard]] result<void> erase_restored_key();
    /// \returns whether the list of daemons has changed
    [[nodiscard]] bool update_daemon(const store::entry& entry, bool is_erased);

    store::key_value_store& store_;
    registry_schema schema_;
    follower_options options_;
    const clock& time_;
    registered_daemon self_;
    store::resuming_watch watch_;
    registry_feed* feed_ = nullptr; ///< null: this daemon always reads the store itself
    delta_handler on_delta_;
    confirmation_handler on_confirmation_;
    generation_handler on_generation_;
    registration_handler on_registration_;
    registration_handler on_withdrawal_;
    behind_handler on_behind_;
    const clock* lease_time_ = nullptr; ///< null: the age of the configuration is not measured
    std::map<std::string, registered_daemon> daemons_; ///< by key
    std::optional<store_status> reported_status_;
    bool is_unreachable_ = false;
    /// Start of the poll whose reply was too large; empty unless this daemon has to catch up.
    std::optional<time_point> behind_since_;
    time_point failed_call_at_; ///< start of the last call of the store that failed
    std::atomic<time_point> last_read_at_{time_point{}};
    time_point unconfirmed_until_; ///< the configuration may lack versions that a restore has lost
    store::lease_id lease_; ///< of the registration, also while it is not known to be written
    bool is_registered_ = false;
    /// The store has come back from a copy that may hold this daemon's key, under a lease that
    /// can't be revoked any more.
    bool may_have_restored_key_ = false;
    time_point next_renewal_;
    time_point next_withdrawal_;
    std::atomic<bool> is_leaving_{false};
    std::atomic<bool> is_stopping_{false};
};

} // namespace cicadahatch::discovery
