#include "test/support/memory_store.hpp"

namespace cicadahatch::test_support {

using store::change;
using store::change_batch;
using store::entry;
using store::errc;
using store::lease_id;
using store::listing;
using store::swap_outcome;

namespace {

bool begins_with(const std::string& text, const std::string& prefix) {
    return text.compare(0, prefix.size(), prefix) == 0;
}

/// The error of a write that met a fault; none for a write whose reply arrives.
std::optional<errc> write_error(store_fault fault) {
    switch (fault) {
    case store_fault::none:
    case store_fault::large_reply:
        return std::nullopt;
    case store_fault::unavailable:
        return errc::unavailable;
    case store_fault::lose_reply:
    case store_fault::drop_request:
        return errc::outcome_unknown;
    }
    return errc::protocol;
}

bool takes_effect(store_fault fault) {
    return fault == store_fault::none || fault == store_fault::large_reply ||
           fault == store_fault::lose_reply;
}

errc read_error(store_fault fault) {
    return fault == store_fault::large_reply ? errc::reply_too_large : errc::unavailable;
}

std::size_t value_bytes(const change_batch& batch) {
    std::size_t bytes = 0;
    for (const change& past : batch.changes) {
        bytes += past.changed.value.size();
    }
    return bytes;
}

} // namespace

void memory_store::set_faults(std::function<store_fault(std::uint64_t)> chosen) {
    const std::lock_guard lock{mutex_};
    faults_ = std::move(chosen);
}

void memory_store::set_fault(store_fault fault) {
    set_faults([fault](std::uint64_t) { return fault; });
    changed_.notify_all();
}

void memory_store::compact() {
    const std::lock_guard lock{mutex_};
    history_.clear();
    compacted_ = revision_;
}

memory_store::store_copy memory_store::copy() const {
    const std::lock_guard lock{mutex_};
    return {entries_, leases_, revision_};
}

void memory_store::restore(const store_copy& copied) {
    const std::lock_guard lock{mutex_};
    generation_ = store::generation{generation_.value() + 1};
    revision_ = copied.revision;
    entries_ = copied.entries;
    for (auto& [key, held] : entries_) {
        held.created = stamp(store::counter_of(held.created));
        held.modified = stamp(store::counter_of(held.modified));
    }
    leases_ = copied.leases;
    history_.clear();
    compacted_ = revision_;
    changed_.notify_all();
}

void memory_store::limit_watches(std::size_t bytes) {
    const std::lock_guard lock{mutex_};
    max_watch_bytes_ = bytes;
}

std::chrono::milliseconds memory_store::last_wait() const {
    const std::lock_guard lock{mutex_};
    return last_wait_;
}

std::uint64_t memory_store::calls() const {
    const std::lock_guard lock{mutex_};
    return calls_;
}

std::uint64_t memory_store::writes() const {
    const std::lock_guard lock{mutex_};
    return writes_;
}

std::optional<std::chrono::seconds> memory_store::time_left(lease_id lease) {
    const std::lock_guard lock{mutex_};
    expire_leases();
    const auto found = leases_.find(lease.value());
    if (found == leases_.end()) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::seconds>(found->second.ends - time_.now());
}

store_fault memory_store::begin_call() {
    ++calls_;
    expire_leases();
    return faults_ ? faults_(calls_) : store_fault::none;
}

void memory_store::expire_leases() {
    for (auto lease = leases_.begin(); lease != leases_.end();) {
        if (lease->second.ends > time_.now()) {
            ++lease;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, held] : entries_) {
            if (held.lease.value() == lease->first) {
                keys.push_back(key);
            }
        }
        for (const std::string& key : keys) {
            erase_key(key);
        }
        lease = leases_.erase(lease);
    }
}

void memory_store::erase_key(const std::string& key) {
    ++revision_;
    change erased;
    erased.changed.key = key;
    erased.changed.modified = stamp(revision_);
    erased.is_erased = true;
    history_.push_back(std::move(erased));
    entries_.erase(key);
    changed_.notify_all();
}

revision memory_store::stamp(std::uint64_t counter) const {
    return store::make_revision(generation_, counter);
}

bool memory_store::is_earlier(revision expected) const {
    return !expected.empty() && store::generation_of(expected) != generation_;
}

/// Leases that were granted before a restore cannot be used; they end at their time.
memory_store::lease_table::iterator memory_store::find_lease(lease_id lease) {
    const auto found = leases_.find(lease.value());
    const bool is_usable = found != leases_.end() && found->second.granted_in == generation_;
    return is_usable ? found : leases_.end();
}

bool memory_store::is_at(const std::string& key, revision expected) const {
    const auto found = entries_.find(key);
    const revision actual = found == entries_.end() ? revision{} : found->second.modified;
    return actual == expected;
}

swap_outcome memory_store::refused(const std::string& key) const {
    swap_outcome outcome;
    outcome.at = stamp(revision_);
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
        outcome.current = found->second;
    }
    return outcome;
}

result<std::optional<entry>> memory_store::get(const std::string& key) {
    const std::lock_guard lock{mutex_};
    if (const store_fault fault = begin_call(); fault != store_fault::none) {
        return failure(read_error(fault));
    }
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        return std::optional<entry>{};
    }
    return std::optional<entry>{found->second};
}

