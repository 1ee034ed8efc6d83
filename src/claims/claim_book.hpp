#pragma once

#include "src/claims/claim.hpp"
#include "src/claims/commit_run.hpp"
#include "src/claims/constants.hpp"
#include "src/claims/permit.hpp"
#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/core/result.hpp"
#include "src/store/key_value_store.hpp"

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace cicadahatch::claims {

namespace internal {
class lane;
}

/// The caller's request is to be run, once, with this permit.
struct run_it {
    permit allowed;
};

/// \brief What to do with a request. Only run_it allows to send anything.
using claim_decision =
    std::variant<run_it, in_progress, completed, unknown_outcome, key_reused, key_expired>;

/// \brief The at-most-once claims of one daemon. Safe for use by several threads.
/// \sa claim_book_builder
class claim_book {
public:
    claim_book(const claim_book&) = delete;
    claim_book& operator=(const claim_book&) = delete;
    claim_book(claim_book&&) = delete;
    claim_book& operator=(claim_book&&) = delete;
    ~claim_book();

    /// \brief Claims a request before anything of it is sent. Blocks for a few store calls.
    /// \returns the decision; an error (errc) means that no permit was given and nothing may be
    /// sent: the caller may truthfully be told "not run"
    [[nodiscard]] result<claim_decision> begin(const claim_request& wanted);

    /// \brief Records the outcome, for repeats to be told. Call it after the caller was answered,
    /// or before: the claim holds in any case. What the store does not take now, tend() retries.
    /// \returns an error if the outcome is not recorded yet
    result<void> record(permit used, const claim_outcome& outcome);

    /// \brief Gives the claim up, so that a repeat may run.
    /// \param unused its request was surely not sent: no byte of it has left this process, or the
    /// backend server's own answer proves that it did nothing
    /// \returns an error if the claim is not given up yet; tend() retries
    result<void> abandon(permit unused);

    /// \brief Retries what the store did not take, and drops claims past their kept time. Call it
    /// every few seconds, with jitter.
    /// \param limit most records retried, and most store entries swept per shard
    void tend(std::size_t limit);

    /// \returns how many outcomes and abandonments wait for the store
    [[nodiscard]] std::size_t unsettled() const;

private:
    friend class claim_book_builder;
    using lane_key = std::pair<service_id, std::uint64_t>;

    struct unsettled_operation {
        service_id service;
        operation wanted;
    };

    claim_book(store::key_value_store& shared, const clock& time);

    internal::lane& lane_of(const service_id& service, const idempotency_key& key);
    std::vector<internal::lane*> lanes();
    [[nodiscard]] claim make_claim(const claim_request& wanted) const;
    [[nodiscard]] bool is_too_old(const claim_request& wanted) const;
    [[nodiscard]] claim_decision decide(const claim_request& wanted, const operation& made) const;
    result<void> settle(const service_id& service, operation wanted);
    void keep_unsettled(const service_id& service, operation wanted);
    std::optional<unsettled_operation> next_unsettled();

    store::key_value_store& store_;
    const clock& time_;
    daemon_id owner_;
    std::size_t max_batch_ = 0;
    std::chrono::milliseconds gather_{0};
    std::function<claim_attempt()> next_attempt_;

    mutable std::mutex mutex_;
    std::map<lane_key, std::unique_ptr<internal::lane>> lanes_;
    std::deque<unsettled_operation> unsettled_;
};

/// \brief Builds a claim_book.
class claim_book_builder {
public:
    /// \param shared the platform's store; outlives the book
    /// \param time outlives the book
    claim_book_builder(store::key_value_store& shared, const clock& time)
        : store_(&shared), time_(&time) {}

    claim_book_builder& owner(daemon_id name);
    /// \param count most operations in one write; one writes each on its own
    claim_book_builder& max_batch(std::size_t count);
    /// \param wait time that each write waits for more operations; zero groups only what comes
    /// while the write before it is under way
    claim_book_builder& gather(std::chrono::milliseconds wait);
    /// \param next source of attempt names; must never give the same one twice
    claim_book_builder& attempts_from(std::function<claim_attempt()> next);

    [[nodiscard]] std::unique_ptr<claim_book> build() const;

private:
    store::key_value_store* store_;
    const clock* time_;
    daemon_id owner_;
    std::size_t max_batch_ = default_max_batch;
    std::chrono::milliseconds gather_{0};
    std::function<claim_attempt()> next_attempt_;
};

} // namespace cicadahatch::claims
