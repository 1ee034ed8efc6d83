#pragma once

#include "src/core/clock.hpp"
#include "src/core/table.hpp"
#include "src/discovery/backend.hpp"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace cicadahatch::discovery {

/// \brief A backend server with what this daemon has noticed about its registration.
struct directory_entry {
    backend_id id;
    backend registration;
    /// When an entry that has vanished counts as gone; the epoch while it is there.
    time_point expires_at;
};

/// \brief One difference that an update has made.
struct directory_change {
    enum class change_kind : std::uint8_t { added, changed, restarted, draining, vanished, gone };
    change_kind kind = change_kind::added;
    backend_id backend;
};

/// \brief The registered backend servers.
///
/// An entry that vanishes because the store was away may come back: for those the caller states a
/// time until which the backend server still counts as there.
class directory {
public:
    /// \brief Takes in an entry. The same id with another start is another process.
    void upsert(const backend& listed, std::vector<directory_change>& changes);

    /// \param grace_ends_at when it counts as gone; not later than now: at once
    void remove(const backend_id& id, time_point grace_ends_at, time_point now,
                std::vector<directory_change>& changes);

    /// \brief Notes that a process has said itself that it leaves: it takes no new work, whatever
    /// its entry says, until it starts anew.
    /// \returns whether that is new
    bool mark_leaving(const backend_id& id, incarnation started,
                      std::vector<directory_change>& changes);

    /// \brief Drops the entries whose time has come.
    void expire(time_point now, std::vector<directory_change>& changes);

    /// \returns the backend server, or null if it is not known
    [[nodiscard]] const backend* find(const backend_id& id) const;

    /// \returns those of a service that take new work
    [[nodiscard]] std::vector<const backend*> available_backends(const service_id& service) const;

    [[nodiscard]] const std::vector<directory_entry>& entries() const { return entries_.rows(); }

private:
    [[nodiscard]] bool is_leaving(const backend_id& id, incarnation started) const;

    table<backend_id, directory_entry> entries_;
    /// Processes that have said that they leave, and their ids in the order of saying so. They
    /// outlast the entry, which may come back for a moment.
    std::unordered_map<backend_id, incarnation> leaving_;
    std::deque<backend_id> leaving_ids_;
};

/// \returns the name of the change for logs
[[nodiscard]] const char* to_string(directory_change::change_kind kind) noexcept;

} // namespace cicadahatch::discovery
