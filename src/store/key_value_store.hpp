#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/core/result.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicadahatch::store {

using lease_id = number_id<struct lease_tag, std::uint64_t>;

/// \brief One key of the key-value service.
struct entry {
    std::string key;
    std::string value;
    revision created;  ///< store revision at which the key came into being
    revision modified; ///< store revision of the last write
    lease_id lease;    ///< empty: kept until erased
};

/// \brief The keys below a prefix, as of one store revision.
struct listing {
    std::vector<entry> entries;
    revision at;
};

/// \brief What a compare-and-swap did.
struct swap_outcome {
    bool is_swapped = false;
    revision at;                  ///< store revision of the reply
    std::optional<entry> current; ///< the key as it is now, if the swap was refused
};

/// \brief One change seen by a watch.
struct change {
    entry changed; ///< value is empty if erased
    bool is_erased = false;
};

/// \brief Changes since a revision, in their order.
struct change_batch {
    std::vector<change> changes;
    revision next; ///< pass this to the next call of watch()
};

/// \brief The platform's key-value service. Safe for use by several threads.
/// Every call blocks for at most the implementation's timeout, reads for a fixed multiple of it
/// while their reply is arriving. Errors are of store::errc.
///
/// The service may come back from an older copy of its data. Revisions grow nevertheless, and lease
/// numbers are not reused, if it states its generation: a lease of an earlier generation has
/// expired, a watch from an earlier generation gets errc::compacted, and a write that expects a
/// revision of an earlier generation gets errc::restored.
class key_value_store {
public:
    key_value_store() = default;
    key_value_store(const key_value_store&) = delete;
    key_value_store& operator=(const key_value_store&) = delete;
    key_value_store(key_value_store&&) = delete;
    key_value_store& operator=(key_value_store&&) = delete;
    virtual ~key_value_store() = default;

    /// \returns the entry, or nothing if the key is absent
    [[nodiscard]] virtual result<std::optional<entry>> get(const std::string& key) = 0;

    /// \returns all entries whose key begins with prefix
    [[nodiscard]] virtual result<listing> list(const std::string& prefix) = 0;

    /// \brief Writes if the key's last write is at the expected revision.
    /// \param expected the empty revision means that the key must be absent
    /// \param lease erases the key when the lease ends; empty: no lease
    /// \returns the outcome; errc::outcome_unknown means that the caller must read back
    [[nodiscard]] virtual result<swap_outcome> swap(const std::string& key, revision expected,
                                                    const std::string& value,
                                                    lease_id lease = {}) = 0;

    /// \brief Erases if the key's last write is at the expected revision.
    [[nodiscard]] virtual result<swap_outcome> erase(const std::string& key, revision expected) = 0;

    /// \brief Grants a lease that ends unless it is kept alive.
    [[nodiscard]] virtual result<lease_id> grant_lease(std::chrono::seconds time_to_live) = 0;

    /// \returns the time left, or errc::lease_expired
    [[nodiscard]] virtual result<std::chrono::seconds> keep_alive(lease_id lease) = 0;

    /// \brief Ends a lease and erases its keys.
    [[nodiscard]] virtual result<void> revoke_lease(lease_id lease) = 0;

    /// \brief Waits for changes below a prefix, from a revision on.
    /// \param from first revision of interest: the next of an earlier batch, or one more than the
    /// revision of a listing
    /// \param wait longest time to wait; the batch is empty if nothing changed
    /// \returns the changes without a gap, or errc::compacted; errc::reply_too_large if they are
    /// more than the implementation reads at once, see read_latest_changes()
    [[nodiscard]] virtual result<change_batch> watch(const std::string& prefix, revision from,
                                                     std::chrono::milliseconds wait) = 0;

    /// \brief Gives up what a store keeps open between two calls of watch(), since a waiting watch
    /// counts as a call. A later watch() opens it anew and misses nothing.
    virtual void end_watch(const std::string& /*prefix*/) {}
};

} // namespace cicadahatch::store
