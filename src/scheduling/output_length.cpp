#include "src/scheduling/output_length.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahatch::scheduling {

namespace {

/// Minimum weight of a new observation: an average over the last hundred streams, about ten seconds
/// of a small service.
constexpr double min_weight = 0.01;

/// Lower bound of the standard deviation, so that a few equal outputs don't fill an engine to its
/// last token.
constexpr double min_deviation = 0.05;

/// Output assumed before any stream has ended, as a fraction of the maximum.
constexpr double assumed_fraction = 0.5;

double tail_probability(const length_estimate& length, double tokens) {
    if (tokens >= length.max_tokens) {
        return 0;
    }
    if (tokens < 1) {
        return 1;
    }
    const double distance = (std::log(tokens) - length.log_mean) / length.log_deviation;
    return std::erfc(distance / std::sqrt(2.0)) / 2;
}

void update_average(double& mean, double& variance, double value, double weight) {
    const double difference = value - mean;
    mean += weight * difference;
    variance = (1 - weight) * (variance + weight * difference * difference);
}

} // namespace

void observe(length_model& model, std::uint32_t output_tokens, std::uint32_t hint) {
    if (output_tokens == 0) {
        return;
    }
    const double tokens = std::log(static_cast<double>(output_tokens));
    model.observations += 1;
    if (model.observations <= 1) {
        model.log_mean = tokens;
        return;
    }
    const double weight = std::max(min_weight, 1 / (model.observations + 1));
    update_average(model.log_mean, model.log_variance, tokens, weight);
    if (hint > 0) {
        const double ratio = tokens - std::log(static_cast<double>(hint));
        update_average(model.hint_log_mean, model.hint_log_variance, ratio, weight);
    }
}

length_estimate estimate(const length_model& model, std::uint32_t hint, std::uint32_t max_tokens) {
    length_estimate result;
    result.max_tokens = max_tokens;
    const double assumed = std::log(std::max(1.0, max_tokens * assumed_fraction));
    result.log_mean = model.observations > 0 ? model.log_mean : assumed;
    double variance = model.log_variance;
    if (hint > 0) {
        // Inverse-variance weighted mean of two independent estimates.
        const double by_hint = std::log(static_cast<double>(hint)) + model.hint_log_mean;
        const double both = model.log_variance + model.hint_log_variance;
        result.log_mean =
            (result.log_mean * model.hint_log_variance + by_hint * model.log_variance) /
            std::max(both, min_deviation * min_deviation);
        variance = model.log_variance * model.hint_log_variance / std::max(both, 1e-9);
    }
    result.log_deviation = std::max(min_deviation, std::sqrt(variance));
    return result;
}

double survival(const length_estimate& length, double produced, double threshold) {
    if (threshold <= produced) {
        return 1;
    }
    const double reach_probability = tail_probability(length, produced);
    // Beyond the expected range the remaining output is taken as uniform up to the maximum.
    constexpr double min_probability = 1e-3;
    if (reach_probability < min_probability) {
        return threshold < length.max_tokens
                   ? (length.max_tokens - threshold) / std::max(1.0, length.max_tokens - produced)
                   : 0;
    }
    return tail_probability(length, threshold) / reach_probability;
}

double mean(const length_estimate& length) {
    const double untruncated =
        std::exp(length.log_mean + length.log_deviation * length.log_deviation / 2);
    return std::min(untruncated, length.max_tokens);
}

} // namespace cicadahatch::scheduling
