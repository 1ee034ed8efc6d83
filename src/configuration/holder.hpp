#pragma once

#include "src/configuration/snapshot.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

namespace cicadahatch::configuration {

/// \brief The configuration that this daemon acts on. Safe for use by threads.
///
/// It takes only higher revisions, whatever their source, so what is in force never reverts.
class holder {
public:
    using observer = std::function<void(const snapshot_ptr&)>;

    /// \returns the snapshot in force, or null: then the daemon is not ready
    [[nodiscard]] snapshot_ptr current() const;
    /// \returns the revision in force; empty if there is none
    [[nodiscard]] revision at() const;
    [[nodiscard]] bool is_ready() const { return current() != nullptr; }

    /// \brief Takes a snapshot if its revision is higher.
    /// \returns whether it was taken; observers have been called then
    bool offer(snapshot_ptr offered);

    /// \brief Has a function called with each snapshot taken from now on, in their order, on the
    /// offering thread. It must not call offer() or subscribe().
    /// \returns a number for unsubscribe()
    std::uint64_t subscribe(observer called);
    /// \brief After its return the function is not called any more.
    void unsubscribe(std::uint64_t number);

private:
    std::mutex offering_; ///< held while a snapshot is taken and observers are called
    mutable std::mutex mutex_;
    snapshot_ptr current_;
    std::map<std::uint64_t, observer> observers_;
    std::uint64_t next_number_ = 1;
};

} // namespace cicadahatch::configuration