result<listing> memory_store::list(const std::string& prefix) {
    const std::lock_guard lock{mutex_};
    if (const store_fault fault = begin_call(); fault != store_fault::none) {
        return failure(read_error(fault));
    }
    listing listed;
    listed.at = stamp(revision_);
    for (auto it = entries_.lower_bound(prefix); it != entries_.end(); ++it) {
        if (!begins_with(it->first, prefix)) {
            break;
        }
        listed.entries.push_back(it->second);
    }
    return listed;
}

result<swap_outcome> memory_store::swap(const std::string& key, revision expected,
                                        const std::string& value, lease_id lease) {
    const std::lock_guard lock{mutex_};
    const store_fault fault = begin_call();
    ++writes_;
    if (!takes_effect(fault)) {
        return failure(*write_error(fault));
    }
    if (!lease.empty() && find_lease(lease) == leases_.end()) {
        return failure(errc::lease_expired);
    }
    if (is_earlier(expected)) {
        return failure(errc::restored);
    }
    swap_outcome outcome = refused(key);
    if (is_at(key, expected)) {
        ++revision_;
        entry& written = entries_[key];
        written.key = key;
        written.value = value;
        written.created = expected.empty() ? stamp(revision_) : written.created;
        written.modified = stamp(revision_);
        written.lease = lease;
        history_.push_back({written, false});
        changed_.notify_all();
        outcome = {true, stamp(revision_), std::nullopt};
    }
    if (const auto error = write_error(fault)) {
        return failure(*error);
    }
    return outcome;
}

result<swap_outcome> memory_store::erase(const std::string& key, revision expected) {
    const std::lock_guard lock{mutex_};
    const store_fault fault = begin_call();
    ++writes_;
    if (!takes_effect(fault)) {
        return failure(*write_error(fault));
    }
    if (is_earlier(expected)) {
        return failure(errc::restored);
    }
    swap_outcome outcome = refused(key);
    if (!expected.empty() && is_at(key, expected)) {
        erase_key(key);
        outcome = {true, stamp(revision_), std::nullopt};
    }
    if (const auto error = write_error(fault)) {
        return failure(*error);
    }
    return outcome;
}

result<lease_id> memory_store::grant_lease(std::chrono::seconds time_to_live) {
    const std::lock_guard lock{mutex_};
    const store_fault fault = begin_call();
    ++writes_;
    if (const auto error = write_error(fault)) {
        return failure(*error);
    }
    const std::uint64_t id = next_lease_++;
    leases_[id] = {time_to_live, time_.now() + time_to_live, generation_};
    return lease_id{id};
}

result<std::chrono::seconds> memory_store::keep_alive(lease_id lease) {
    const std::lock_guard lock{mutex_};
    const store_fault fault = begin_call();
    ++writes_;
    if (!takes_effect(fault)) {
        return failure(*write_error(fault));
    }
    const auto found = find_lease(lease);
    if (found == leases_.end()) {
        return failure(errc::lease_expired);
    }
    found->second.ends = time_.now() + found->second.time_to_live;
    if (const auto error = write_error(fault)) {
        return failure(*error);
    }
    return found->second.time_to_live;
}

result<void> memory_store::revoke_lease(lease_id lease) {
    const std::lock_guard lock{mutex_};
    const store_fault fault = begin_call();
    ++writes_;
    if (!takes_effect(fault)) {
        return failure(*write_error(fault));
    }
    const auto found = find_lease(lease);
    if (found != leases_.end()) {
        found->second.ends = time_.now();
        expire_leases();
    }
    if (const auto error = write_error(fault)) {
        return failure(*error);
    }
    return {};
}

change_batch memory_store::changes_since(const std::string& prefix, revision from) const {
    change_batch batch;
    batch.next = stamp(revision_ + 1);
    for (const change& past : history_) {
        if (past.changed.modified >= from && begins_with(past.changed.key, prefix)) {
            batch.changes.push_back(past);
        }
    }
    return batch;
}

result<change_batch> memory_store::watch(const std::string& prefix, revision from,
                                         std::chrono::milliseconds wait) {
    std::unique_lock lock{mutex_};
    if (const store_fault fault = begin_call(); fault != store_fault::none) {
        return failure(read_error(fault));
    }
    if (store::generation_of(from) != generation_ || store::counter_of(from) <= compacted_) {
        return failure(errc::compacted);
    }
    last_wait_ = wait;
    change_batch batch = changes_since(prefix, from);
    if (batch.changes.empty() && wait.count() > 0) {
        changed_.wait_for(lock, wait);
        expire_leases();
        batch = changes_since(prefix, from);
    }
    if (value_bytes(batch) > max_watch_bytes_) {
        return failure(errc::reply_too_large);
    }
    return batch;
}

bool put(store::key_value_store& kept, const std::string& key, const std::string& value) {
    const auto current = kept.get(key).value();
    const auto at = current ? current->modified : revision{};
    return kept.swap(key, at, value, {}).value().is_swapped;
}

bool erase(store::key_value_store& kept, const std::string& key) {
    return kept.erase(key, kept.get(key).value()->modified).value().is_swapped;
}

} // namespace cicadahatch::test_support
