#include "src/scheduling/internal/engine_pace.hpp"

#include <algorithm>

namespace cicadahatch::scheduling::internal {

void begin_slow_start(engine& instance) noexcept {
    instance.max_starts = instance.spec.initial_starts;
}

bool may_start_stream(const engine& instance) noexcept {
    const std::uint32_t starting = instance.streams - std::min(instance.decoding, instance.streams);
    return instance.max_starts == 0 || starting < instance.max_starts;
}

void record_first_token(engine& instance) noexcept {
    instance.max_starts =
        instance.max_starts * 2 >= instance.spec.slots ? 0 : instance.max_starts * 2;
}

void record_failed_start(engine& instance) noexcept {
    if (instance.max_starts > 0) {
        instance.max_starts = std::max(1U, instance.max_starts / 2);
    }
}

} // namespace cicadahatch::scheduling::internal
