#include "src/scheduling/systems/place.hpp"

#include "src/scheduling/internal/available_engines.hpp"
#include "src/scheduling/internal/cache_view.hpp"
#include "src/scheduling/internal/engine_health.hpp"
#include "src/scheduling/internal/memory_forecast.hpp"
#include "src/scheduling/internal/prediction.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace cicadahatch::scheduling::systems {

namespace {

using internal::available_engines;
using internal::from_seconds;
using internal::to_seconds;

/// A prefill engine with the predicted times of the prefill.
struct prefill_choice {
    const engine* instance = nullptr;
    double seconds = 0;
    std::uint32_t cached_tokens = 0;
    time_point begins;
    time_point ends;
};

bool is_avoided(const request_spec& spec, const engine& instance) {
    return std::find(spec.avoided.begin(), spec.avoided.end(), instance.id) != spec.avoided.end();
}

/// Whether the engine is idle or will finish its only prefill within the lookahead.
bool is_free_for(const internal::prefill_candidate& instance, time_point begins, time_point now,
                 duration lookahead) {
    const bool is_overdue = instance.count > 0 && instance.own_prefills_end + lookahead < now;
    return instance.count <= 1 && !is_overdue && begins <= now + lookahead;
}

prefill_choice plan_prefill(const engine& instance, const request_spec& spec, time_point now) {
    prefill_choice choice;
    choice.instance = &instance;
    choice.cached_tokens = internal::cached_tokens(instance, spec);
    choice.seconds = internal::prefill_seconds(instance, spec.prompt_tokens - choice.cached_tokens);
    choice.begins = std::max(now, instance.foreign_prefill_until);
    if (instance.prefills > 0) {
        choice.begins = std::max(choice.begins, instance.prefill_free_at);
    }
    choice.ends = choice.begins + from_seconds(choice.seconds);
    return choice;
}

/// Predicted prefill times of an engine, and whether it has cached a prefix of the prompt.
struct prefill_times {
    time_point begins;
    time_point ends;
    bool is_cached = false;
};

prefill_times estimate_prefill(const cell_state& state, const internal::prefill_candidate& instance,
                               const request_spec& spec, time_point now) {
    if (instance.has_cache && !spec.prefix_hashes.empty()) {
        const prefill_choice found = plan_prefill(state.engines.rows()[instance.row], spec, now);
        return {found.begins, found.ends, found.cached_tokens > 0};
    }
    const double computing = spec.prompt_tokens / instance.tokens_per_second;
    const double seconds = (instance.overhead_seconds + computing) * instance.scale;
    const time_point begins = std::max(now, instance.begins);
    return {begins, begins + from_seconds(seconds), false};
}

prefill_choice choose_prefill(const cell_state& state, const cell_policy& policy,
                              const waiting_request& request, const available_engines& available,
                              time_point now) {
    const internal::prefill_candidate* best = nullptr;
    time_point best_end;
    for (const internal::prefill_candidate& instance : available.free_prefills) {
        if (is_avoided(request.spec, state.engines.rows()[instance.row])) {
            continue;
        }
        const prefill_times found = estimate_prefill(state, instance, request.spec, now);
        const duration lookahead = found.is_cached ? policy.affinity_wait : policy.grant_lookahead;
        const bool is_better = best == nullptr || found.ends < best_end;
        if (is_better && is_free_for(instance, found.begins, now, lookahead)) {
            best = &instance;
            best_end = found.ends;
        }
    }
    if (best == nullptr) {
        return {};
    }
    return plan_prefill(state.engines.rows()[best->row], request.spec, now);
}

std::uint32_t free_slots(const engine& instance, const cell_policy& policy, bool may_use_reserve) {
    const std::uint32_t used = instance.streams + instance.foreign_streams;
    std::uint32_t slots = instance.spec.slots;
    if (!may_use_reserve) {
        slots -= static_cast<std::uint32_t>(std::ceil(policy.urgent_reserve * slots));
    }
    return slots > used ? slots - used : 0;
}

/// Whether the batch meets all targets between tokens with the new stream. A request whose target
/// can't be met even alone may use an idle engine.
bool meets_token_targets(const engine& instance, const waiting_request& request) {
    const std::uint32_t used = instance.streams + instance.foreign_streams;
    const duration step = from_seconds(internal::step_seconds(instance, used + 1));
    const duration alone = from_seconds(internal::step_seconds(instance, 1));
    const duration own = request.spec.between_tokens;
    const bool own_target_met =
        own == duration::zero() || step <= own || (alone > own && used == 0);
    const auto& targets = instance.between_token_targets;
    const auto tightest = targets.upper_bound(duration::zero());
    const bool other_targets_met = tightest == targets.end() || step <= *tightest;
    return own_target_met && other_targets_met;
}

bool has_free_pieces(const engine& instance, std::uint32_t pieces) {
    return instance.spec.pieces == 0 ||
           instance.reserved_pieces + instance.foreign_pieces + pieces <= instance.spec.pieces;
}

struct decode_choice {
    const engine* instance = nullptr;
    obstacle blocked_by = obstacle::slots_full;
};

/// Whether the request fits into the engine's memory together with the granted streams.
bool fits_memory(const cell_state& state, const cell_policy& policy, const engine& instance,
                 const waiting_request& request, bool may_use_reserve, time_point now) {
    if (policy.forecasts_memory && request.output.max_tokens > 0 && instance.spec.pieces > 0) {
        return internal::fits_in_memory(state, policy, instance, request, may_use_reserve, now);
    }
    return has_free_pieces(instance, internal::pieces_needed(instance, policy, request.spec));
}

/// Constraints on the choice of a decode engine.
struct decode_constraints {
    bool may_use_reserve = false;
    bool is_local = false; ///< the engine must do the prefill too
};

/// Whether the engine can take the request now, and if not, why.
obstacle find_obstacle(const cell_state& state, const engine& instance, const cell_policy& policy,
                       const waiting_request& request, const decode_constraints& constraints,
                       time_point now) {
    const bool is_local_busy = !internal::is_prefill_capable(instance) || instance.prefills > 0;
    if (constraints.is_local && is_local_busy) {
        return obstacle::prefill_busy;
    }
    if (is_avoided(request.spec, instance) ||
        free_slots(instance, policy, constraints.may_use_reserve) == 0 ||
        !meets_token_targets(instance, request)) {
        return obstacle::slots_full;
    }
    const bool fits_in_memory =
        fits_memory(state, policy, instance, request, constraints.may_use_reserve, now);
    return fits_in_memory ? obstacle::none : obstacle::memory_full;
}

/// Chooses the least utilized engine that can take the request.
decode_choice choose_decode(const cell_state& state, const cell_policy& policy,
                            const waiting_request& request, const decode_constraints& constraints,
                            available_engines& available, time_point now) {
    decode_choice best;
    std::vector<internal::decode_candidate> examined;
    while (const auto next = internal::take_least_full(state, available)) {
        examined.push_back(*next);
        const engine& instance = state.engines.rows()[next->row];
        const obstacle blocked_by =
            find_obstacle(state, instance, policy, request, constraints, now);
        if (blocked_by == obstacle::none) {
            best = {&instance, blocked_by};
            break;
        }
        if (blocked_by == obstacle::memory_full) {
            best.blocked_by = blocked_by;
        }
    }
    internal::put_back(available, examined);
    return best;
}

time_point links_free_at(const cell_state& state, const engine& from, const engine& to) {
    time_point free_at;
    for (const link_id& id : {from.spec.link, to.spec.link}) {
        const link* shared_link = id.empty() ? nullptr : state.links.find(id);
        if (shared_link != nullptr) {
            free_at = std::max(free_at, shared_link->free_at);
        }
    }
    return free_at;
}

placement make_placement(const cell_state& state, const cell_policy& policy,
                         const waiting_request& request, const prefill_choice& prefill,
                         const engine& decode) {
    const engine& from = prefill.instance == nullptr ? decode : *prefill.instance;
    const bool is_moved = from.id != decode.id;
    placement found;
    found.prefill = prefill.instance == nullptr ? backend_id{} : from.id;
    found.decode = decode.id;
    found.prefill_seconds = prefill.seconds;
    found.cached_tokens = prefill.cached_tokens;
    found.prefill_begins = prefill.begins;
    found.prefill_ends = prefill.ends;
    found.transfer_begins = found.prefill_ends;
    if (is_moved) {
        found.transfer_begins = std::max(found.prefill_ends, links_free_at(state, from, decode));
    }
    const double transfer =
        internal::transfer_seconds(state, from, decode, request.spec.prompt_tokens);
    found.transfer_ends = found.transfer_begins + from_seconds(transfer);
    const std::uint32_t batch = decode.streams + decode.foreign_streams + 1;
    found.between_tokens = from_seconds(internal::step_seconds(decode, batch));
    found.first_token = found.transfer_ends + found.between_tokens;
    found.pieces = internal::pieces_needed(decode, policy, request.spec);
    // Only the wait for a link counts against the KV retention, not the transfer itself.
    const duration allowed =
        from_seconds(to_seconds(policy.kv_retention) * policy.usable_retention);
    if (found.transfer_begins - found.prefill_ends > allowed) {
        found.blocked_by = obstacle::link_busy;
    }
    return found;
}

placement blocked_placement(obstacle blocked_by) {
    placement none;
    none.blocked_by = blocked_by;
    return none;
}

bool has_prefill_pool(const cell_state& state, const available_engines& available) {
    const auto takes_work = [&](std::size_t row) {
        return internal::takes_work(state.engines.rows()[row]);
    };
    return std::any_of(available.prefill_pool.begin(), available.prefill_pool.end(), takes_work);
}

/// Places both stages on the decode engine, or the request on a plain server without prefill.
placement place_locally(const cell_state& state, const cell_policy& policy,
                        const waiting_request& request, bool may_use_reserve,
                        available_engines& available, time_point now) {
    const bool is_plain = state.capacity.is_plain;
    const decode_choice decode =
        choose_decode(state, policy, request, {may_use_reserve, !is_plain}, available, now);
    if (decode.instance == nullptr) {
        return blocked_placement(decode.blocked_by);
    }
    prefill_choice prefill;
    prefill.begins = now;
    prefill.ends = now;
    if (!is_plain) {
        prefill = plan_prefill(*decode.instance, request.spec, now);
    }
    return make_placement(state, policy, request, prefill, *decode.instance);
}

} // namespace

placement place(const cell_state& state, const cell_policy& policy, const waiting_request& request,
                bool may_use_reserve, available_engines& available, time_point now) {
    if (state.capacity.is_plain) {
        return place_locally(state, policy, request, may_use_reserve, available, now);
    }
    if (state.capacity.prefill_engines <= 0) {
        return blocked_placement(obstacle::prefill_busy);
    }
    const bool has_pool = has_prefill_pool(state, available);
    const bool is_small = request.spec.prompt_tokens <= policy.local_prefill_tokens;
    if (!has_pool || is_small) {
        placement local = place_locally(state, policy, request, may_use_reserve, available, now);
        if (!has_pool || local.blocked_by == obstacle::none) {
            return local;
        }
    }
    const decode_choice decode =
        choose_decode(state, policy, request, {may_use_reserve, false}, available, now);
    if (decode.instance == nullptr) {
        return blocked_placement(decode.blocked_by);
    }
    const prefill_choice prefill = choose_prefill(state, policy, request, available, now);
    if (prefill.instance == nullptr) {
        return blocked_placement(obstacle::prefill_busy);
    }
    return make_placement(state, policy, request, prefill, *decode.instance);
}

} // namespace cicadahatch::scheduling::systems
