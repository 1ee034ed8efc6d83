#include "src/scheduling/cell_policy.hpp"

#include <algorithm>

namespace cicadahatch::scheduling {

namespace {

constexpr double usable_retention_at_one = 0.5;
constexpr double reserve_per_weight = 0.02;
constexpr double max_reserve = 0.1;
constexpr double floor_margin_per_weight = 0.05;
constexpr double target_margin_at_one = 0.1;
constexpr double min_margin = 0.05;
constexpr double max_margin = 0.9;
constexpr double max_target_margin = 0.3;

} // namespace

cell_policy weighted_policy(const policy_weights& weights, cell_policy base) {
    cell_policy policy = base;
    policy.usable_retention =
        std::clamp(usable_retention_at_one / std::max(weights.wasted_prefill, min_margin),
                   min_margin, max_margin);
    policy.urgent_reserve =
        std::clamp(reserve_per_weight * (weights.urgent_service - 1), 0.0, max_reserve);
    policy.floor_margin = 1 + floor_margin_per_weight * std::max(weights.rest_in_flood - 1, 0.0);
    policy.target_margin = std::clamp(target_margin_at_one / std::max(weights.goodput, min_margin),
                                      min_margin, max_target_margin);
    return policy;
}

policy_weights association_weights() {
    return {.goodput = 2, .wasted_prefill = 2, .urgent_service = 1, .rest_in_flood = 1};
}

policy_weights utility_weights() {
    return {.goodput = 1, .wasted_prefill = 1, .urgent_service = 2, .rest_in_flood = 2};
}

} // namespace cicadahatch::scheduling
