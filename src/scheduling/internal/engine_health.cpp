#include "src/scheduling/internal/engine_health.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace cicadahatch::scheduling::internal {

namespace {

constexpr std::uint32_t largest_backoff_exponent = 10;

/// Whether the cell serves on without prefill engines, as behind a cut.
bool can_decode_engines_prefill(const cell_state& state) {
    const auto& engines = state.engines.rows();
    return std::any_of(engines.begin(), engines.end(), [](const engine& on) {
        return on.spec.role == backend_role::decode && takes_work(on) &&
               on.spec.prefill_tokens_per_second > 0;
    });
}

/// Ejecting more than a part of a role would turn a common cause into an outage. A role's only
/// engine may go: another cell serves better than one that fails every request. Prefill engines may
/// all go where decode engines can do their work.
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

void eject(engine& on, const cell_policy& policy, time_point now) {
    const std::uint32_t exponent = std::min(on.ejections_in_row, largest_backoff_exponent);
    const duration wait = policy.base_ejection_time * (1U << exponent);
    on.health = health::ejected;
    on.ejected_until = now + std::min(wait, policy.max_ejection_time);
    on.failures_in_row = 0;
    ++on.ejections_in_row;
}

double slowness(const engine& on) noexcept {
    return on.spec.role == backend_role::prefill ? on.prefill_scale : on.step_scale;
}

double median_slowness(const cell_state& state, backend_role role) {
    std::vector<double> all;
    for (const engine& on : state.engines.rows()) {
        if (on.spec.role == role && !on.is_leaving) {
            all.push_back(slowness(on));
        }
    }
    if (all.empty()) {
        return 1;
    }
    // The lower of two middle values, so that one slow engine of two is seen as slow.
    const auto middle = all.begin() + static_cast<std::ptrdiff_t>((all.size() - 1) / 2);
    std::nth_element(all.begin(), middle, all.end());
    return *middle;
}

/// The fastest and the slowest engine of a role.
struct slowness_range {
    double least = std::numeric_limits<double>::max();
    double most = 0;
};

/// \returns whether an engine may be slower than the median by the factor
bool may_be_slow(const slowness_range& of, const cell_policy& policy) {
    return of.most > of.least * policy.slow_factor;
}

void widen(slowness_range& seen, const engine& on) {
    seen.least = std::min(seen.least, slowness(on));
    seen.most = std::max(seen.most, slowness(on));
}

void eject_slow(cell_state& state, const cell_policy& policy, backend_role role, time_point now) {
    const double limit = median_slowness(state, role) * policy.slow_factor;
    for (engine& on : state.engines.rows()) {
        const bool is_slow = on.spec.role == role && takes_work(on) && slowness(on) > limit;
        if (is_slow && may_eject(state, policy, role)) {
            eject(on, policy, now);
            // The probe after the ejection is judged on its own.
            on.prefill_scale = 1;
            on.step_scale = 1;
        }
    }
}

bool has_other_open(const cell_state& state, const engine& on) {
    const auto& engines = state.engines.rows();
    return std::any_of(engines.begin(), engines.end(), [&](const engine& other) {
        return other.id != on.id && other.spec.role == on.spec.role && takes_work(other);
    });
}

void end_hold(engine& on, const cell_policy& policy, time_point now) {
    if (on.is_held_back && now - on.failed_at >= policy.max_hold_time) {
        on.is_held_back = false;
    }
}

} // namespace

bool takes_work(const engine& on) noexcept {
    if (on.is_leaving || on.is_paused || on.is_held_back || on.health == health::ejected) {
        return false;
    }
    return on.health == health::healthy || on.prefills + on.streams == 0;
}

void note_failure(cell_state& state, const cell_policy& policy, const backend_id& backend,
                  time_point now) {
    engine* on = state.engines.find(backend);
    if (on == nullptr || on->health == health::ejected) {
        return;
    }
    ++on->failures_in_row;
    const bool has_failed_probe = on->health == health::probing;
    if (has_failed_probe || (on->failures_in_row >= policy.ejection_failures &&
                             may_eject(state, policy, on->spec.role))) {
        eject(*on, policy, now);
    }
}

void hold_back(cell_state& state, const backend_id& backend, time_point now) {
    engine* on = state.engines.find(backend);
    if (on == nullptr || !(on->is_held_back || has_other_open(state, *on))) {
        return;
    }
    on->is_held_back = true;
    on->failed_at = now;
}

void note_report(engine& on, time_point taken_at) noexcept {
    if (taken_at > on.failed_at) {
        on.is_held_back = false;
    }
}

void note_success(cell_state& state, const backend_id& backend) {
    engine* on = state.engines.find(backend);
    if (on == nullptr || on->health == health::ejected) {
        return;
    }
    on->failures_in_row = 0;
    if (on->health == health::probing) {
        on->health = health::healthy;
        on->ejections_in_row = 0;
    }
}

void review_health(cell_state& state, const cell_policy& policy, time_point now) {
    slowness_range prefills;
    slowness_range decodes;
    for (engine& on : state.engines.rows()) {
        end_hold(on, policy, now);
        if (on.health == health::ejected && now >= on.ejected_until) {
            on.health = health::probing;
        }
        if (!on.is_leaving && on.spec.role != backend_role::plain) {
            widen(on.spec.role == backend_role::prefill ? prefills : decodes, on);
        }
    }
    // The medians are worth their cost only if some engine stands out.
    if (may_be_slow(prefills, policy)) {
        eject_slow(state, policy, backend_role::prefill, now);
    }
    if (may_be_slow(decodes, policy)) {
        eject_slow(state, policy, backend_role::decode, now);
    }
}

} // namespace cicadahatch::scheduling::internal
