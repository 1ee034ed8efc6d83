#pragma once

#include "src/routing/route.hpp"

#include <cstdint>

namespace cicadahatch::usage {

/// \brief What a request states about its size.
struct request_size {
    bool states_tokens = false;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
};

/// \returns the units by which a request counts toward its team's cap
[[nodiscard]] std::uint64_t units_of(const routing::usage_cap& cap, const request_size& size);

} // namespace cicadahatch::usage
