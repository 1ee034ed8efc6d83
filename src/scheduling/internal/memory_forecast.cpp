#include "src/scheduling/internal/memory_forecast.hpp"

#include "src/scheduling/internal/prediction.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahatch::scheduling::internal {

namespace {

/// Lower bound of a predicted step, in seconds; shorter steps are prediction errors.
constexpr double min_step = 1e-6;

/// Number of forecast steps; the last step ends with the longest stream.
constexpr int horizon_steps = 10;

/// Memory use of independent streams at one time, in tokens.
struct memory_usage {
    double mean = 0;
    double variance = 0;
    double max_tokens = 0; ///< if every stream reaches its maximum output
};

memory_usage usage_at(const std::vector<stream_forecast>& streams, double rate,
                      double seconds_ahead) {
    memory_usage sum;
    for (const stream_forecast& stream : streams) {
        const double growth = std::max(0.0, seconds_ahead - stream.delay_seconds) * rate;
        const double survival_probability =
            survival(stream.output, stream.output_tokens, stream.output_tokens + growth);
        const double memory_tokens = stream.memory_tokens + growth;
        sum.max_tokens += survival_probability > 0 ? memory_tokens : 0;
        sum.mean += survival_probability * memory_tokens;
        sum.variance +=
            survival_probability * (1 - survival_probability) * memory_tokens * memory_tokens;
    }
    return sum;
}

double longest_remaining_seconds(const std::vector<stream_forecast>& streams, double rate) {
    double longest = 0;
    for (const stream_forecast& stream : streams) {
        const double remaining = std::max(0.0, stream.output.max_tokens - stream.output_tokens);
        longest = std::max(longest, stream.delay_seconds + remaining / rate);
    }
    return longest;
}

stream_forecast forecast_stream(const live_grant& held, double rate, time_point now) {
    stream_forecast stream;
    const bool is_decoding = held.stage == stage::decode;
    const double since = is_decoding ? to_seconds(now - held.decode_began) : 0;
    stream.output_tokens = std::min(since * rate, std::max(0.0, held.output.max_tokens - 1));
    stream.memory_tokens = held.prompt_tokens + stream.output_tokens;
    stream.delay_seconds = is_decoding ? 0 : held.prefill_seconds;
    stream.output = held.output;
    return stream;
}

} // namespace

bool fits(const std::vector<stream_forecast>& streams, double capacity, double rate,
          double confidence) {
    const double step = longest_remaining_seconds(streams, rate) / horizon_steps;
    for (int step_number = 0; step_number <= horizon_steps; ++step_number) {
        const memory_usage usage = usage_at(streams, rate, step * step_number);
        const double upper_bound = usage.mean + confidence * std::sqrt(usage.variance);
        if (std::min(upper_bound, usage.max_tokens) > capacity) {
            return false;
        }
    }
    return true;
}

double own_tokens_at(const cell_state& state, const engine& instance, time_point at) {
    const double rate = 1 / std::max(min_step, step_seconds(instance, instance.streams));
    double tokens = 0;
    for (const request_id& holder : instance.slot_holders) {
        const live_grant* held = state.grants.find(holder);
        if (held != nullptr && held->stage == stage::decode && held->decode_began <= at) {
            tokens += forecast_stream(*held, rate, at).memory_tokens;
        }
    }
    const auto ended_since = std::count_if(instance.recent_ends.begin(), instance.recent_ends.end(),
                                           [at](time_point ended) { return ended > at; });
    const double each = state.capacity.mean_prompt_tokens + state.capacity.mean_output_tokens;
    return tokens + each * static_cast<double>(ended_since);
}

namespace {

/// Adds streams of other homes as typical streams halfway through their output.
void add_foreign(const cell_state& state, const engine& instance, const service_id& service,
                 std::uint32_t max_tokens, std::vector<stream_forecast>& streams) {
    if (instance.foreign_streams == 0 || instance.foreign_tokens <= 0) {
        return;
    }
    const auto known = state.lengths.find(service);
    const length_model model = known == state.lengths.end() ? length_model{} : known->second;
    stream_forecast typical;
    typical.output = estimate(model, 0, max_tokens);
    typical.output_tokens = mean(typical.output) / 2;
    typical.memory_tokens = instance.foreign_tokens / instance.foreign_streams;
    streams.insert(streams.end(), instance.foreign_streams, typical);
}

} // namespace

bool fits_in_memory(const cell_state& state, const cell_policy& policy, const engine& instance,
                    const waiting_request& request, bool may_use_reserve, time_point now) {
    const double rate = 1 / std::max(min_step, step_seconds(instance, instance.streams + 1));
    std::vector<stream_forecast> streams;
    streams.reserve(instance.slot_holders.size() + 1);
    for (const request_id& holder : instance.slot_holders) {
        if (const live_grant* held = state.grants.find(holder)) {
            streams.push_back(forecast_stream(*held, rate, now));
        }
    }
    stream_forecast added;
    added.memory_tokens = request.spec.prompt_tokens;
    added.delay_seconds = request.prefill_seconds;
    added.output = request.output;
    streams.push_back(added);
    add_foreign(state, instance, request.spec.service, request.spec.max_output_tokens, streams);
    const double fraction = may_use_reserve ? 1 : 1 - policy.urgent_reserve;
    const double capacity =
        fraction * static_cast<double>(instance.spec.pieces) * instance.spec.piece_tokens;
    // On average each stream leaves half of its last piece unused.
    const double unused = static_cast<double>(streams.size()) * instance.spec.piece_tokens / 2;
    return fits(streams, capacity - unused, rate, policy.memory_confidence);
}

} // namespace cicadahatch::scheduling::internal
