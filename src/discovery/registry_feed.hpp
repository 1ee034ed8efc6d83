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

/// \brief One look of a daemon at the store.
struct store_delta {
    revision after;   ///< the changes follow this revision without a gap
    revision through; ///< and go up to this one
    std::vector<store::change> changes;
    std::chrono::milliseconds grace_period{0}; ///< entries that vanish may come back for so long
};

/// \brief Hands what other daemons have read from the store to the thread that follows it.
///
/// A look without changes tells that nothing has changed, so silence means that nobody looks: then
/// this daemon has to. A daemon on which others rely always looks for itself.
class registry_feed {
public:
    /// \param time goes on while the machine is suspended; outlives this object
    /// \param silence without a look, after which the others are not relied on
    registry_feed(const clock& time, std::chrono::milliseconds silence);

    /// \brief Takes in a look of another daemon, unless this one looks for itself.
    void offer(store_delta heard);

    void set_timeout(std::chrono::milliseconds silence);

    /// \brief Notes whether other daemons rely on this one.
    void set_relaying(bool is_relaying);
    [[nodiscard]] bool is_relaying() const;

    /// \returns whether another daemon looks in place of this one
    [[nodiscard]] bool is_live() const;

    /// \returns the oldest look that was not taken yet, if one comes within the time
    [[nodiscard]] std::optional<store_delta> take(std::chrono::milliseconds wait);

private:
    const clock& time_;
    mutable std::mutex mutex_;
    std::condition_variable available_;
    std::chrono::milliseconds timeout_;
    std::deque<std::pair<time_point, store_delta>> pending_; ///< with the times of their coming
    std::optional<time_point> received_at_;
    bool is_relaying_ = false;
};

} // namespace cicadahatch::discovery
