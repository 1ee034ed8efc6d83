#pragma once

#include "cicadahatch/core"
#include "cicadahatch/store"
#include "src/store/generation.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <mutex>

namespace cicadahatch::test_support {

/// \brief What the store does with the next calls.
enum class store_fault {
    none,
    unavailable, ///< nothing takes effect, the error says so
    large_reply, ///< replies to reads are too large; writes take effect
    lose_reply,  ///< writes take effect, their reply is lost
    drop_request ///< nothing takes effect, but the error can't tell
};

/// \brief A key-value service in this process, with faults on demand. Leases follow the clock.
class memory_store : public store::key_value_store {
    struct lease_row {
        std::chrono::seconds time_to_live{0};
        time_point ends;
        store::generation granted_in;
    };
    using lease_table = std::map<std::uint64_t, lease_row>;

public:
    /// \brief The data of the store at one time.
    struct store_copy {
        std::map<std::string, store::entry> entries;
        lease_table leases;
        std::uint64_t revision = 0;
    };

    explicit memory_store(const clock& time) : time_(time) {}

    /// \param chosen called for each call with its ordinal number; decides the call's fault
    void set_faults(std::function<store_fault(std::uint64_t)> chosen);
    /// \brief Every call meets this fault until told otherwise.
    void set_fault(store_fault fault);
    /// \brief Watches fail with errc::reply_too_large if the values of their changes have more
    /// bytes.
    void limit_watches(std::size_t bytes);
    /// \returns how long the last watch was to wait for changes
    [[nodiscard]] std::chrono::milliseconds last_wait() const;
    /// \brief Forgets history up to the present, so that older watches get errc::compacted.
    void compact();
    [[nodiscard]] store_copy copy() const;
    /// \brief Comes back from a copy, in the next generation. Revisions are counted from the
    /// copy's.
    void restore(const store_copy& copied);
    [[nodiscard]] std::uint64_t calls() const;
    [[nodiscard]] std::uint64_t writes() const;
    /// \returns the time left, or nothing if the lease has ended
    [[nodiscard]] std::optional<std::chrono::seconds> time_left(store::lease_id lease);

    [[nodiscard]] result<std::optional<store::entry>> get(const std::string& key) override;
    [[nodiscard]] result<store::listing> list(const std::string& prefix) override;
    [[nodiscard]] result<store::swap_outcome> swap(const std::string& key, revision expected,
                                                   const std::string& value,
                                                   store::lease_id lease) override;
    [[nodiscard]] result<store::swap_outcome> erase(const std::string& key,
                                                    revision expected) override;
    [[nodiscard]] result<store::lease_id> grant_lease(std::chrono::seconds time_to_live) override;
    [[nodiscard]] result<std::chrono::seconds> keep_alive(store::lease_id lease) override;
    [[nodiscard]] result<void> revoke_lease(store::lease_id lease) override;
    [[nodiscard]] result<store::change_batch> watch(const std::string& prefix, revision from,
                                                    std::chrono::milliseconds wait) override;

private:
    store_fault begin_call();
    void expire_leases();
    void erase_key(const std::string& key);
    [[nodiscard]] store::swap_outcome refused(const std::string& key) const;
    [[nodiscard]] revision stamp(std::uint64_t counter) const;
    [[nodiscard]] bool is_earlier(revision expected) const;
    [[nodiscard]] lease_table::iterator find_lease(store::lease_id lease);
    [[nodiscard]] bool is_at(const std::string& key, revision expected) const;
    [[nodiscard]] store::change_batch changes_since(const std::string& prefix, revision from) const;

    const clock& time_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::function<store_fault(std::uint64_t)> faults_;
    std::map<std::string, store::entry> entries_;
    std::deque<store::change> history_;
    lease_table leases_;
    store::generation generation_;
    std::uint64_t revision_ = 1;
    std::uint64_t compacted_ = 0;
    std::uint64_t next_lease_ = 1;
    std::chrono::milliseconds last_wait_{0};
    std::size_t max_watch_bytes_ = std::numeric_limits<std::size_t>::max();
    std::uint64_t calls_ = 0;
    std::uint64_t writes_ = 0;
};

/// \brief Writes a key, whatever it holds.
/// \returns whether the store has taken it
[[nodiscard]] bool put(store::key_value_store& kept, const std::string& key,
                       const std::string& value);

/// \brief Erases a key that is there.
/// \returns whether the store has done it
[[nodiscard]] bool erase(store::key_value_store& kept, const std::string& key);

} // namespace cicadahatch::test_support
