#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/store/key_value_store.hpp"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace cicadahatch::discovery {

/// \brief The changes that one poll of the store has returned.
struct store_delta {
    revision after;   ///< changes contains every change after this revision
    revision through; ///< up to and including this one
    std::vector<store::change> changes;
    std::chrono::milliseconds grace_period{0}; ///< remaining time in which entries may reappear
    /// Every change accepted before this time is contained, by the receiver's clock that keeps
    /// running while the VM is suspended; empty: not known.
    std::optional<time_point> complete_as_of{};
};

/// \brief Thread-safe queue of the deltas that other daemons have read from the store.
///
/// A poll without changes is relayed as an empty delta. If no delta arrives within the timeout, no
/// other daemon reads the store and this one has to. A daemon that relays to others always reads
/// the store itself.
class registry_feed {
public:
    /// \param time keeps running while the VM is suspended; outlives this object
    /// \param timeout time without a delta after which the feed is no longer live
    registry_feed(const clock& time, std::chrono::milliseconds timeout);

    /// \brief Queues a delta of another daemon. Does nothing while this daemon relays.
    void offer(store_delta delta);

    void set_timeout(std::chrono::milliseconds timeout);

    /// \brief Sets whether other daemons receive their deltas from this one.
    void set_relaying(bool is_relaying);
    [[nodiscard]] bool is_relaying() const;

    /// \returns whether another daemon reads the store on behalf of this one
    [[nodiscard]] bool is_live() const;

    /// \returns the oldest queued delta, or nothing if none arrives within the wait
    [[nodiscard]] std::optional<store_delta> take(std::chrono::milliseconds wait);

private:
    const clock& time_;
    mutable std::mutex mutex_;
    std::condition_variable available_;
    std::chrono::milliseconds timeout_;
    std::deque<std::pair<time_point, store_delta>> pending_; ///< with the times of arrival
    std::optional<time_point> received_at_;                  ///< arrival of the last delta
    bool is_relaying_ = false;
};

} // namespace cicadahatch::discovery
