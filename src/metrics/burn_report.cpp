#include "src/metrics/burn_report.hpp"

#include "src/metrics/constants.hpp"

#include <algorithm>
#include <tuple>

namespace cicadahatch::metrics {

namespace {

double share_of(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

burn_window burn_over(duration length, const window_count& counted, double objective) {
    // An objective of 1 has no budget; the smallest budget keeps the rate finite.
    constexpr double smallest_budget = 1e-6;
    const double missed = share_of(counted.requests - counted.good, counted.requests);
    return {length, counted, missed / std::max(1.0 - objective, smallest_budget)};
}

burn_line line_of(const burn_objective& objective, const series_snapshot& series) {
    burn_line line;
    line.objective = objective;
    line.short_window = burn_over(short_window, series.short_window, objective.objective);
    line.long_window = burn_over(long_window, series.long_window, objective.objective);
    line.budget_left = 1.0 - line.long_window.rate;
    line.first_token = quantile(series.first_token, objective.objective);
    line.between_tokens = quantile(series.between_tokens, objective.objective);
    line.wasted_prefill = share_of(series.wasted_prefill_tokens, series.prefill_tokens);
    line.refused = series.refused;
    return line;
}

bool is_same(const burn_objective& objective, const series_snapshot& series) {
    return objective.service == series.service && objective.work_rank == series.work_rank;
}

bool is_before(const burn_line& left, const burn_line& right) {
    return std::tie(left.objective.service, left.objective.work_rank) <
           std::tie(right.objective.service, right.objective.work_rank);
}

} // namespace

burn_report make_burn_report(const snapshot& taken, const std::vector<burn_objective>& objectives,
                             wall_time now) {
    burn_report report;
    report.made = now;
    report.daemons = taken.daemons;
    for (const burn_objective& objective : objectives) {
        const auto found =
            std::find_if(taken.series.begin(), taken.series.end(),
                         [&](const series_snapshot& each) { return is_same(objective, each); });
        const bool is_recorded = found != taken.series.end();
        report.lines.push_back(line_of(objective, is_recorded ? *found : series_snapshot{}));
    }
    for (const series_snapshot& series : taken.series) {
        const bool has_objective =
            std::any_of(objectives.begin(), objectives.end(),
                        [&](const burn_objective& each) { return is_same(each, series); });
        if (!has_objective) {
            burn_objective fallback;
            fallback.service = series.service;
            fallback.work_rank = series.work_rank;
            report.lines.push_back(line_of(fallback, series));
        }
    }
    std::stable_sort(report.lines.begin(), report.lines.end(), is_before);
    return report;
}

} // namespace cicadahatch::metrics
