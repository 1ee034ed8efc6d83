#include "src/scheduling/output_length.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahatch::scheduling {

namespace {

/// Weight of a new observation once there are as many as its reciprocal: the lengths of the last
/// hundred streams count, about ten seconds of a small service.
constexpr double least_weight = 0.01;

/// Estimates are never taken for more certain than this, so that a few equal outputs don't fill
/// an engine to its last token.
constexpr double least_deviation = 0.05;

/// Output assumed before any stream has ended, as a part of the most it may make.
constexpr double assumed_part = 0.5;

double above(const length_estimate& of, double tokens) {
    if (tokens >= of.max_tokens) {
        return 0;
    }
    if (tokens < 1) {
        return 1;
    }
    const double distance = (std::log(tokens) - of.log_mean) / of.log_deviation;
    return std::erfc(distance / std::sqrt(2.0)) / 2;
}

void average_in(double& mean, double& variance, double value, double weight) {
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
    const double weight = std::max(least_weight, 1 / (model.observations + 1));
    average_in(model.log_mean, model.log_variance, tokens, weight);
    if (hint > 0) {
        const double ratio = tokens - std::log(static_cast<double>(hint));
        average_in(model.hint_log_mean, model.hint_log_variance, ratio, weight);
    }
}

length_estimate estimate(const length_model& model, std::uint32_t hint, std::uint32_t most) {
    length_estimate made;
    made.max_tokens = most;
    const double assumed = std::log(std::max(1.0, most * assumed_part));
    made.log_mean = model.observations > 0 ? model.log_mean : assumed;
    double variance = model.log_variance;
    if (hint > 0) {
        // The mean of two independent estimates, each weighted by the inverse of its variance.
        const double by_hint = std::log(static_cast<double>(hint)) + model.hint_log_mean;
        const double both = model.log_variance + model.hint_log_variance;
        made.log_mean = (made.log_mean * model.hint_log_variance + by_hint * model.log_variance) /
                        std::max(both, least_deviation * least_deviation);
        variance = model.log_variance * model.hint_log_variance / std::max(both, 1e-9);
    }
    made.log_deviation = std::max(least_deviation, std::sqrt(variance));
    return made;
}

double survival(const length_estimate& of, double made, double beyond) {
    if (beyond <= made) {
        return 1;
    }
    const double reached = above(of, made);
    // A stream that was not expected to come this far may go on to the most it may make.
    constexpr double hardly = 1e-3;
    if (reached < hardly) {
        return beyond < of.max_tokens
                   ? (of.max_tokens - beyond) / std::max(1.0, of.max_tokens - made)
                   : 0;
    }
    return above(of, beyond) / reached;
}

double mean(const length_estimate& of) {
    const double uncut = std::exp(of.log_mean + of.log_deviation * of.log_deviation / 2);
    return std::min(uncut, of.max_tokens);
}

} // namespace cicadahatch::scheduling
