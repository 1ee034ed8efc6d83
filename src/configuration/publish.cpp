#include "src/configuration/publish.hpp"

#include "src/configuration/constants.hpp"
#include "src/configuration/error.hpp"
#include "src/configuration/internal/layout.hpp"
#include "src/core/macros.hpp"
#include "src/store/constants.hpp"
#include "src/store/error.hpp"

#include <algorithm>
#include <set>

namespace cicadahatch::configuration {

namespace {

bool is_changed_at(const internal::shard& part, revision at) {
    const auto is_new_service = [&](const auto& entry) { return entry.second->changed == at; };
    const auto is_new_tombstone = [&](const auto& entry) { return entry.second == at; };
    return std::any_of(part.services.begin(), part.services.end(), is_new_service) ||
           std::any_of(part.tombstones.begin(), part.tombstones.end(), is_new_tombstone);
}

bool is_empty(const internal::shard& part) {
    return part.services.empty() && part.tombstones.empty();
}

void remember_change(std::vector<internal::recent_change>& recent, revision at,
                     const std::string& id) {
    recent.push_back({at, id});
    if (recent.size() > recent_changes_kept) {
        recent.erase(recent.begin());
    }
}

/// Shards that no head can name any more: not named now, and made for a revision already taken.
std::vector<store::entry> find_stale(const std::vector<store::entry>& listed,
                                     const internal::head& in_force) {
    const std::set<std::string> named{in_force.shards.begin(), in_force.shards.end()};
    std::vector<store::entry> stale;
    for (const store::entry& entry : listed) {
        const revision target = internal::target_of(entry.key);
        if (!target.empty() && target <= in_force.at && named.count(entry.key) == 0) {
            stale.push_back(entry);
        }
    }
    return stale;
}

/// The head names every change after the first that it remembers.
bool remembers(const internal::head& read, revision at) {
    return !read.recent.empty() && read.recent.front().at <= at;
}

/// Readers parse each service anew, and one that they refuse would keep all changes from them.
bool is_readable(const snapshot& planned) {
    return std::all_of(planned.services().begin(), planned.services().end(),
                       [&](const auto& entry) {
                           const accepted_service& accepted = *entry.second;
                           return accepted.changed != planned.at() ||
                                  settings::parse_service(accepted.text, "publication").is_valid();
                       });
}

} // namespace

publish_steps::publish_steps(publication wanted) : wanted_(std::move(wanted)) {
    CICADAHATCH_ASSERT(!wanted_.change_id.empty(), publication_has_a_change_id);
}

const result<publish_report>& publish_steps::outcome() const {
    CICADAHATCH_ASSERT(outcome_.has_value(), publication_has_an_outcome);
    return *outcome_;
}

std::error_code publish_steps::step(store::key_value_store& kept) {
    switch (next_) {
    case publish_action::read_all:
        return read_all(kept);
    case publish_action::write_shard:
        return write_shard(kept);
    case publish_action::swap_head:
        return swap_head(kept);
    case publish_action::erase_stale:
        return erase_stale(kept);
    case publish_action::done:
        break;
    }
    return {};
}

void publish_steps::give_up() {
    if (!outcome_) {
        finish(failure(is_in_doubt_ ? errc::outcome_unknown : errc::not_accepted));
    }
    next_ = publish_action::done;
}

void publish_steps::finish(result<publish_report> outcome) {
    outcome_ = std::move(outcome);
    next_ = publish_action::done;
}

std::error_code publish_steps::read_all(store::key_value_store& kept) {
    auto listed = kept.list(key_prefix);
    if (!listed) {
        return listed.error();
    }
    auto found = internal::decode_listing(listed->entries, shards_);
    if (!found) {
        finish(tl::unexpected(found.error()));
        return {};
    }
    listed_ = std::move(listed->entries);
    shards_ = std::move(found->shards);
    head_modified_ = found->head_modified;
    if (const auto at = internal::find_change(found->read, wanted_.change_id)) {
        stale_ = find_stale(listed_, found->read);
        accept(*at);
        return {};
    }
    if (is_in_doubt_ && found->read.at >= new_revision_) {
        if (!remembers(found->read, new_revision_)) {
            finish(failure(errc::outcome_unknown));
            return {};
        }
        is_in_doubt_ = false;
    }
    make_plan(found->whole);
    if (next_ != publish_action::done) {
        prepare_writes(found->whole, found->read);
    }
    return {};
}

void publish_steps::make_plan(const snapshot_ptr& current) {
    auto plan = plan_change(current, wanted_.services, wanted_.base);
    if (!plan) {
        finish(tl::unexpected(plan.error()));
        return;
    }
    differences_ = std::move(plan->differences);
    planned_ = std::move(plan->next);
    const revision in_force = current ? current->at() : revision{};
    if (!plan->conflicts.empty()) {
        finish(publish_report{publish_status::conflict, in_force, {}, std::move(plan->conflicts)});
    } else if (!planned_) {
        finish(publish_report{publish_status::unchanged, in_force, {}, {}});
    } else if (!is_readable(*planned_)) {
        finish(failure(errc::malformed));
    }
}

void publish_steps::prepare_writes(const snapshot_ptr& current, const internal::head& before) {
    const std::size_t known = current ? before.shards.size() : 0;
    const std::size_t count = internal::choose_shard_count(*planned_, known);
    const std::vector<internal::shard> parts = internal::split(*planned_, count);
    new_head_ = internal::head{};
    new_head_.at = planned_->at();
    new_head_.tombstones_since = planned_->tombstones_since();
    new_head_.fingerprint = planned_->fingerprint();
    new_head_.recent = before.recent;
    remember_change(new_head_.recent, planned_->at(), wanted_.change_id);
    writes_.clear();
    for (std::size_t index = 0; index < count; ++index) {
        const bool is_kept = count == known && !is_changed_at(parts[index], planned_->at());
        std::string key = is_kept ? before.shards[index] : std::string{};
        if (!is_kept && !is_empty(parts[index])) {
            key = internal::shard_key(planned_->at(), wanted_.change_id, index);
            writes_.push_back({key, internal::encode_shard(parts[index])});
        }
        new_head_.shards.push_back(std::move(key));
    }
    new_revision_ = planned_->at();
    next_ = writes_.empty() ? publish_action::swap_head : publish_action::write_shard;
}

std::error_code publish_steps::write_shard(store::key_value_store& kept) {
    const shard_write& writing = writes_.back();
    if (writing.value.size() > store::max_value_bytes) {
        finish(failure(errc::service_too_large));
        return {};
    }
    const auto written = kept.swap(writing.key, {}, writing.value);
    if (!written) {
        return written.error();
    }
    // A write whose reply was lost has left the same value.
    const bool is_there =
        written->is_swapped || (written->current && written->current->value == writing.value);
    if (!is_there) {
        finish(failure(errc::inconsistent));
        return {};
    }
    writes_.pop_back();
    if (writes_.empty()) {
        next_ = publish_action::swap_head;
    }
    return {};
}

std::error_code publish_steps::swap_head(store::key_value_store& kept) {
    const auto swapped = kept.swap(head_key, head_modified_, internal::encode_head(new_head_));
    if (!swapped) {
        if (!store::is_surely_not_applied(swapped.error())) {
            is_in_doubt_ = true;
            next_ = publish_action::read_all;
        }
        return swapped.error();
    }
    if (swapped->is_swapped) {
        stale_ = find_stale(listed_, new_head_);
        accept(new_revision_);
    } else {
        next_ = publish_action::read_all;
    }
    return {};
}

void publish_steps::accept(revision at) {
    finish(publish_report{publish_status::accepted, at, std::move(differences_), {}});
    if (!stale_.empty()) {
        next_ = publish_action::erase_stale;
    }
}

std::error_code publish_steps::erase_stale(store::key_value_store& kept) {
    const store::entry& erased = stale_.back();
    const auto outcome = kept.erase(erased.key, erased.modified);
    stale_.pop_back();
    // What is left behind is erased by the next change.
    if (!outcome || stale_.empty()) {
        next_ = publish_action::done;
    }
    return {};
}

result<publish_report> publish(store::key_value_store& kept, const publication& wanted,
                               const publish_limits& limits) {
    publish_steps steps{wanted};
    int failures = 0;
    while (!steps.is_done()) {
        if (!steps.step(kept)) {
            continue;
        }
        ++failures;
        if (failures > limits.max_failures) {
            steps.give_up();
        } else if (limits.pause) {
            limits.pause(failures);
        }
    }
    return steps.outcome();
}

} // namespace cicadahatch::configuration
