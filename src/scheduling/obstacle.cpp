#include "src/scheduling/obstacle.hpp"

namespace cicadahatch::scheduling {

const char* to_string(obstacle blocked_by) noexcept {
    switch (blocked_by) {
    case obstacle::none:
        return "none";
    case obstacle::prefill_busy:
        return "prefill_busy";
    case obstacle::slots_full:
        return "slots_full";
    case obstacle::memory_full:
        return "memory_full";
    case obstacle::link_busy:
        return "link_busy";
    }
    return "none";
}

} // namespace cicadahatch::scheduling
