#include "src/metrics/request_recorder.hpp"

#include "src/metrics/constants.hpp"

namespace cicadahatch::metrics {

namespace {

constexpr const char* overflow_name = "other";

void count_refusal(series_snapshot& totals, const refusal_reason& reason) {
    const bool is_known = totals.refused.find(reason) != totals.refused.end();
    const bool has_room = totals.refused.size() < max_refusal_reasons;
    totals.refused[is_known || has_room ? reason : refusal_reason{overflow_name}] += 1;
}

void count(series_snapshot& totals, const request_observation& seen) {
    switch (seen.outcome) {
    case request_outcome::completed:
        ++totals.completed;
        break;
    case request_outcome::refused:
    case request_outcome::rejected:
        count_refusal(totals, seen.reason);
        break;
    case request_outcome::failed:
        ++totals.failed;
        break;
    case request_outcome::canceled:
        ++totals.canceled;
        break;
    }
    totals.prefill_tokens += seen.prefill_tokens;
    totals.wasted_prefill_tokens += seen.wasted_prefill_tokens;
    totals.output_tokens += seen.output_tokens;
    if (counts_for_objective(seen.outcome)) {
        ++totals.since_start.requests;
        totals.since_start.good += is_good(seen) ? 1 : 0;
    }
}

} // namespace

request_recorder::series& request_recorder::series_of(const service_id& service, rank work_rank) {
    const series_key key{service, work_rank};
    {
        const std::shared_lock lock{mutex_};
        const auto found = series_.find(key);
        if (found != series_.end()) {
            return *found->second;
        }
    }
    const std::unique_lock lock{mutex_};
    const bool has_room = series_.size() < max_series;
    const series_key stored{has_room ? service : service_id{overflow_name}, work_rank};
    std::unique_ptr<series>& place = series_[stored];
    if (!place) {
        place = std::make_unique<series>();
        place->totals.service = stored.first;
        place->totals.work_rank = work_rank;
    }
    return *place;
}

void request_recorder::record(const request_observation& seen) {
    series& into = series_of(seen.service, seen.work_rank);
    if (seen.outcome == request_outcome::completed) {
        into.first_token.record(seen.first_token);
    }
    if (seen.outcome == request_outcome::completed && seen.between_tokens > duration{0}) {
        into.between_tokens.record(seen.between_tokens);
    }
    if (counts_for_objective(seen.outcome)) {
        into.window.record(time_.now(), is_good(seen));
    }
    const std::lock_guard lock{into.mutex};
    count(into.totals, seen);
}

snapshot request_recorder::take_snapshot() const {
    const time_point now = time_.now();
    snapshot taken;
    const std::shared_lock lock{mutex_};
    for (const auto& [key, each] : series_) {
        series_snapshot copied;
        {
            const std::lock_guard series_lock{each->mutex};
            copied = each->totals;
        }
        copied.first_token = each->first_token.counts();
        copied.between_tokens = each->between_tokens.counts();
        copied.short_window = each->window.over(now, short_window);
        copied.long_window = each->window.over(now, long_window);
        taken.series.push_back(std::move(copied));
    }
    return taken;
}

} // namespace cicadahatch::metrics
