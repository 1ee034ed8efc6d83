#include "src/scheduling/internal/memory_forecast.hpp"

#include "src/scheduling/internal/prediction.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahatch::scheduling::internal {

namespace {

/// Steps shorter than this, in seconds, are errors of the prediction.
constexpr double shortest_step = 1e-6;

/// Moments looked at; the last one lies where the longest stream ends.
constexpr int horizon_steps = 10;

/// Sum of independent streams at one moment.
struct predicted_use {
    double mean = 0;
    double variance = 0;
    double most = 0; ///< if every stream goes on as long as it may
};

predicted_use use_at(const std::vector<growing_stream>& streams, double rate, double ahead) {
    predicted_use sum;
    for (const growing_stream& stream : streams) {
        const double grown = std::max(0.0, ahead - stream.delay) * rate;
        const double alive = survival(stream.output, stream.made, stream.made + grown);
        const double kept = stream.kept + grown;
        sum.most += alive > 0 ? kept : 0;
        sum.mean += alive * kept;
        sum.variance += alive * (1 - alive) * kept * kept;
    }
    return sum;
}

double longest_left(const std::vector<growing_stream>& streams, double rate) {
    double longest = 0;
    for (const growing_stream& stream : streams) {
        const double left = std::max(0.0, stream.output.max_tokens - stream.made);
        longest = std::max(longest, stream.delay + left / rate);
    }
    return longest;
}

growing_stream as_growing(const live_grant& held, double rate, time_point now) {
    growing_stream stream;
    const bool is_decoding = held.stage == stage::decode;
    const double since = is_decoding ? to_seconds(now - held.decode_began) : 0;
    stream.made = std::min(since * rate, std::max(0.0, held.output.max_tokens - 1));
    stream.kept = held.prompt_tokens + stream.made;
    stream.delay = is_decoding ? 0 : held.prefill_seconds;
    stream.output = held.output;
    return stream;
}

} // namespace

bool fits(const std::vector<growing_stream>& streams, double capacity, double rate,
          double confidence) {
    const double step = longest_left(streams, rate) / horizon_steps;
    for (int moment = 0; moment <= horizon_steps; ++moment) {
        const predicted_use use = use_at(streams, rate, step * moment);
        const double likely = use.mean + confidence * std::sqrt(use.variance);
        if (std::min(likely, use.most) > capacity) {
            return false;
        }
    }
    return true;
}

double own_tokens_at(const cell_state& state, const engine& on, time_point at) {
    const double rate = 1 / std::max(shortest_step, step_seconds(on, on.streams));
    double tokens = 0;
    for (const request_id& holder : on.holders) {
        const live_grant* held = state.grants.find(holder);
        if (held != nullptr && held->stage == stage::decode && held->decode_began <= at) {
            tokens += as_growing(*held, rate, at).kept;
        }
    }
    const auto ended_since = std::count_if(on.recent_ends.begin(), on.recent_ends.end(),
                                           [at](time_point ended) { return ended > at; });
    const double each = state.capacity.mean_prompt_tokens + state.capacity.mean_output_tokens;
    return tokens + each * static_cast<double>(ended_since);
}

namespace {

/// Streams of others are taken for ordinary ones in the middle of their output.
void add_foreign(const cell_state& state, const engine& on, const service_id& service,
                 std::uint32_t most, std::vector<growing_stream>& streams) {
    if (on.foreign_streams == 0 || on.foreign_tokens <= 0) {
        return;
    }
    const auto known = state.lengths.find(service);
    const length_model model = known == state.lengths.end() ? length_model{} : known->second;
    growing_stream typical;
    typical.output = estimate(model, 0, most);
    typical.made = mean(typical.output) / 2;
    typical.kept = on.foreign_tokens / on.foreign_streams;
    streams.insert(streams.end(), on.foreign_streams, typical);
}

} // namespace

bool has_room(const cell_state& state, const cell_policy& policy, const engine& on,
              const waiting_request& request, bool may_use_reserve, time_point now) {
    const double rate = 1 / std::max(shortest_step, step_seconds(on, on.streams + 1));
    std::vector<growing_stream> streams;
    streams.reserve(on.holders.size() + 1);
    for (const request_id& holder : on.holders) {
        if (const live_grant* held = state.grants.find(holder)) {
            streams.push_back(as_growing(*held, rate, now));
        }
    }
    growing_stream added;
    added.kept = request.spec.prompt_tokens;
    added.delay = request.prefill_seconds;
    added.output = request.output;
    streams.push_back(added);
    add_foreign(state, on, request.spec.service, request.spec.max_output_tokens, streams);
    const double part = may_use_reserve ? 1 : 1 - policy.urgent_reserve;
    const double capacity = part * static_cast<double>(on.spec.pieces) * on.spec.piece_tokens;
    // Each stream leaves half a piece unused on average.
    const double unused = static_cast<double>(streams.size()) * on.spec.piece_tokens / 2;
    return fits(streams, capacity - unused, rate, policy.memory_confidence);
}

} // namespace cicadahatch::scheduling::internal
