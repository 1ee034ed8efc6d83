#include "src/store/guarded_store.hpp"

#include "src/core/macros.hpp"
#include "src/store/error.hpp"

#include <algorithm>

namespace cicadahatch::store {

namespace {

/// A burst holds this many seconds' worth of calls, and one call at least.
constexpr double burst_seconds = 1.0;

/// The rest is left to operators' tools and to probes of open circuits.
constexpr double shared_part = 0.75;

token_bucket full_bucket(double per_second, double burst, time_point now) {
    return {per_second, burst, burst, now};
}

/// Whether an error tells of the service's health rather than of the call itself.
bool is_failure_of_service(const std::error_code& error) {
    return error == errc::unavailable || error == errc::outcome_unknown || error == errc::protocol;
}

} // namespace

call_budget share_budget(double reads_per_second, double writes_per_second, std::size_t daemons) {
    CICADAHATCH_ASSERT(daemons > 0, budget_is_shared_by_a_daemon);
    const double part = shared_part / static_cast<double>(daemons);
    call_budget budget;
    budget.reads_per_second = reads_per_second * part;
    budget.read_burst = std::max(1.0, budget.reads_per_second * burst_seconds);
    budget.writes_per_second = writes_per_second * part;
    budget.write_burst = std::max(1.0, budget.writes_per_second * burst_seconds);
    return budget;
}

guarded_store::guarded_store(key_value_store& kept, const clock& time, const call_budget& budget,
                             const circuit_limits& limits, std::uint64_t seed)
    : kept_(kept), time_(time), random_(seed),
      reads_(full_bucket(budget.reads_per_second, budget.read_burst, time.now())),
      writes_(full_bucket(budget.writes_per_second, budget.write_burst, time.now())) {
    circuit_.limits = limits;
}

bool guarded_store::is_circuit_open() const {
    const std::lock_guard lock{mutex_};
    return is_open(circuit_);
}

void guarded_store::set_budget(const call_budget& budget) {
    const std::lock_guard lock{mutex_};
    const time_point now = time_.now();
    set_rate(reads_, budget.reads_per_second, budget.read_burst, now);
    set_rate(writes_, budget.writes_per_second, budget.write_burst, now);
}

std::error_code guarded_store::admit(token_bucket* bucket) {
    const std::lock_guard lock{mutex_};
    const time_point now = time_.now();
    // A probe of an open circuit spends no token: its own pause bounds the rate.
    const bool spends = bucket != nullptr && !is_open(circuit_);
    if (spends && !try_take(*bucket, now)) {
        return errc::rate_limited;
    }
    if (!try_pass(circuit_, now)) {
        return errc::circuit_open;
    }
    return {};
}

void guarded_store::record(const std::error_code& error) {
    const std::lock_guard lock{mutex_};
    const time_point now = time_.now();
    if (is_failure_of_service(error)) {
        record_failure(circuit_, now, random_);
    } else if (record_success(circuit_)) {
        drain(reads_, now);
        drain(writes_, now);
    }
}

template <class Call>
auto guarded_store::guarded(token_bucket* bucket, Call call) -> decltype(call()) {
    if (const std::error_code held = admit(bucket)) {
        return tl::unexpected(held);
    }
    auto outcome = call();
    record(outcome ? std::error_code{} : outcome.error());
    return outcome;
}

result<std::optional<entry>> guarded_store::get(const std::string& key) {
    return guarded(&reads_, [&] { return kept_.get(key); });
}

result<listing> guarded_store::list(const std::string& prefix) {
    return guarded(&reads_, [&] { return kept_.list(prefix); });
}

result<swap_outcome> guarded_store::swap(const std::string& key, revision expected,
                                         const std::string& value, lease_id lease) {
    return guarded(&writes_, [&] { return kept_.swap(key, expected, value, lease); });
}

result<swap_outcome> guarded_store::erase(const std::string& key, revision expected) {
    return guarded(&writes_, [&] { return kept_.erase(key, expected); });
}

result<lease_id> guarded_store::grant_lease(std::chrono::seconds time_to_live) {
    return guarded(&writes_, [&] { return kept_.grant_lease(time_to_live); });
}

result<std::chrono::seconds> guarded_store::keep_alive(lease_id lease) {
    return guarded(nullptr, [&] { return kept_.keep_alive(lease); });
}

result<void> guarded_store::revoke_lease(lease_id lease) {
    return guarded(&writes_, [&] { return kept_.revoke_lease(lease); });
}

bool guarded_store::continues_watch(const std::string& prefix, revision from) const {
    const std::lock_guard lock{mutex_};
    const auto found = watched_.find(prefix);
    return found != watched_.end() && found->second == from;
}

result<change_batch> guarded_store::watch(const std::string& prefix, revision from,
                                          std::chrono::milliseconds wait) {
    token_bucket* bucket = continues_watch(prefix, from) ? nullptr : &reads_;
    auto batch = guarded(bucket, [&] { return kept_.watch(prefix, from, wait); });
    const std::lock_guard lock{mutex_};
    if (batch) {
        watched_[prefix] = batch->next;
    } else {
        watched_.erase(prefix);
    }
    return batch;
}

void guarded_store::end_watch(const std::string& prefix) {
    {
        const std::lock_guard lock{mutex_};
        watched_.erase(prefix);
    }
    kept_.end_watch(prefix);
}

} // namespace cicadahatch::store
