#include "src/serving/order_cell.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahatch::serving {

namespace {

/// \brief Engine resources added up over a pool.
struct pool_sum {
    double used = 0;
    double total = 0;
};

/// Requests that wait while a prefill engine is idle are held back by the decode pool.
void add_waiting(double waiting, pool_sum& prefills, pool_sum& slots) {
    const bool is_prefill_idle = prefills.used < prefills.total;
    pool_sum& short_pool = is_prefill_idle ? slots : prefills;
    short_pool.used += waiting;
}

double part_of(const pool_sum& sum) {
    return sum.total > 0 ? std::min(1.0, sum.used / sum.total) : 0.0;
}

} // namespace

scheduling::pool_utilization measure_use(const scheduling::cell_state& state,
                                         const scheduling::cell_policy& policy) {
    pool_sum prefills;
    pool_sum slots;
    pool_sum pieces;
    for (const scheduling::engine& on : state.engines.rows()) {
        if (on.is_leaving || on.is_paused) {
            continue;
        }
        if (on.spec.role == backend_role::prefill) {
            prefills.used += on.prefills > 0 ? 1 : 0;
            prefills.total += 1;
            continue;
        }
        slots.used += on.streams + on.foreign_streams;
        slots.total += on.spec.slots - std::ceil(policy.urgent_reserve * on.spec.slots);
        pieces.used += on.reserved_pieces + on.foreign_pieces;
        pieces.total += on.spec.pieces;
    }
    add_waiting(static_cast<double>(state.waiting.size()), prefills, slots);
    return {part_of(prefills), std::max(part_of(slots), part_of(pieces))};
}

} // namespace cicadahatch::serving
