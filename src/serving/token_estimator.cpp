#include "src/serving/token_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahatch::serving {

namespace {

constexpr double initial_bytes_per_token = 4.0;
/// Weight of one observation in the moving average.
constexpr double observation_weight = 0.05;

} // namespace

std::uint32_t token_estimator::tokens(const model_id& model, std::size_t bytes) const {
    const std::lock_guard lock{mutex_};
    const auto known = bytes_per_token_.find(model);
    const double ratio = known == bytes_per_token_.end() ? initial_bytes_per_token : known->second;
    return static_cast<std::uint32_t>(std::max(1.0, std::ceil(static_cast<double>(bytes) / ratio)));
}

void token_estimator::observe(const model_id& model, std::size_t bytes, std::uint32_t tokens) {
    if (tokens == 0 || bytes == 0) {
        return;
    }
    const double seen = static_cast<double>(bytes) / tokens;
    const std::lock_guard lock{mutex_};
    const auto [known, is_new] = bytes_per_token_.emplace(model, seen);
    if (!is_new) {
        known->second += observation_weight * (seen - known->second);
    }
}

} // namespace cicadahatch::serving
