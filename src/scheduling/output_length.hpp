#pragma once

#include <cstdint>

namespace cicadahatch::scheduling {

/// \brief Distribution of a stream's output length: log-normal, truncated at max_tokens.
struct length_estimate {
    double log_mean = 0; ///< mean of the natural logarithm of the tokens
    double log_deviation = 0;
    double max_tokens = 0; ///< zero: unknown
};

/// \brief Statistics of a service's finished streams: output lengths and the callers' estimates.
struct length_model {
    double observations = 0;
    double log_mean = 0; ///< of output tokens
    double log_variance = 0.25;
    double hint_log_mean = 0; ///< of output tokens over the caller's estimate
    double hint_log_variance = 0.25;
};

/// \brief Updates the model with a finished stream.
/// \param hint the caller's estimate, in tokens; zero: none
void observe(length_model& model, std::uint32_t output_tokens, std::uint32_t hint);

/// \returns the estimate from the service's model combined with the caller's estimate
/// \param hint the caller's estimate, in tokens; zero: none
/// \param max_tokens maximum output, in tokens
[[nodiscard]] length_estimate estimate(const length_model& model, std::uint32_t hint,
                                       std::uint32_t max_tokens);

/// \returns the probability that a stream's output exceeds \p threshold tokens, given that it
/// has reached \p produced tokens
[[nodiscard]] double survival(const length_estimate& length, double produced, double threshold);

/// \returns the expected output, in tokens
[[nodiscard]] double mean(const length_estimate& length);

} // namespace cicadahatch::scheduling
