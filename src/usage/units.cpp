#include "src/usage/units.hpp"

namespace cicadahatch::usage {

std::uint64_t units_of(const routing::usage_cap& cap, const request_size& size) {
    if (!cap.counts_tokens) {
        return 1;
    }
    if (!size.states_tokens) {
        return cap.plain_tokens;
    }
    return std::uint64_t{size.prompt_tokens} + size.max_output_tokens;
}

} // namespace cicadahatch::usage
