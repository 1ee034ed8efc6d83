#include "src/scheduling/internal/reservation.hpp"

#include "src/core/macros.hpp"
#include "src/scheduling/internal/prediction.hpp"

#include <algorithm>
#include <utility>

namespace cicadahatch::scheduling::internal {

namespace {

void trim(std::deque<time_point>& times, time_point now) {
    while (!times.empty() && now - times.front() > stream_history) {
        times.pop_front();
    }
}

void reserve_prefill(cell_state& state, const live_grant& held, time_point now) {
    engine* instance = state.engines.find(held.issued.prefill);
    if (instance == nullptr) {
        return;
    }
    ++instance->prefills;
    instance->prefill_pending_seconds += held.prefill_seconds;
    instance->prefill_free_at =
        std::max(instance->prefill_free_at, now) + from_seconds(held.prefill_seconds);
}

void release_prefill(cell_state& state, const live_grant& held, time_point now) {
    engine* instance = state.engines.find(held.issued.prefill);
    if (instance == nullptr || instance->prefills == 0) {
        return;
    }
    --instance->prefills;
    instance->prefill_pending_seconds -= held.prefill_seconds;
    if (instance->prefills == 0) {
        instance->prefill_pending_seconds = 0;
    }
    instance->prefill_free_at = now + from_seconds(instance->prefill_pending_seconds);
}

void reserve_stream(cell_state& state, const live_grant& held) {
    engine* instance = state.engines.find(held.issued.decode);
    if (instance == nullptr) {
        return;
    }
    ++instance->streams;
    instance->reserved_pieces += held.issued.pieces;
    instance->between_token_targets.insert(held.between_tokens);
    instance->slot_holders.push_back(held.id);
    if (held.stage == stage::decode) {
        ++instance->decoding;
    }
}

void release_stream(cell_state& state, const live_grant& held, time_point now) {
    engine* instance = state.engines.find(held.issued.decode);
    if (instance == nullptr || instance->streams == 0) {
        return;
    }
    --instance->streams;
    std::erase(instance->slot_holders, held.id);
    instance->reserved_pieces -= std::min(held.issued.pieces, instance->reserved_pieces);
    const auto target = instance->between_token_targets.find(held.between_tokens);
    if (target != instance->between_token_targets.end()) {
        instance->between_token_targets.erase(target);
    }
    if (held.stage == stage::decode && instance->decoding > 0) {
        --instance->decoding;
        instance->recent_ends.push_back(now);
        trim(instance->recent_ends, now);
    }
}

} // namespace

void reserve(cell_state& state, live_grant held, time_point now) {
    if (held.stage == stage::prefill && !held.issued.prefill.empty()) {
        reserve_prefill(state, held, now);
    }
    reserve_stream(state, held);
    if (held.stage != stage::decode) {
        state.next_timeout_check = std::min(state.next_timeout_check, held.stuck_deadline);
    }
    state.grants.insert(std::move(held));
}

live_grant free_grant(cell_state& state, const request_id& request, time_point now) {
    live_grant* found = state.grants.find(request);
    CICADAHATCH_ASSERT(found != nullptr, freed_grant_is_held);
    if (found->stage == stage::prefill && !found->issued.prefill.empty()) {
        release_prefill(state, *found, now);
    }
    release_stream(state, *found, now);
    live_grant freed = std::move(*found);
    freed.id = request;
    state.grants.erase(request);
    return freed;
}

void end_prefill(cell_state& state, live_grant& held, time_point now) {
    if (held.stage != stage::prefill) {
        return;
    }
    if (!held.issued.prefill.empty()) {
        release_prefill(state, held, now);
    }
    held.stage = stage::transfer;
}

void begin_decode(cell_state& state, live_grant& held, time_point now) {
    end_prefill(state, held, now);
    if (held.stage == stage::decode) {
        return;
    }
    held.stage = stage::decode;
    held.decode_began = now;
    engine* instance = state.engines.find(held.issued.decode);
    if (instance == nullptr) {
        return;
    }
    ++instance->decoding;
    instance->recent_begins.push_back(now);
    trim(instance->recent_begins, now);
}

} // namespace cicadahatch::scheduling::internal
