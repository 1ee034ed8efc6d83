#include "src/scheduling/internal/engine_health.hpp"

#include "src/scheduling/internal/engine_pace.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace cicadahatch::scheduling::internal {

namespace {

constexpr std::uint32_t max_backoff_exponent = 10;

/// Whether decode engines can do all prefills, as when a partition separates the prefill engines.
bool can_decode_engines_prefill(const cell_state& state) {
    const auto& engines = state.engines.rows();
    return std::any_of(engines.begin(), engines.end(), [](const engine& instance) {
        return instance.spec.role == backend_role::decode && takes_work(instance) &&
               instance.spec.prefill_tokens_per_second > 0;
    });
}

/// Limits the ejected fraction of a role, so that a common cause doesn't become an outage. A role's
/// only engine may be ejected, because another cell serves better than an engine that fails every
/// request. All prefill engines may be ejected if decode engines can do their work.
bool may_eject(const cell_state& state, const cell_policy& policy, backend_role role) {
    if (role == backend_role::prefill && can_decode_engines_prefill(state)) {
        return true;
    }
    std::size_t all = 0;
    std::size_t ejected = 0;
    for (const engine& other : state.engines.rows()) {
        if (other.spec.role == role && !other.is_leaving) {
            ++all;
            ejected += other.health == health::healthy ? 0U : 1U;
        }
    }
    const auto share =
        static_cast<std::size_t>(std::floor(policy.max_ejected_share * static_cast<double>(all)));
    return ejected < std::max<std::size_t>(share, 1);
}

void eject(engine& instance, const cell_policy& policy, time_point now) {
    const std::uint32_t exponent = std::min(instance.ejections_in_row, max_backoff_exponent);
    const duration wait = policy.base_ejection_time * (1U << exponent);
    instance.health = health::ejected;
    instance.ejected_until = now + std::min(wait, policy.max_ejection_time);
    instance.failures_in_row = 0;
    ++instance.ejections_in_row;
}

double slowness(const engine& instance) noexcept {
    return instance.spec.role == backend_role::prefill ? instance.prefill_scale
                                                       : instance.step_scale;
}

double median_slowness(const cell_state& state, backend_role role) {
    std::vector<double> all;
    for (const engine& instance : state.engines.rows()) {
        if (instance.spec.role == role && !instance.is_leaving) {
            all.push_back(slowness(instance));
        }
    }
    if (all.empty()) {
        return 1;
    }
    // Takes the lower of two middle values, so that one slow engine of two is detected.
    const auto middle = all.begin() + static_cast<std::ptrdiff_t>((all.size() - 1) / 2);
    std::nth_element(all.begin(), middle, all.end());
    return *middle;
}

/// Range of the slowness of a role's engines.
struct slowness_range {
    double min = std::numeric_limits<double>::max();
    double max = 0;
};

/// \returns whether any engine can exceed the median by the policy's factor
bool may_have_outlier(const slowness_range& range, const cell_policy& policy) {
    return range.max > range.min * policy.slow_factor;
}

void widen(slowness_range& range, const engine& instance) {
    range.min = std::min(range.min, slowness(instance));
    range.max = std::max(range.max, slowness(instance));
}

void eject_slow(cell_state& state, const cell_policy& policy, backend_role role, time_point now) {
    const double limit = median_slowness(state, role) * policy.slow_factor;
    for (engine& instance : state.engines.rows()) {
        const bool is_slow =
            instance.spec.role == role && takes_work(instance) && slowness(instance) > limit;
        if (is_slow && may_eject(state, policy, role)) {
            eject(instance, policy, now);
            // The probe after the ejection starts with fresh corrections.
            instance.prefill_scale = 1;
            instance.step_scale = 1;
        }
    }
}

bool has_alternative(const cell_state& state, const engine& instance) {
    const auto& engines = state.engines.rows();
    return std::any_of(engines.begin(), engines.end(), [&](const engine& other) {
        return other.id != instance.id && other.spec.role == instance.spec.role &&
               takes_work(other);
    });
}

void end_hold(engine& instance, const cell_policy& policy, time_point now) {
    if (instance.is_held_back && now - instance.failed_at >= policy.max_hold_time) {
        instance.is_held_back = false;
    }
}

} // namespace

bool takes_work(const engine& instance) noexcept {
    if (instance.is_leaving || instance.is_paused || instance.is_held_back ||
        instance.health == health::ejected) {
        return false;
    }
    return instance.health == health::healthy || instance.prefills + instance.streams == 0;
}

void record_failure(cell_state& state, const cell_policy& policy, const backend_id& backend,
                    time_point now) {
    engine* instance = state.engines.find(backend);
    if (instance == nullptr || instance->health == health::ejected) {
        return;
    }
    ++instance->failures_in_row;
    record_failed_start(*instance);
    const bool has_failed_probe = instance->health == health::probing;
    if (has_failed_probe || (instance->failures_in_row >= policy.ejection_failures &&
                             may_eject(state, policy, instance->spec.role))) {
        eject(*instance, policy, now);
    }
}

void hold_back(cell_state& state, const backend_id& backend, time_point now) {
    engine* instance = state.engines.find(backend);
    if (instance == nullptr || !(instance->is_held_back || has_alternative(state, *instance))) {
        return;
    }
    instance->is_held_back = true;
    instance->failed_at = now;
}

void end_hold_after_report(engine& instance, time_point taken_at) noexcept {
    if (taken_at > instance.failed_at) {
        instance.is_held_back = false;
    }
}

void record_success(cell_state& state, const backend_id& backend) {
    engine* instance = state.engines.find(backend);
    if (instance == nullptr || instance->health == health::ejected) {
        return;
    }
    instance->failures_in_row = 0;
    if (instance->health == health::probing) {
        instance->health = health::healthy;
        instance->ejections_in_row = 0;
        begin_slow_start(*instance);
    }
}

void update_health(cell_state& state, const cell_policy& policy, time_point now) {
    slowness_range prefills;
    slowness_range decodes;
    for (engine& instance : state.engines.rows()) {
        end_hold(instance, policy, now);
        if (instance.health == health::ejected && now >= instance.ejected_until) {
            instance.health = health::probing;
        }
        if (!instance.is_leaving && instance.spec.role != backend_role::plain) {
            widen(instance.spec.role == backend_role::prefill ? prefills : decodes, instance);
        }
    }
    // Computes the medians only if an engine can be an outlier.
    if (may_have_outlier(prefills, policy)) {
        eject_slow(state, policy, backend_role::prefill, now);
    }
    if (may_have_outlier(decodes, policy)) {
        eject_slow(state, policy, backend_role::decode, now);
    }
}

} // namespace cicadahatch::scheduling::internal
