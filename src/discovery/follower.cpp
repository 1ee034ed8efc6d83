#include "src/discovery/follower.hpp"

#include "src/core/hash.hpp"
#include "src/store/error.hpp"
#include "src/store/latest_changes.hpp"

#include <algorithm>
#include <string_view>
#include <thread>

namespace cicadahatch::discovery {

namespace {

/// Separates address, failure domain and registry address in a daemon's entry.
constexpr char separator = ' ';

/// The registrations of all daemons are renewed within this time after a restore.
constexpr std::chrono::milliseconds restore_renewal_spread{1000};

std::string to_value(const registered_daemon& daemon) {
    std::string value = http::to_string(daemon.address) + separator + daemon.domain.str();
    if (daemon.registry_address) {
        value += separator + http::to_string(*daemon.registry_address);
    }
    return value;
}

/// \brief Removes the text up to and including the first separator.
/// \returns the text before the separator
std::string_view consume_field(std::string_view& value) {
    const std::size_t length = std::min(value.find(separator), value.size());
    const std::string_view field = value.substr(0, length);
    value.remove_prefix(std::min(length + 1, value.size()));
    return field;
}

std::optional<registered_daemon> parse_daemon(const daemon_id& id, std::string_view value) {
    const auto address = http::parse_endpoint(std::string{consume_field(value)});
    if (!address) {
        return std::nullopt;
    }
    registered_daemon daemon{id, *address, domain_id{std::string{consume_field(value)}}, {}};
    if (const auto registry_address = http::parse_endpoint(std::string{consume_field(value)})) {
        daemon.registry_address = *registry_address;
    }
    return daemon;
}

bool has_changes(const registry_update& update) {
    return update.configuration || update.is_snapshot || update.has_daemon_list ||
           update.caught_up || !update.present.empty() || !update.absent.empty() ||
           !update.unreadable.empty();
}

std::size_t count_value_bytes(const store::watch_update& polled) {
    std::size_t bytes = 0;
    for (const store::entry& entry : polled.entries) {
        bytes += entry.value.size();
    }
    for (const store::change& change : polled.changes) {
        bytes += change.changed.value.size();
    }
    return bytes;
}

/// Whether this daemon has held the call back, which tells nothing new about the store.
bool is_unsent(const std::error_code& error) {
    return error == store::errc::circuit_open || error == store::errc::rate_limited;
}

bool is_restored(revision before, revision after) {
    return !before.empty() && store::generation_of(after) > store::generation_of(before);
}

} // namespace

follower::follower(store::key_value_store& store, registry_schema schema, follower_options options,
                   const clock& time, registered_daemon self)
    : store_(store), schema_(std::move(schema)), options_(options), time_(time),
      self_(std::move(self)), watch_(store, "") {}

void follower::decode_entry(const store::entry& entry, registry_update& update) const {
    if (entry.key == schema_.configuration_key) {
        auto decoded = schema_.read_configuration(entry);
        if (!decoded) {
            update.unreadable.push_back(entry.key);
        } else if (!update.configuration || update.configuration->version < decoded->version) {
            update.configuration = std::move(decoded);
            update.configuration_entry = entry;
        }
        return;
    }
    if (!entry.key.starts_with(schema_.backend_prefix)) {
        return;
    }
    std::optional<backend> registration = schema_.read_backend(entry);
    if (registration) {
        // One update may contain both the removal and the return of an entry.
        std::erase(update.absent, registration->id);
        std::erase_if(update.present,
                      [&](const backend& other) { return other.id == registration->id; });
        update.present.push_back(std::move(*registration));
        return;
    }
    update.unreadable.push_back(entry.key);
    update.absent.emplace_back(entry.key.substr(schema_.backend_prefix.size()));
}

registry_update follower::decode_snapshot(const std::vector<store::entry>& entries) {
    registry_update update;
    update.is_snapshot = true;
    daemons_.clear();
    for (const store::entry& entry : entries) {
        decode_entry(entry, update);
        if (entry.key.starts_with(schema_.daemon_prefix)) {
            static_cast<void>(update_daemon(entry, false)); // The list is reported in any case.
        }
    }
    update.has_daemon_list = true;
    return update;
}

registry_update follower::decode_changes(const std::vector<store::change>& changes) {
    registry_update update;
    for (const store::change& change : changes) {
        const std::string& key = change.changed.key;
        if (key.starts_with(schema_.daemon_prefix)) {
            const bool is_changed = update_daemon(change.changed, change.is_erased);
            update.has_daemon_list = update.has_daemon_list || is_changed;
        } else if (!change.is_erased) {
            decode_entry(change.changed, update);
        } else if (key.starts_with(schema_.backend_prefix)) {
            const backend_id removed{key.substr(schema_.backend_prefix.size())};
            std::erase_if(update.present,
                          [&](const backend& other) { return other.id == removed; });
            update.absent.push_back(removed);
        }
    }
    return update;
}

void follower::report_status(const std::error_code& error, const status_handler& on_status) {
    const bool is_known = reported_status_ && (reported_status_->error == error ||
                                               (reported_status_->error && is_unsent(error)));
    if (!is_known) {
        reported_status_ = store_status{!error, error};
        on_status(*reported_status_);
    }
}

void follower::record_failure(time_point called_at, const std::error_code& error) {
    if (error == store::errc::reply_too_large) {
        return; // The store answers, so an outage has ended before.
    }
    if (!is_unsent(error) || !is_unreachable_) {
        failed_call_at_ = called_at;
    }
    is_unreachable_ = true;
}

void follower::record_success() {
    is_unreachable_ = false;
    last_read_at_ = time_.now();
}

bool follower::may_have_missed_outage() const {
    return time_.now() - last_read() >= options_.min_outage;
}

time_point follower::outage_grace_end() const {
    return std::min(time_.now() + options_.grace_period, failed_call_at_ + options_.stabilization);
}

result<registry_update> follower::poll() {
    // Deltas don't fill a gap that is known already.
    const bool can_use_feed = feed_ != nullptr && !watch_.position().empty() && !behind_since_;
    if (can_use_feed && feed_->is_live()) {
        return poll_feed();
    }
    const bool is_relaying = feed_ != nullptr && feed_->is_relaying();
    return poll_store(is_relaying ? options_.relaying_watch_timeout : options_.watch_timeout);
}

result<registry_update> follower::poll_feed() {
    auto delta = feed_->take(options_.relaying_watch_timeout);
    if (!delta) {
        return complete({});
    }
    if (store::generation_of(delta->through) < store::generation_of(watch_.position())) {
        return complete({}); // The relay has not noticed the restore yet.
    }
    if (delta->after > watch_.position()) {
        return poll_store(std::chrono::milliseconds{0});
    }
    // If the store was read meanwhile, only the relay had lost it.
    const time_point grace_ends_at =
        may_have_missed_outage() ? time_.now() + delta->grace_period : time_point{};
    record_success();
    std::erase_if(delta->changes, [this](const store::change& change) {
        return change.changed.modified <= watch_.position();
    });
    watch_.skip_through(delta->through);
    registry_update update = decode_changes(delta->changes);
    update.is_relayed = true;
    update.complete_as_of = delta->complete_as_of;
    update.grace_ends_at = grace_ends_at;
    return complete(std::move(update));
}

result<registry_update> follower::poll_store(std::chrono::milliseconds wait) {
    const revision before = watch_.position();
    const time_point called_at = time_.now();
    std::optional<time_point> complete_as_of =
        lease_time_ == nullptr ? std::nullopt : std::optional{lease_time_->now()};
    // The first poll after an outage returns at once: entries that are removed later did not lapse
    // in it.
    auto polled = read_changes(is_unreachable_ ? std::chrono::milliseconds{0} : wait);
    if (!polled) {
        record_failure(called_at, polled.error());
        return tl::unexpected(polled.error());
    }
    const std::optional<catch_up> caught_up = end_catch_up(before, *polled);
    const bool has_lapsed_entries = is_unreachable_ && may_have_missed_outage();
    time_point grace_ends_at = has_lapsed_entries ? outage_grace_end() : time_point{};
    std::optional<store_restore> restored;
    if (is_restored(before, watch_.position())) {
        grace_ends_at = restore_grace_end();
        restored = record_restore(before);
    }
    record_generation(before);
    if (called_at < unconfirmed_until_) {
        complete_as_of.reset();
    }
    record_success();
    publish_delta(before, *polled, grace_ends_at, complete_as_of);
    registry_update update =
        polled->is_whole ? decode_snapshot(polled->entries) : decode_changes(polled->changes);
    update.grace_ends_at = grace_ends_at;
    update.complete_as_of = complete_as_of;
    update.restored = restored;
    update.caught_up = caught_up;
    return complete(std::move(update));
}

result<store::watch_update> follower::read_changes(std::chrono::milliseconds wait) {
    if (!behind_since_) {
        const time_point called_at = time_.now();
        auto polled = watch_.poll(wait);
        const bool has_position = !watch_.position().empty();
        if (polled || polled.error() != store::errc::reply_too_large || !has_position) {
            return polled;
        }
        behind_since_ = called_at;
        if (on_behind_) {
            on_behind_(watch_.position());
        }
    }
    auto latest = read_latest();
    const bool is_listing_due = !latest && latest.error() == store::errc::compacted;
    return is_listing_due ? watch_.list() : latest;
}

result<store::watch_update> follower::read_latest() {
    const store::split_keys keys{schema_.configuration_key,
                                 {schema_.backend_prefix, schema_.daemon_prefix}};
    const revision position = watch_.position();
    auto latest = store::read_latest_changes(store_, keys, revision{position.value() + 1});
    if (!latest) {
        return tl::unexpected(latest.error());
    }
    watch_.skip_through(revision{latest->next.value() - 1});
    return store::watch_update{false, {}, std::move(latest->changes)};
}

std::optional<catch_up> follower::end_catch_up(revision before, const store::watch_update& polled) {
    if (!behind_since_) {
        return std::nullopt;
    }
    const duration taken = time_.now() - *behind_since_;
    behind_since_.reset();
    return catch_up{before, watch_.position(), count_value_bytes(polled),
                    std::chrono::duration_cast<std::chrono::milliseconds>(taken)};
}

/// Lost registrations are written again, lost versions of the configuration published again.
store_restore follower::record_restore(revision before) {
    const time_point now = time_.now();
    unconfirmed_until_ = now + options_.stabilization;
    may_have_restored_key_ = true;
    const auto spread = static_cast<std::uint64_t>(restore_renewal_spread.count());
    const std::chrono::milliseconds delay{stable_hash(self_.id.str()) % spread};
    next_renewal_ = std::min(next_renewal_, now + delay);
    next_withdrawal_ = now + delay;
    return {before, watch_.position(), now + options_.stabilization};
}

/// The store was back after the last successful poll and the last failed call.
time_point follower::restore_grace_end() const {
    const time_point back_after = std::max(last_read(), failed_call_at_);
    return std::min(time_.now() + options_.grace_period, back_after + options_.stabilization);
}

void follower::record_generation(revision before) {
    const store::generation current = store::generation_of(watch_.position());
    const bool is_known = !before.empty() && store::generation_of(before) == current;
    if (on_generation_ && !is_known) {
        on_generation_(current);
    }
}

registry_update follower::complete(registry_update update) const {
    if (update.has_daemon_list) {
        for (const auto& [key, daemon] : daemons_) {
            update.daemons.push_back(daemon);
        }
    }
    return update;
}

void follower::publish_delta(revision before, const store::watch_update& polled,
                             time_point grace_ends_at, std::optional<time_point> complete_as_of) {
    if (!on_delta_) {
        return;
    }
    store_delta delta;
    delta.through = watch_.position();
    // A listing skips revisions, so a receiver that is behind has to read the store itself.
    delta.after = polled.is_whole ? delta.through : before;
    delta.changes = polled.changes;
    delta.complete_as_of = complete_as_of;
    const duration left = std::max(duration{0}, grace_ends_at - time_.now());
    delta.grace_period = std::chrono::ceil<std::chrono::milliseconds>(left);
    on_delta_(std::move(delta));
}

bool follower::update_daemon(const store::entry& entry, bool is_erased) {
    const daemon_id id{entry.key.substr(schema_.daemon_prefix.size())};
    const auto daemon = is_erased ? std::nullopt : parse_daemon(id, entry.value);
    if (!daemon) {
        return daemons_.erase(entry.key) > 0;
    }
    const auto known = daemons_.find(entry.key);
    if (known != daemons_.end() && known->second == *daemon) {
        return false;
    }
    daemons_[entry.key] = *daemon;
    return true;
}

std::string follower::own_key() const {
    return schema_.daemon_prefix + self_.id.str();
}

void follower::withdraw_presence() {
    // If this fails, the key is removed when its lease expires.
    static_cast<void>(remove_registration());
}

result<void> follower::maintain_absence() {
    const time_point now = time_.now();
    if (now < next_withdrawal_) {
        return {};
    }
    next_withdrawal_ = now + options_.withdrawal_retry_interval;
    return remove_registration();
}

result<void> follower::remove_registration() {
    const bool is_due = !lease_.empty() || may_have_restored_key_;
    if (!lease_.empty()) {
        if (auto revoked = store_.revoke_lease(lease_); !revoked) {
            return revoked;
        }
        lease_ = {};
        is_registered_ = false;
    }
    if (may_have_restored_key_) {
        if (auto erased = erase_restored_key(); !erased) {
            return erased;
        }
        may_have_restored_key_ = false;
    }
    if (is_due && on_withdrawal_) {
        on_withdrawal_();
    }
    return {};
}

result<void> follower::erase_restored_key() {
    const auto found = store_.get(own_key());
    if (!found) {
        return tl::unexpected(found.error());
    }
    if (!*found) {
        return {};
    }
    const auto erased = store_.erase(own_key(), (*found)->modified);
    return erased ? result<void>{} : tl::unexpected(erased.error());
}

result<void> follower::register_self() {
    auto lease = store_.grant_lease(options_.presence_ttl);
    if (!lease) {
        return tl::unexpected(lease.error());
    }
    // Kept although the key is not written yet: a swap without a reply may still take effect.
    lease_ = *lease;
    const std::string key = own_key();
    const std::string value = to_value(self_);
    auto outcome = store_.swap(key, {}, value, lease_);
    if (outcome && !outcome->is_swapped && outcome->current) {
        // The key of a previous process of this daemon still exists.
        outcome = store_.swap(key, outcome->current->modified, value, lease_);
    }
    if (!outcome) {
        return tl::unexpected(outcome.error());
    }
    is_registered_ = true;
    may_have_restored_key_ = false;
    if (on_registration_) {
        on_registration_();
    }
    return {};
}

result<void> follower::maintain_presence() {
    if (is_leaving_) {
        return maintain_absence();
    }
    const time_point now = time_.now();
    if (now < next_renewal_) {
        return {};
    }
    next_renewal_ = now + options_.presence_renewal_interval;
    if (!is_registered_) {
        return register_self();
    }
    const auto renewed = store_.keep_alive(lease_);
    if (renewed) {
        return {};
    }
    if (renewed.error() == store::errc::lease_expired) {
        is_registered_ = false;
        return register_self();
    }
    return tl::unexpected(renewed.error());
}

void follower::renew_presence(const status_handler& on_status) {
    if (const auto maintained = maintain_presence(); !maintained) {
        on_status({true, maintained.error()});
    }
}

void follower::run(const update_handler& on_update, const status_handler& on_status) {
    while (!is_stopping_) {
        auto update = poll();
        report_status(update ? std::error_code{} : update.error(), on_status);
        if (!update) {
            if (update.error() == store::errc::reply_too_large) {
                renew_presence(on_status);
            }
            std::this_thread::sleep_for(options_.retry_delay);
            continue;
        }
        const bool is_pause_due = has_changes(*update) && !update->is_relayed;
        const std::optional<time_point> complete_as_of = update->complete_as_of;
        if (has_changes(*update)) {
            on_update(std::move(*update));
        }
        if (complete_as_of && on_confirmation_) {
            on_confirmation_(*complete_as_of);
        }
        if (is_pause_due) {
            std::this_thread::sleep_for(options_.update_delay);
        }
        renew_presence(on_status);
    }
    withdraw_presence();
}

} // namespace cicadahatch::discovery
