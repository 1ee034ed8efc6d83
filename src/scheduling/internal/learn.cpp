#include "src/scheduling/internal/learn.hpp"

#include "src/scheduling/internal/cache_view.hpp"
#include "src/scheduling/internal/prediction.hpp"

#include <algorithm>

namespace cicadahatch::scheduling::internal {

namespace {

constexpr double min_scale = 0.2;
constexpr double max_scale = 20;
constexpr double min_observed_seconds = 1e-4;

/// Moves the scale towards one observation by a bounded weight, to limit the effect of outliers.
void correct_scale(double& scale, double observed, double predicted) {
    if (observed < min_observed_seconds || predicted < min_observed_seconds) {
        return;
    }
    const double target = scale * observed / predicted;
    scale += observation_weight * (target - scale);
    scale = std::clamp(scale, min_scale, max_scale);
}

} // namespace

void observe_prefill(cell_state& state, const live_grant& held, std::uint32_t cached_tokens,
                     time_point now) {
    engine* instance = state.engines.find(held.issued.prefill);
    if (instance == nullptr) {
        return;
    }
    const std::uint32_t expected = held.issued.expected_cached_tokens;
    if (cached_tokens + held.block_tokens <= expected) {
        correct_cached(*instance, held, cached_tokens);
        return;
    }
    const double observed = to_seconds(now - held.prefill_begins);
    correct_scale(instance->prefill_scale, observed, held.prefill_seconds);
}

void observe_stream(cell_state& state, const live_grant& held, std::uint32_t output_tokens,
                    time_point now) {
    if (output_tokens < 2 || held.stage != stage::decode) {
        return;
    }
    engine* instance = state.engines.find(held.issued.decode);
    if (instance != nullptr) {
        const double observed = to_seconds(now - held.decode_began) / (output_tokens - 1);
        correct_scale(instance->step_scale, observed, step_seconds(*instance, instance->streams));
    }
    if (held.output.max_tokens > 0) {
        observe(state.lengths[held.service], output_tokens, held.output_hint);
        return; // The length model replaces the scale.
    }
    double& scale = state.output_scale.try_emplace(held.service, 1.0).first->second;
    const double expected = std::max<std::uint32_t>(held.expected_output_tokens, 1);
    scale += observation_weight * (output_tokens / expected - scale);
    scale = std::clamp(scale, min_scale, max_scale);
}

} // namespace cicadahatch::scheduling::internal
