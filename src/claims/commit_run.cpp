#include "src/claims/commit_run.hpp"

#include "src/claims/constants.hpp"
#include "src/claims/error.hpp"
#include "src/store/error.hpp"

#include <algorithm>
#include <utility>

namespace cicadahatch::claims {

namespace {

segment_verdict apply(segment& in, operation& wanted, wall_time now) {
    switch (wanted.kind) {
    case operation_kind::make_claim:
        return apply_claim(in, wanted.wanted, now);
    case operation_kind::record_outcome:
        if (!apply_outcome(in, wanted.wanted.key, wanted.wanted.attempt, wanted.wanted.outcome)) {
            return key_expired{};
        }
        return granted{};
    case operation_kind::abandon:
        apply_abandonment(in, wanted.wanted);
        return granted{};
    }
    return not_here{};
}

bool is_not_here(const operation& wanted) {
    return wanted.verdict && std::holds_alternative<not_here>(*wanted.verdict);
}

void finish(operation& done) {
    const bool is_gone = done.kind == operation_kind::record_outcome && done.verdict &&
                         std::holds_alternative<key_expired>(*done.verdict);
    if (is_gone) {
        done.verdict = failure(errc::claim_gone);
    }
    done.is_finished = true;
}

} // namespace

commit_run::commit_run(shard_view& view, std::vector<operation*> operations, const clock& time)
    : view_(view), operations_(std::move(operations)), time_(time) {
    if (view_.held_head) {
        view_.held_head->is_fresh = false;
    }
}

bool commit_run::is_finished() const {
    return std::all_of(operations_.begin(), operations_.end(),
                       [](const operation* each) { return each->is_finished; });
}

std::uint64_t commit_run::place_of(const operation& wanted) const {
    if (wanted.kind != operation_kind::make_claim) {
        return wanted.segment;
    }
    for (const std::uint64_t number : candidates(view_, wanted.wanted.key)) {
        const auto& out = wanted.ruled_out;
        if (std::find(out.begin(), out.end(), number) == out.end()) {
            return number;
        }
    }
    return view_.head;
}

std::vector<operation*> commit_run::operations_at(std::uint64_t number) const {
    std::vector<operation*> found;
    for (operation* each : operations_) {
        if (!each->is_finished && place_of(*each) == number) {
            found.push_back(each);
        }
    }
    return found;
}

bool commit_run::step(store::key_value_store& shared) {
    if (is_finished()) {
        return true;
    }
    if (!view_.is_loaded) {
        load_view(shared);
        return is_finished();
    }
    const auto next = std::find_if(operations_.begin(), operations_.end(),
                                   [](const operation* each) { return !each->is_finished; });
    const std::uint64_t place = place_of(**next);
    if (place == view_.head && view_.held_head) {
        held_ = std::exchange(view_.held_head, std::nullopt);
    }
    if (held_ && held_->stored.number == place) {
        resolve(shared);
    } else {
        fetch(shared, place);
    }
    return is_finished();
}

void commit_run::load_view(store::key_value_store& shared) {
    const auto listed = shared.list(view_.prefix);
    if (!listed) {
        meet_error(listed.error());
        return;
    }
    held_.reset();
    if (const auto loaded = load(view_, *listed); !loaded) {
        fail_all(loaded.error());
    }
}

void commit_run::fetch(store::key_value_store& shared, std::uint64_t number) {
    const auto read = shared.get(segment_key(view_, number));
    if (!read) {
        meet_error(read.error());
    } else if (!*read) {
        meet_absent(number);
    } else {
        take_in(**read, number);
    }
}

void commit_run::meet_absent(std::uint64_t number) {
    if (number == view_.head && view_.may_create_head) {
        segment created;
        created.number = number;
        held_ = held_segment{std::move(created), revision{}, true};
        return;
    }
    if (number == view_.head) {
        // The head that was seen is gone: this view is older than the tombstones.
        view_.is_loaded = false;
        meet_lost_race();
        return;
    }
    forget(view_, number);
    for (operation* each : operations_at(number)) {
        if (each->kind == operation_kind::record_outcome) {
            each->verdict = failure(errc::claim_gone);
        }
        each->is_finished = each->kind != operation_kind::make_claim;
    }
}

void commit_run::take_in(const store::entry& read, std::uint64_t number) {
    auto stored = decode_segment(read.value);
    if (!stored || stored->number != number) {
        fail_all(make_error_code(errc::malformed));
        return;
    }
    held_ = held_segment{std::move(*stored), read.modified, true};
    if (number != view_.head) {
        return;
    }
    view_.may_create_head = false;
    if (held_->stored.is_sealed) {
        note_sealed(view_, held_->stored);
    }
}

void commit_run::resolve(store::key_value_store& shared) {
    const std::vector<operation*> served = operations_at(held_->stored.number);
    segment changed = held_->stored;
    for (operation* each : served) {
        each->verdict = apply(changed, *each, time_.wall_now());
    }
    if (changed != held_->stored) {
        write(shared, std::move(changed), served);
    } else if (held_->is_fresh) {
        settle_unchanged(served);
    } else {
        fetch(shared, held_->stored.number);
    }
}

void commit_run::settle_unchanged(const std::vector<operation*>& served) {
    const std::uint64_t number = held_->stored.number;
    for (operation* each : served) {
        if (is_not_here(*each)) {
            each->ruled_out.push_back(number);
            continue;
        }
        each->segment = number;
        finish(*each);
    }
    if (number == view_.head) {
        view_.held_head = std::exchange(held_, std::nullopt);
    }
}

void commit_run::write(store::key_value_store& shared, segment changed,
                       const std::vector<operation*>& served) {
    const std::string key = segment_key(view_, changed.number);
    const auto swapped = shared.swap(key, held_->at, encode(changed));
    if (!swapped && !store::is_surely_not_applied(swapped.error())) {
        for (operation* each : served) {
            each->is_uncertain = each->is_uncertain || !is_not_here(*each);
            each->segment = changed.number;
        }
        held_.reset();
    }
    if (!swapped) {
        meet_error(swapped.error());
    } else if (swapped->is_swapped) {
        meet_written(std::move(changed), swapped->at, served);
    } else {
        meet_refused(*swapped);
    }
}

void commit_run::meet_written(segment written, revision at, const std::vector<operation*>& served) {
    const bool was_head = written.number == view_.head;
    for (operation* each : served) {
        if (!is_not_here(*each)) {
            each->segment = written.number;
            finish(*each);
        }
    }
    held_ = held_segment{std::move(written), at, true};
    if (was_head && held_->stored.is_sealed) {
        note_sealed(view_, held_->stored);
    } else if (was_head) {
        view_.may_create_head = false;
        view_.held_head = std::exchange(held_, std::nullopt);
    }
}

void commit_run::meet_refused(const store::swap_outcome& refused) {
    const std::uint64_t number = held_->stored.number;
    held_.reset();
    if (refused.current) {
        take_in(*refused.current, number);
    }
    meet_lost_race();
}

void commit_run::meet_error(const std::error_code& error) {
    ++errors_;
    const bool is_uncertain =
        std::any_of(operations_.begin(), operations_.end(),
                    [](const operation* each) { return each->is_uncertain && !each->is_finished; });
    const bool is_hopeless = store::is_surely_not_applied(error) && !is_uncertain;
    if (is_hopeless || errors_ >= max_store_errors) {
        fail_all(make_error_code(errc::store_unreachable));
    }
}

void commit_run::meet_lost_race() {
    ++lost_races_;
    if (lost_races_ >= max_lost_races) {
        fail_all(make_error_code(errc::contended));
    }
}

void commit_run::fail_all(const std::error_code& error) {
    for (operation* each : operations_) {
        if (each->is_finished) {
            continue;
        }
        const bool may_stand = each->is_uncertain && each->kind == operation_kind::make_claim;
        each->verdict = may_stand ? failure(errc::claim_uncertain) : tl::unexpected(error);
        each->is_finished = true;
    }
}

bool sweep_one(shard_view& view, store::key_value_store& shared, wall_time now) {
    const auto due = std::find_if(view.sealed.begin(), view.sealed.end(),
                                  [&](const sealed_segment& each) { return each.due < now; });
    if (due == view.sealed.end()) {
        return false;
    }
    const std::string key = segment_key(view, due->number);
    const auto read = shared.get(key);
    if (!read) {
        return false;
    }
    if (!*read) {
        forget(view, due->number);
        return true;
    }
    auto stored = decode_segment((*read)->value);
    if (!stored) {
        return false;
    }
    const revision at = (*read)->modified;
    if (is_compactable(*stored, now)) {
        compact(*stored);
        const auto swapped = shared.swap(key, at, encode(*stored));
        if (!swapped || !swapped->is_swapped) {
            return false;
        }
    } else if (is_erasable(*stored, now)) {
        const auto erased = shared.erase(key, at);
        if (erased && erased->is_swapped) {
            forget(view, due->number);
        }
        return erased.has_value();
    }
    due->due = next_due(*stored);
    return true;
}

} // namespace cicadahatch::claims
