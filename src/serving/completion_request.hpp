#pragma once

#include "src/core/identifiers.hpp"
#include "src/serving/problem.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace cicadahatch::serving {

/// \brief The body of POST /v1/completions.
struct completion_request {
    service_id service; ///< the field "model" names the service
    std::string prompt;
    std::uint32_t max_tokens = 0; ///< zero: not stated
    bool is_streamed = false;
};

/// \brief Parses and checks a caller's body.
/// \returns the request, or a problem that names the faulty field
[[nodiscard]] tl::expected<completion_request, problem> parse_completion(std::string_view body);

/// \returns hashes of ever longer beginnings of the prompt, one for each block of
/// prefix_block_bytes
[[nodiscard]] std::vector<std::uint64_t> prefix_hashes(std::string_view prompt);

/// \param prompt_tokens estimated for the whole prompt
/// \returns the estimated tokens of prefix_block_bytes of a prompt, at least 1
[[nodiscard]] std::uint32_t tokens_of_block(std::string_view prompt, std::uint32_t prompt_tokens);

} // namespace cicadahatch::serving
