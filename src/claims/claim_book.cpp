#include "src/claims/claim_book.hpp"

#include "src/claims/constants.hpp"
#include "src/claims/error.hpp"
#include "src/claims/internal/lane.hpp"
#include "src/claims/key_time.hpp"
#include "src/core/constants.hpp"
#include "src/core/macros.hpp"
#include "src/core/random.hpp"

#include <algorithm>

namespace cicadahatch::claims {

namespace {

bool is_valid(const claim_request& wanted) {
    const bool has_key = !wanted.key.empty() && wanted.key.str().size() <= max_name_bytes;
    const std::string& service = wanted.service.str();
    return has_key && !service.empty() && service.size() <= max_name_bytes &&
           service.find('/') == std::string::npos;
}

claim_request bounded(claim_request wanted, time_point now) {
    wanted.kept = std::clamp<std::chrono::seconds>(wanted.kept, std::chrono::seconds{1}, max_kept);
    wanted.deadline = std::min(wanted.deadline, now + wanted.kept);
    return wanted;
}

} // namespace

claim_book::claim_book(store::key_value_store& shared, const clock& time)
    : store_(shared), time_(time) {}

claim_book::~claim_book() = default;

internal::lane& claim_book::lane_of(const service_id& service, const idempotency_key& key) {
    const std::uint64_t shard = shard_of(key);
    const std::lock_guard lock{mutex_};
    std::unique_ptr<internal::lane>& place = lanes_[{service, shard}];
    if (!place) {
        place = std::make_unique<internal::lane>(make_shard_view(service, shard), time_, max_batch_,
                                                 gather_);
    }
    return *place;
}

std::vector<internal::lane*> claim_book::lanes() {
    std::vector<internal::lane*> all;
    const std::lock_guard lock{mutex_};
    for (const auto& [key, each] : lanes_) {
        all.push_back(each.get());
    }
    return all;
}

claim claim_book::make_claim(const claim_request& wanted) const {
    claim made;
    made.key = wanted.key;
    made.digest = wanted.digest;
    made.attempt = next_attempt_();
    made.owner = owner_;
    made.claimed_at = time_.wall_now();
    const duration left = wanted.deadline - time_.now();
    made.answer_by = made.claimed_at + std::chrono::duration_cast<wall_time::duration>(left);
    made.kept_until = made.claimed_at + wanted.kept;
    return made;
}

bool claim_book::is_too_old(const claim_request& wanted) const {
    const auto made = key_time(wanted.key);
    return made && *made + wanted.kept < time_.wall_now();
}

result<claim_decision> claim_book::begin(const claim_request& asked) {
    if (!is_valid(asked)) {
        return failure(errc::invalid_key);
    }
    const claim_request wanted = bounded(asked, time_.now());
    if (wanted.deadline <= time_.now()) {
        return failure(errc::deadline_passed);
    }
    if (is_too_old(wanted)) {
        return claim_decision{key_expired{}};
    }
    operation making;
    making.wanted = make_claim(wanted);
    lane_of(wanted.service, wanted.key).run(making, store_);
    if (making.verdict) {
        return decide(wanted, making);
    }
    if (making.verdict.error() == errc::claim_uncertain) {
        making.kind = operation_kind::abandon;
        keep_unsettled(wanted.service, making);
    }
    return tl::unexpected(making.verdict.error());
}

claim_decision claim_book::decide(const claim_request& wanted, const operation& made) const {
    return std::visit(
        [&](const auto& verdict) -> claim_decision {
            using verdict_type = std::decay_t<decltype(verdict)>;
            if constexpr (std::is_same_v<verdict_type, granted>) {
                return run_it{
                    permit{wanted, made.wanted.attempt, made.segment, made.wanted.answer_by}};
            } else if constexpr (std::is_same_v<verdict_type, not_here>) {
                return unknown_outcome{};
            } else {
                return verdict;
            }
        },
        *made.verdict);
}

result<void> claim_book::record(permit used, const claim_outcome& outcome) {
    operation recording;
    recording.kind = operation_kind::record_outcome;
    recording.wanted.key = used.request_.key;
    recording.wanted.attempt = used.attempt_;
    recording.wanted.outcome = outcome;
    recording.segment = used.segment_;
    return settle(used.request_.service, std::move(recording));
}

result<void> claim_book::abandon(permit unused) {
    operation giving_up;
    giving_up.kind = operation_kind::abandon;
    giving_up.wanted = make_claim(unused.request_);
    giving_up.wanted.attempt = unused.attempt_;
    giving_up.segment = unused.segment_;
    return settle(unused.request_.service, std::move(giving_up));
}

result<void> claim_book::settle(const service_id& service, operation wanted) {
    wanted.is_finished = false;
    lane_of(service, wanted.wanted.key).run(wanted, store_);
    if (wanted.verdict) {
        return {};
    }
    const std::error_code error = wanted.verdict.error();
    if (error != errc::claim_gone) {
        keep_unsettled(service, std::move(wanted));
    }
    return tl::unexpected(error);
}

void claim_book::keep_unsettled(const service_id& service, operation wanted) {
    wanted.is_finished = false;
    wanted.is_uncertain = false;
    const std::lock_guard lock{mutex_};
    if (unsettled_.size() >= max_unsettled) {
        unsettled_.pop_front();
    }
    unsettled_.push_back({service, std::move(wanted)});
}

std::optional<claim_book::unsettled_operation> claim_book::next_unsettled() {
    const std::lock_guard lock{mutex_};
    if (unsettled_.empty()) {
        return std::nullopt;
    }
    unsettled_operation next = std::move(unsettled_.front());
    unsettled_.pop_front();
    return next;
}

void claim_book::tend(std::size_t limit) {
    const std::size_t count = std::min(limit, unsettled());
    for (std::size_t done = 0; done < count; ++done) {
        auto next = next_unsettled();
        if (!next || !settle(next->service, std::move(next->wanted))) {
            break; // The store is still away; what is left waits.
        }
    }
    for (internal::lane* each : lanes()) {
        each->sweep(store_, limit);
    }
}

std::size_t claim_book::unsettled() const {
    const std::lock_guard lock{mutex_};
    return unsettled_.size();
}

claim_book_builder& claim_book_builder::owner(daemon_id name) {
    owner_ = std::move(name);
    return *this;
}

claim_book_builder& claim_book_builder::max_batch(std::size_t count) {
    max_batch_ = count;
    return *this;
}

claim_book_builder& claim_book_builder::gather(std::chrono::milliseconds wait) {
    gather_ = wait;
    return *this;
}

claim_book_builder& claim_book_builder::attempts_from(std::function<claim_attempt()> next) {
    next_attempt_ = std::move(next);
    return *this;
}

std::unique_ptr<claim_book> claim_book_builder::build() const {
    CICADAHATCH_ASSERT(!owner_.empty(), claim_book_has_an_owner);
    CICADAHATCH_ASSERT(max_batch_ > 0, claim_batch_is_not_empty);
    std::unique_ptr<claim_book> book{new claim_book(*store_, *time_)};
    book->owner_ = owner_;
    book->max_batch_ = max_batch_;
    book->gather_ = gather_;
    book->next_attempt_ =
        next_attempt_ ? next_attempt_ : [] { return claim_attempt{unique_token()}; };
    return book;
}

} // namespace cicadahatch::claims
