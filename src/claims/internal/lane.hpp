#pragma once

#include "src/claims/commit_run.hpp"
#include "src/claims/shard_view.hpp"
#include "src/core/clock.hpp"
#include "src/store/key_value_store.hpp"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>

namespace cicadahatch::claims::internal {

/// \brief Groups the operations of concurrent threads on one shard into common writes.
///
/// One of the waiting threads leads: it takes what is queued, commits it and wakes the others.
/// While it waits for the store, the next group gathers.
class lane {
public:
    /// \param gather time that a leader waits for more operations before it commits
    lane(shard_view view, const clock& time, std::size_t max_batch,
         std::chrono::milliseconds gather);

    /// \brief Returns once the operation is finished.
    void run(operation& wanted, store::key_value_store& shared);

    /// \brief Compacts or erases segments that are due.
    /// \returns how many store entries were dealt with, at most limit
    std::size_t sweep(store::key_value_store& shared, std::size_t limit);

private:
    struct waiting {
        operation* wanted = nullptr;
        bool is_done = false;
    };

    void lead(std::unique_lock<std::mutex>& lock, store::key_value_store& shared);
    std::vector<waiting*> take_batch();

    const clock& time_;
    const std::size_t max_batch_;
    const std::chrono::milliseconds gather_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::condition_variable filled_;
    std::deque<waiting*> queue_;
    bool has_leader_ = false;
    shard_view view_; ///< used by the leader only
};

} // namespace cicadahatch::claims::internal
