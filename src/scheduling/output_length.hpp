#pragma once

#include <cstdint>

namespace cicadahatch::scheduling {

/// \brief What is expected of a stream's output: log-normal, cut off at the most it may make.
struct length_estimate {
    double log_mean = 0; ///< of the natural logarithm of the tokens
    double log_deviation = 0;
    double max_tokens = 0; ///< zero: nothing is known
};

/// \brief What the finished streams of a service tell of outputs and of the callers' estimates.
struct length_model {
    double observations = 0;
    double log_mean = 0; ///< of outputs
    double log_variance = 0.25;
    double hint_log_mean = 0; ///< of output over the caller's estimate
    double hint_log_variance = 0.25;
};

/// \brief Takes in a finished stream.
/// \param hint the caller's estimate, in tokens; zero: none
void observe(length_model& model, std::uint32_t output_tokens, std::uint32_t hint);

/// \returns what to expect of a stream, from the service's streams and the caller's estimate
/// \param hint in tokens; zero: none
[[nodiscard]] length_estimate estimate(const length_model& model, std::uint32_t hint,
                                       std::uint32_t most);

/// \returns the probability that a stream that has made some tokens makes more than others
[[nodiscard]] double survival(const length_estimate& of, double made, double beyond);

/// \returns the expected output, in tokens
[[nodiscard]] double mean(const length_estimate& of);

} // namespace cicadahatch::scheduling
