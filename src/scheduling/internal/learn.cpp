#include "src/scheduling/internal/learn.hpp"

#include "src/scheduling/internal/cache_view.hpp"
#include "src/scheduling/internal/prediction.hpp"

#include <algorithm>

namespace cicadahatch::scheduling::internal {

namespace {

constexpr double smallest_scale = 0.2;
constexpr double largest_scale = 20;
constexpr double shortest_observed_seconds = 1e-4;

/// One observation moves the scale by a bounded part, so that an outlier does little.
void correct(double& scale, double observed, double predicted) {
    if (observed < shortest_observed_seconds || predicted < shortest_observed_seconds) {
        return;
    }
    const double wanted = scale * observed / predicted;
    scale += observation_weight * (wanted - scale);
    scale = std::clamp(scale, smallest_scale, largest_scale);
}

} // namespace

void learn_prefill(cell_state& state, const live_grant& held, std::uint32_t cached_tokens,
                   time_point now) {
    engine* on = state.engines.find(held.issued.prefill);
    if (on == nullptr) {
        return;
    }
    const std::uint32_t expected = held.issued.expected_cached_tokens;
    if (cached_tokens + held.block_tokens <= expected) {
        correct_cached(*on, held, cached_tokens);
        return;
    }
    const double observed = to_seconds(now - held.prefill_begins);
    correct(on->prefill_scale, observed, held.prefill_seconds);
}

void learn_stream(cell_state& state, const live_grant& held, std::uint32_t output_tokens,
                  time_point now) {
    if (output_tokens < 2 || held.stage != stage::decode) {
        return;
    }
    engine* on = state.engines.find(held.issued.decode);
    if (on != nullptr) {
        const double observed = to_seconds(now - held.decode_began) / (output_tokens - 1);
        correct(on->step_scale, observed, step_seconds(*on, on->streams));
    }
    if (held.output.max_tokens > 0) {
        observe(state.lengths[held.service], output_tokens, held.output_hint);
        return; // The estimate of the length takes the place of a scale.
    }
    double& scale = state.output_scale.try_emplace(held.service, 1.0).first->second;
    const double expected = std::max<std::uint32_t>(held.expected_output_tokens, 1);
    scale += observation_weight * (output_tokens / expected - scale);
    scale = std::clamp(scale, smallest_scale, largest_scale);
}

} // namespace cicadahatch::scheduling::internal
