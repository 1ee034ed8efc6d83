#include "src/scheduling/internal/available_engines.hpp"

#include "src/scheduling/internal/engine_health.hpp"
#include "src/scheduling/internal/engine_pace.hpp"
#include "src/scheduling/internal/prediction.hpp"

#include <algorithm>
#include <functional>

namespace cicadahatch::scheduling::internal {

namespace {

std::uint32_t used_slots(const engine& instance) noexcept {
    return instance.streams + instance.foreign_streams;
}

double slot_utilization(const engine& instance) noexcept {
    return used_slots(instance) / static_cast<double>(instance.spec.slots);
}

bool has_free_slot(const engine& instance) noexcept {
    return takes_work(instance) && may_start_stream(instance) &&
           used_slots(instance) < instance.spec.slots;
}

/// An engine runs one prefill and queues at most one more.
bool is_free_by(const engine& instance, time_point latest) noexcept {
    const bool is_free =
        instance.prefills == 0 || (instance.prefills == 1 && instance.prefill_free_at <= latest);
    return is_free && instance.foreign_prefill_until <= latest;
}

prefill_candidate make_candidate(const engine& instance, std::size_t row) {
    prefill_candidate candidate;
    candidate.row = row;
    candidate.begins = instance.foreign_prefill_until;
    if (instance.prefills > 0) {
        candidate.begins = std::max(candidate.begins, instance.prefill_free_at);
    }
    candidate.own_prefills_end = instance.prefill_free_at;
    candidate.count = instance.prefills;
    candidate.has_cache = !instance.cached.empty();
    candidate.overhead_seconds = to_seconds(instance.spec.prefill_overhead);
    candidate.tokens_per_second = instance.spec.prefill_tokens_per_second;
    candidate.scale = instance.prefill_scale;
    return candidate;
}

void add_engine(available_engines& available, const engine& instance, std::size_t row,
                time_point latest) {
    if (instance.spec.role != backend_role::prefill) {
        if (has_free_slot(instance)) {
            available.decodes.push_back({slot_utilization(instance), row});
        }
        return;
    }
    if (!takes_work(instance)) {
        return;
    }
    available.prefill_pool.push_back(row);
    if (is_prefill_capable(instance) && is_free_by(instance, latest)) {
        available.free_prefills.push_back(make_candidate(instance, row));
    }
}

} // namespace

available_engines find_available_engines(const cell_state& state, const cell_policy& policy,
                                         time_point now) {
    available_engines available;
    const time_point latest = now + std::max(policy.grant_lookahead, policy.affinity_wait);
    const auto& engines = state.engines.rows();
    for (std::size_t row = 0; row < engines.size(); ++row) {
        add_engine(available, engines[row], row, latest);
    }
    std::make_heap(available.decodes.begin(), available.decodes.end(), std::greater<>{});
    return available;
}

std::optional<decode_candidate> take_least_full(const cell_state& state,
                                                available_engines& available) {
    while (!available.decodes.empty()) {
        std::pop_heap(available.decodes.begin(), available.decodes.end(), std::greater<>{});
        decode_candidate taken = available.decodes.back();
        available.decodes.pop_back();
        const engine& instance = state.engines.rows()[taken.row];
        if (!has_free_slot(instance)) {
            continue;
        }
        const double current = slot_utilization(instance);
        if (current <= taken.slot_utilization) {
            return taken;
        }
        taken.slot_utilization = current;
        put_back(available, {taken});
    }
    return std::nullopt;
}

void put_back(available_engines& available, const std::vector<decode_candidate>& taken) {
    for (const decode_candidate& returned : taken) {
        available.decodes.push_back(returned);
        std::push_heap(available.decodes.begin(), available.decodes.end(), std::greater<>{});
    }
}

void update_prefill_candidate(available_engines& available, const cell_state& state,
                              const backend_id& prefill) {
    const engine* instance = state.engines.find(prefill);
    if (instance == nullptr) {
        return;
    }
    const auto row = static_cast<std::size_t>(instance - state.engines.rows().data());
    const auto known =
        std::find_if(available.free_prefills.begin(), available.free_prefills.end(),
                     [&](const prefill_candidate& candidate) { return candidate.row == row; });
    if (known == available.free_prefills.end()) {
        return;
    }
    if (is_prefill_capable(*instance)) {
        *known = make_candidate(*instance, row);
    } else {
        available.free_prefills.erase(known);
    }
}

bool is_prefill_capable(const engine& instance) noexcept {
    return instance.spec.prefill_tokens_per_second > 0 && takes_work(instance);
}

} // namespace cicadahatch::scheduling::internal
