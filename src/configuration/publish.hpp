#pragma once

#include "src/configuration/internal/layout.hpp"
#include "src/configuration/plan.hpp"
#include "src/store/key_value_store.hpp"

#include <functional>
#include <optional>

namespace cicadahatch::configuration {

/// \brief A set of services that an operator wants in force.
struct publication {
    std::vector<settings::service> services; ///< the whole set, checked; each name stands once
    revision base;         ///< configuration revision that the set was made from; empty: none
    std::string change_id; ///< unique, such as unique_token(); the same for a repeat
};

enum class publish_status : std::uint8_t { accepted, unchanged, conflict };

struct publish_report {
    publish_status status = publish_status::accepted;
    revision at; ///< accepted: the revision of this change; otherwise the one in force
    std::vector<difference> differences; ///< accepted: what this change did
    std::vector<conflict> conflicts;
};

/// \brief What the next step of a publication sends to the store.
enum class publish_action : std::uint8_t { read_all, write_shard, swap_head, erase_stale, done };

/// \brief A publication as steps, of which each makes at most one call of the store.
///
/// Its state changes only by step(), so every interleaving of two publications can be tried.
/// \sa publish
class publish_steps {
public:
    explicit publish_steps(publication wanted);

    [[nodiscard]] publish_action next() const noexcept { return next_; }
    [[nodiscard]] bool is_done() const noexcept { return next_ == publish_action::done; }
    /// \returns the report or error once done
    [[nodiscard]] const result<publish_report>& outcome() const;

    /// \brief Makes the next call.
    /// \returns the error of a call that may be tried again by calling step() again
    std::error_code step(store::key_value_store& kept);
    /// \brief Stops trying; outcome() tells whether the change may have been accepted.
    void give_up();

private:
    struct shard_write {
        std::string key;
        std::string value;
    };

    std::error_code read_all(store::key_value_store& kept);
    std::error_code write_shard(store::key_value_store& kept);
    std::error_code swap_head(store::key_value_store& kept);
    std::error_code erase_stale(store::key_value_store& kept);
    void make_plan(const snapshot_ptr& current);
    void prepare_writes(const snapshot_ptr& current, const internal::head& before);
    void accept(revision at);
    void finish(result<publish_report> outcome);

    publication wanted_;
    publish_action next_ = publish_action::read_all;
    std::optional<result<publish_report>> outcome_;
    std::vector<store::entry> listed_; ///< every key of the configuration, as last read
    internal::shard_map shards_;       ///< decoded shards, as last read
    revision head_modified_;           ///< store revision of the head that the plan rests on
    snapshot_ptr planned_;
    internal::head new_head_;
    revision new_revision_;
    std::vector<shard_write> writes_;
    std::vector<difference> differences_;
    std::vector<store::entry> stale_;
    bool is_in_doubt_ = false; ///< a swap of the head was sent and its outcome is not known
};

/// \brief How hard publish() tries.
struct publish_limits {
    int max_failures = 8; ///< failed calls of the store, in all
    /// Called before a failed call is made again, with the number of failures so far; waits.
    std::function<void(int)> pause;
};

/// \brief Puts a set of services into force by one compare-and-swap.
///
/// Returns accepted once the change is in the store, even if the reply that said so was lost.
/// Unrelated changes of others in between are kept; changes of the same service are a conflict.
/// \returns the report, errc::not_accepted (surely not), errc::outcome_unknown (repeat with the
/// same change id to find out), errc::base_unknown, errc::service_too_large, errc::inconsistent, or
/// errc::malformed if readers would refuse one of the services
[[nodiscard]] result<publish_report>
publish(store::key_value_store& kept, const publication& wanted, const publish_limits& limits = {});

} // namespace cicadahatch::configuration
