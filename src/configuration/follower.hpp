#pragma once

#include "src/configuration/holder.hpp"
#include "src/configuration/internal/layout.hpp"
#include "src/core/result.hpp"
#include "src/store/key_value_store.hpp"
#include "src/store/resuming_watch.hpp"

#include <chrono>
#include <optional>

namespace cicadahatch::configuration {

/// \brief Brings the accepted configuration from the store to the holder. Used by one thread.
///
/// It watches the head alone and reads only the shards that a change has replaced.
class follower {
public:
    /// \param kept,own outlive this object
    follower(store::key_value_store& kept, holder& own);

    /// \brief Waits for a change and takes it.
    /// \returns whether a higher revision was taken; after an error the caller pauses and calls
    /// again, nothing is missed
    [[nodiscard]] result<bool> poll(std::chrono::milliseconds wait);

    /// \brief Keeps no watch open until the next poll, which misses nothing.
    void rest() { watch_.rest(); }

private:
    void note_head(const store::watch_update& update);
    [[nodiscard]] result<bool> take_pending();
    [[nodiscard]] std::error_code read_missing(const internal::head& read);
    [[nodiscard]] std::error_code read_each(const std::vector<std::string>& missing);
    [[nodiscard]] std::error_code list_all(const internal::head& read);
    void forget_others(const internal::head& read);

    store::key_value_store& kept_;
    holder& own_;
    store::resuming_watch watch_;
    std::optional<std::string> pending_; ///< value of a head that was seen and not yet taken
    internal::shard_map shards_;         ///< decoded shards of the last head
};

} // namespace cicadahatch::configuration
