#pragma once

#include "src/core/clock.hpp"
#include "src/core/table.hpp"
#include "src/discovery/backend.hpp"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace cicadahatch::discovery {

/// \brief A backend server's registration and its state in the directory.
struct directory_entry {
    backend_id id;
    backend registration;
    /// When an entry that has vanished from the store is removed; the epoch while it is present.
    time_point expires_at;
    /// Until when an entry that a restore has brought back counts as draining; the epoch: it does
    /// not.
    time_point held_until;
};

/// \brief A change of one backend server's entry.
struct directory_change {
    enum class change_kind : std::uint8_t { added, changed, restarted, draining, vanished, gone };
    change_kind kind = change_kind::added;
    backend_id backend;
};

/// \brief The registered backend servers.
///
/// Entries that vanish because the store was unavailable may reappear. For those the caller passes
/// the end of a grace period, until which the backend server is kept.
class directory {
public:
    /// \brief Adds or updates an entry. A different start under the same id is a new process.
    void upsert(const backend& registration, std::vector<directory_change>& changes);

    /// \brief Keeps draining backend servers from being used because an older copy of the store
    /// does not show that they drain. To be called before the entries of the copy are added.
    void begin_restore(std::vector<directory_change>& changes);

    /// \brief Adds or updates an entry of an older copy of the store. Of a process whose entry had
    /// been removed it is used only if it is still there at the given time, as entries of processes
    /// that have ended lapse. An earlier process than the known one is ignored.
    void upsert_restored(const backend& registration, time_point usable_at,
                         std::vector<directory_change>& changes);

    /// \brief Removes an entry at the end of its grace period.
    /// \param grace_ends_at removes the entry immediately if not later than now
    void remove(const backend_id& id, time_point grace_ends_at, time_point now,
                std::vector<directory_change>& changes);

    /// \brief Records that a process has announced its shutdown. It receives no new work until it
    /// restarts, whatever its entry says.
    /// \returns whether this was not known before
    bool mark_leaving(const backend_id& id, incarnation started,
                      std::vector<directory_change>& changes);

    /// \brief Removes entries whose grace period has ended, and uses those that have been held.
    void expire(time_point now, std::vector<directory_change>& changes);

    /// \returns the backend server, or null if unknown
    [[nodiscard]] const backend* find(const backend_id& id) const;

    /// \returns the backend servers of a service that accept new work
    [[nodiscard]] std::vector<const backend*> available_backends(const service_id& service) const;

    [[nodiscard]] const std::vector<directory_entry>& entries() const { return entries_.rows(); }

private:
    /// A process whose entry has been removed.
    struct departure {
        incarnation started;
        time_point at;
    };

    [[nodiscard]] bool is_leaving(const backend_id& id, incarnation started) const;
    [[nodiscard]] bool has_departed(const backend& registration) const;
    void put(const backend& registration, time_point held_until,
             std::vector<directory_change>& changes);
    void erase(const backend_id& id, time_point now, std::vector<directory_change>& changes);

    table<backend_id, directory_entry> entries_;
    /// Processes that have announced their shutdown, and their ids in the order of the first
    /// announcement. They outlast the entry, which may reappear briefly.
    std::unordered_map<backend_id, incarnation> leaving_;
    std::deque<backend_id> leaving_ids_;
    std::unordered_map<backend_id, departure> departed_;
};

/// \returns the name of the change for logs
[[nodiscard]] const char* to_string(directory_change::change_kind kind) noexcept;

} // namespace cicadahatch::discovery
