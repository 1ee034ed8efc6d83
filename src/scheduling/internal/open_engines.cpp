#include "src/scheduling/internal/open_engines.hpp"

#include "src/scheduling/internal/engine_health.hpp"
#include "src/scheduling/internal/prediction.hpp"

#include <algorithm>
#include <functional>

namespace cicadahatch::scheduling::internal {

namespace {

std::uint32_t used_slots(const engine& on) noexcept {
    return on.streams + on.foreign_streams;
}

double fullness(const engine& on) noexcept {
    return used_slots(on) / static_cast<double>(on.spec.slots);
}

bool has_free_slot(const engine& on) noexcept {
    return takes_work(on) && used_slots(on) < on.spec.slots;
}

/// An engine runs one prefill and has at most a next one.
bool may_be_free(const engine& on, time_point latest) noexcept {
    const bool is_free = on.prefills == 0 || (on.prefills == 1 && on.prefill_free_at <= latest);
    return is_free && on.foreign_prefill_until <= latest;
}

open_prefill look_at(const engine& on, std::size_t row) {
    open_prefill seen;
    seen.row = row;
    seen.begins = on.foreign_prefill_until;
    if (on.prefills > 0) {
        seen.begins = std::max(seen.begins, on.prefill_free_at);
    }
    seen.own_until = on.prefill_free_at;
    seen.count = on.prefills;
    seen.has_cache = !on.cached.empty();
    seen.overhead_seconds = to_seconds(on.spec.prefill_overhead);
    seen.tokens_per_second = on.spec.prefill_tokens_per_second;
    seen.scale = on.prefill_scale;
    return seen;
}

void add(open_engines& open, const engine& on, std::size_t row, time_point latest) {
    if (on.spec.role != backend_role::prefill) {
        if (has_free_slot(on)) {
            open.decodes.push_back({fullness(on), row});
        }
        return;
    }
    if (!takes_work(on)) {
        return;
    }
    open.prefill_pool.push_back(row);
    if (is_prefill_capable(on) && may_be_free(on, latest)) {
        open.free_prefills.push_back(look_at(on, row));
    }
}

} // namespace

open_engines find_open_engines(const cell_state& state, const cell_policy& policy, time_point now) {
    open_engines open;
    const time_point latest = now + std::max(policy.grant_lookahead, policy.affinity_wait);
    const auto& engines = state.engines.rows();
    for (std::size_t row = 0; row < engines.size(); ++row) {
        add(open, engines[row], row, latest);
    }
    std::make_heap(open.decodes.begin(), open.decodes.end(), std::greater<>{});
    return open;
}

std::optional<open_decode> take_least_full(const cell_state& state, open_engines& open) {
    while (!open.decodes.empty()) {
        std::pop_heap(open.decodes.begin(), open.decodes.end(), std::greater<>{});
        open_decode taken = open.decodes.back();
        open.decodes.pop_back();
        const engine& on = state.engines.rows()[taken.row];
        if (!has_free_slot(on)) {
            continue;
        }
        const double now_used = fullness(on);
        if (now_used <= taken.fullness) {
            return taken;
        }
        taken.fullness = now_used;
        put_back(open, {taken});
    }
    return std::nullopt;
}

void put_back(open_engines& open, const std::vector<open_decode>& taken) {
    for (const open_decode& returned : taken) {
        open.decodes.push_back(returned);
        std::push_heap(open.decodes.begin(), open.decodes.end(), std::greater<>{});
    }
}

void note_reserved(open_engines& open, const cell_state& state, const backend_id& prefill) {
    const engine* on = state.engines.find(prefill);
    if (on == nullptr) {
        return;
    }
    const auto row = static_cast<std::size_t>(on - state.engines.rows().data());
    const auto known = std::find_if(open.free_prefills.begin(), open.free_prefills.end(),
                                    [&](const open_prefill& seen) { return seen.row == row; });
    if (known == open.free_prefills.end()) {
        return;
    }
    if (is_prefill_capable(*on)) {
        *known = look_at(*on, row);
    } else {
        open.free_prefills.erase(known);
    }
}

bool is_prefill_capable(const engine& on) noexcept {
    return on.spec.prefill_tokens_per_second > 0 && takes_work(on);
}

} // namespace cicadahatch::scheduling::internal
