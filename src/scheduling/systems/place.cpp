#include "src/scheduling/systems/place.hpp"

#include "src/scheduling/internal/cache_view.hpp"
#include "src/scheduling/internal/engine_health.hpp"
#include "src/scheduling/internal/memory_forecast.hpp"
#include "src/scheduling/internal/open_engines.hpp"
#include "src/scheduling/internal/prediction.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace cicadahatch::scheduling::systems {

namespace {

using internal::from_seconds;
using internal::open_engines;
using internal::to_seconds;

/// A prefill engine with the time that it would need.
struct prefill_choice {
    const engine* on = nullptr;
    double seconds = 0;
    std::uint32_t cached_tokens = 0;
    time_point begins;
    time_point ends;
};

bool is_avoided(const request_spec& spec, const engine& on) {
    return std::find(spec.avoided.begin(), spec.avoided.end(), on.id) != spec.avoided.end();
}

/// An engine takes one prefill at a time and a next one shortly before it is free.
bool is_free_for(const internal::open_prefill& on, time_point begins, time_point now,
                 duration lookahead) {
    const bool is_overdue = on.count > 0 && on.own_until + lookahead < now;
    return on.count <= 1 && !is_overdue && begins <= now + lookahead;
}

prefill_choice consider_prefill(const engine& on, const request_spec& spec, time_point now) {
    prefill_choice choice;
    choice.on = &on;
    choice.cached_tokens = internal::cached_tokens(on, spec);
    choice.seconds = internal::prefill_seconds(on, spec.prompt_tokens - choice.cached_tokens);
    choice.begins = std::max(now, on.foreign_prefill_until);
    if (on.prefills > 0) {
        choice.begins = std::max(choice.begins, on.prefill_free_at);
    }
    choice.ends = choice.begins + from_seconds(choice.seconds);
    return choice;
}

/// When an engine would finish the prefill, and what it has cached of the prompt.
struct prefill_estimate {
    time_point begins;
    time_point ends;
    bool is_cached = false;
};

prefill_estimate estimate(const cell_state& state, const internal::open_prefill& on,
                          const request_spec& spec, time_point now) {
    if (on.has_cache && !spec.prefix_hashes.empty()) {
        const prefill_choice found = consider_prefill(state.engines.rows()[on.row], spec, now);
        return {found.begins, found.ends, found.cached_tokens > 0};
    }
    const double computing = spec.prompt_tokens / on.tokens_per_second;
    const double seconds = (on.overhead_seconds + computing) * on.scale;
    const time_point begins = std::max(now, on.begins);
    return {begins, begins + from_seconds(seconds), false};
}

prefill_choice choose_prefill(const cell_state& state, const cell_policy& policy,
                              const waiting_request& request, const open_engines& open,
                              time_point now) {
    const internal::open_prefill* best = nullptr;
    time_point best_end;
    for (const internal::open_prefill& on : open.free_prefills) {
        if (is_avoided(request.spec, state.engines.rows()[on.row])) {
            continue;
        }
        const prefill_estimate found = estimate(state, on, request.spec, now);
        const duration lookahead = found.is_cached ? policy.affinity_wait : policy.grant_lookahead;
        const bool is_better = best == nullptr || found.ends < best_end;
        if (is_better && is_free_for(on, found.begins, now, lookahead)) {
            best = &on;
            best_end = found.ends;
        }
    }
    if (best == nullptr) {
        return {};
    }
    return consider_prefill(state.engines.rows()[best->row], request.spec, now);
}

std::uint32_t open_slots(const engine& on, const cell_policy& policy, bool may_use_reserve) {
    const std::uint32_t used = on.streams + on.foreign_streams;
    std::uint32_t slots = on.spec.slots;
    if (!may_use_reserve) {
        slots -= static_cast<std::uint32_t>(std::ceil(policy.urgent_reserve * slots));
    }
    return slots > used ? slots - used : 0;
}

/// No stream of the batch may miss its target by the new one, unless no batch could meet it.
bool keeps_targets(const engine& on, const waiting_request& request) {
    const std::uint32_t used = on.streams + on.foreign_streams;
    const duration step = from_seconds(internal::step_seconds(on, used + 1));
    const duration alone = from_seconds(internal::step_seconds(on, 1));
    const duration own = request.spec.between_tokens;
    const bool own_kept = own == duration::zero() || step <= own || (alone > own && used == 0);
    const auto& targets = on.between_token_targets;
    const auto tightest = targets.upper_bound(duration::zero());
    const bool others_kept = tightest == targets.end() || step <= *tightest;
    return own_kept && others_kept;
}

bool has_memory(const engine& on, std::uint32_t pieces) {
    return on.spec.pieces == 0 || on.reserved_pieces + on.foreign_pieces + pieces <= on.spec.pieces;
}

struct decode_choice {
    const engine* on = nullptr;
    obstacle why = obstacle::slots_full;
};

/// Whether the engine's memory takes the request beside the streams granted there.
bool has_memory_for(const cell_state& state, const cell_policy& policy, const engine& on,
                    const waiting_request& request, bool may_use_reserve, time_point now) {
    if (policy.forecasts_memory && request.output.max_tokens > 0 && on.spec.pieces > 0) {
        return internal::has_room(state, policy, on, request, may_use_reserve, now);
    }
    return has_memory(on, internal::pieces_needed(on, policy, request.spec));
}

/// Where a decode may take place.
struct decode_wish {
    bool may_use_reserve = false;
    bool is_local = false; ///< the engine must do the prefill too
};

/// Whether the engine can take the request now, and if not, why.
obstacle obstacle_of(const cell_state& state, const engine& on, const cell_policy& policy,
                     const waiting_request& request, const decode_wish& wanted, time_point now) {
    const bool is_local_busy = !internal::is_prefill_capable(on) || on.prefills > 0;
    if (wanted.is_local && is_local_busy) {
        return obstacle::prefill_busy;
    }
    if (is_avoided(request.spec, on) || open_slots(on, policy, wanted.may_use_reserve) == 0 ||
        !keeps_targets(on, request)) {
        return obstacle::slots_full;
    }
    const bool has_room = has_memory_for(state, policy, on, request, wanted.may_use_reserve, now);
    return has_room ? obstacle::none : obstacle::memory_full;
}

/// Chooses the least full engine that can take the request.
decode_choice choose_decode(const cell_state& state, const cell_policy& policy,
                            const waiting_request& request, const decode_wish& wanted,
                            open_engines& open, time_point now) {
    decode_choice best;
    std::vector<internal::open_decode> looked_at;
    while (const auto next = internal::take_least_full(state, open)) {
        looked_at.push_back(*next);
        const engine& on = state.engines.rows()[next->row];
        const obstacle why = obstacle_of(state, on, policy, request, wanted, now);
        if (why == obstacle::none) {
            best = {&on, why};
            break;
        }
        if (why == obstacle::memory_full) {
            best.why = why;
        }
    }
    internal::put_back(open, looked_at);
    return best;
}

time_point links_free_at(const cell_state& state, const engine& from, const engine& to) {
    time_point free_at;
    for (const link_id& id : {from.spec.link, to.spec.link}) {
        const link* line = id.empty() ? nullptr : state.links.find(id);
        if (line != nullptr) {
            free_at = std::max(free_at, line->free_at);
        }
    }
    return free_at;
}

placement planned(const cell_state& state, const cell_policy& policy,
                  const waiting_request& request, const prefill_choice& prefill,
                  const engine& decode) {
    const engine& from = prefill.on == nullptr ? decode : *prefill.on;
    const bool is_moved = from.id != decode.id;
    placement found;
    found.prefill = prefill.on == nullptr ? backend_id{} : from.id;
    found.decode = decode.id;
    found.prefill_seconds = prefill.seconds;
    found.cached_tokens = prefill.cached_tokens;
    found.prefill_begins = prefill.begins;
    found.prefill_ends = prefill.ends;
    found.transfer_begins = found.prefill_ends;
    if (is_moved) {
        found.transfer_begins = std::max(found.prefill_ends, links_free_at(state, from, decode));
    }
    const double moving =
        internal::transfer_seconds(state, from, decode, request.spec.prompt_tokens);
    found.transfer_ends = found.transfer_begins + from_seconds(moving);
    const std::uint32_t batch = decode.streams + decode.foreign_streams + 1;
    found.between_tokens = from_seconds(internal::step_seconds(decode, batch));
    found.first_token = found.transfer_ends + found.between_tokens;
    found.pieces = internal::pieces_needed(decode, policy, request.spec);
    // Waiting for a link, not the transfer itself, uses up the time that the KV is kept.
    const duration allowed =
        from_seconds(to_seconds(policy.kv_retention) * policy.usable_retention);
    if (found.transfer_begins - found.prefill_ends > allowed) {
        found.why = obstacle::link_busy;
    }
    return found;
}

placement blocked(obstacle why) {
    placement none;
    none.why = why;
    return none;
}

bool has_prefill_pool(const cell_state& state, const open_engines& open) {
    const auto takes_work = [&](std::size_t row) {
        return internal::takes_work(state.engines.rows()[row]);
    };
    return std::any_of(open.prefill_pool.begin(), open.prefill_pool.end(), takes_work);
}

/// The decode engine prefills itself, or is a plain server that has nothing to prefill.
placement place_locally(const cell_state& state, const cell_policy& policy,
                        const waiting_request& request, bool may_use_reserve, open_engines& open,
                        time_point now) {
    const bool is_plain = state.capacity.is_plain;
    const decode_choice decode =
        choose_decode(state, policy, request, {may_use_reserve, !is_plain}, open, now);
    if (decode.on == nullptr) {
        return blocked(decode.why);
    }
    prefill_choice prefill;
    prefill.begins = now;
    prefill.ends = now;
    if (!is_plain) {
        prefill = consider_prefill(*decode.on, request.spec, now);
    }
    return planned(state, policy, request, prefill, *decode.on);
}

} // namespace

placement place(const cell_state& state, const cell_policy& policy, const waiting_request& request,
                bool may_use_reserve, open_engines& open, time_point now) {
    if (state.capacity.is_plain) {
        return place_locally(state, policy, request, may_use_reserve, open, now);
    }
    if (state.capacity.prefill_engines <= 0) {
        return blocked(obstacle::prefill_busy);
    }
    const bool has_pool = has_prefill_pool(state, open);
    const bool is_small = request.spec.prompt_tokens <= policy.local_prefill_tokens;
    if (!has_pool || is_small) {
        placement local = place_locally(state, policy, request, may_use_reserve, open, now);
        if (!has_pool || local.why == obstacle::none) {
            return local;
        }
    }
    const decode_choice decode =
        choose_decode(state, policy, request, {may_use_reserve, false}, open, now);
    if (decode.on == nullptr) {
        return blocked(decode.why);
    }
    const prefill_choice prefill = choose_prefill(state, policy, request, open, now);
    if (prefill.on == nullptr) {
        return blocked(obstacle::prefill_busy);
    }
    return planned(state, policy, request, prefill, *decode.on);
}

} // namespace cicadahatch::scheduling::systems
