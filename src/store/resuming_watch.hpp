#pragma once

#include "src/store/key_value_store.hpp"

#include <optional>
#include <string>
#include <vector>

namespace cicadahatch::store {

/// \brief What a resuming watch saw: all keys, or the changes since the update before.
struct watch_update {
    bool is_whole = false;
    std::vector<entry> entries;  ///< if whole: every key below the prefix; others are gone
    std::vector<change> changes; ///< if not whole, in their order
};

/// \brief Follows the keys below a prefix without missing a change.
///
/// It lists, then watches from the revision after the listing. A failure keeps its place; if the
/// store has compacted that place away it lists again. Used by one thread at a time.
class resuming_watch {
public:
    resuming_watch(key_value_store& kept, std::string prefix)
        : kept_(kept), prefix_(std::move(prefix)) {}

    /// \brief Waits for the next update; an empty one if nothing changed within the time.
    /// After an error the caller pauses and calls again.
    [[nodiscard]] result<watch_update> poll(std::chrono::milliseconds wait);

    /// \brief Lists all keys, whatever has been seen. A failure keeps its place.
    [[nodiscard]] result<watch_update> list();

    /// \brief Keeps no watch open until the next poll, which goes on from the same place.
    void rest() { kept_.end_watch(prefix_); }

    /// \returns the revision up to which all changes have been seen; empty before the first listing
    [[nodiscard]] revision position() const;

    /// \brief Notes that all changes up to a revision have been seen elsewhere.
    void skip_through(revision seen);

    /// \brief Has the next poll list again.
    void restart() { next_ = {}; }

private:
    key_value_store& kept_;
    std::string prefix_;
    revision next_; ///< empty: list first
};

} // namespace cicadahatch::store
