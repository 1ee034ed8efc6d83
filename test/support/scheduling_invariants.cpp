#include "test/support/scheduling_invariants.hpp"

#include <map>

namespace cicadahatch::test_support {

using namespace scheduling;

namespace {

constexpr std::uint32_t max_prefills = 2;

struct reservations {
    std::uint32_t prefills = 0;
    std::uint32_t streams = 0;
    std::uint32_t decoding = 0;
    std::uint32_t pieces = 0;
};

std::map<backend_id, reservations> count_reservations(const cell_state& state) {
    std::map<backend_id, reservations> counts;
    for (const live_grant& held : state.grants.rows()) {
        reservations& decode = counts[held.issued.decode];
        ++decode.streams;
        decode.pieces += held.issued.pieces;
        decode.decoding += held.stage == stage::decode ? 1 : 0;
        const bool has_prefill = held.stage == stage::prefill && !held.issued.prefill.empty();
        counts[held.issued.prefill].prefills += has_prefill ? 1 : 0;
    }
    return counts;
}

cell_fault engine_fault(const engine& instance, const reservations& counted) {
    if (counted.streams > instance.spec.slots && instance.spec.role != backend_role::prefill) {
        return cell_fault::slots_exceeded;
    }
    if (instance.spec.pieces > 0 && counted.pieces > instance.spec.pieces) {
        return cell_fault::memory_exceeded;
    }
    if (instance.spec.role == backend_role::prefill && counted.prefills > max_prefills) {
        return cell_fault::prefills_exceeded;
    }
    const bool is_same =
        counted.prefills == instance.prefills && counted.streams == instance.streams &&
        counted.decoding == instance.decoding && counted.pieces == instance.reserved_pieces &&
        instance.between_token_targets.size() == instance.streams;
    return is_same ? cell_fault::none : cell_fault::counts_differ;
}

std::size_t queued(const level_queue& level) {
    std::size_t sum = 0;
    for (const auto& [id, team] : level.teams) {
        sum += team.waiting.requests;
        if ((team.waiting.requests > 0) != level.backlogged.contains({team.virtual_time, id})) {
            return 0;
        }
    }
    return sum;
}

std::size_t queued(const rank_queue& queue) {
    std::size_t sum = 0;
    for (const service_queue& service : queue.services.rows()) {
        for (const auto& [number, level] : service.levels) {
            const std::size_t counted = queued(level);
            if (counted != level.waiting.requests) {
                return 0;
            }
            sum += counted;
        }
    }
    return sum;
}

} // namespace

cell_fault find_fault(const cell_state& state) {
    std::map<backend_id, reservations> counts = count_reservations(state);
    for (const engine& instance : state.engines.rows()) {
        const cell_fault found = engine_fault(instance, counts[instance.id]);
        if (found != cell_fault::none) {
            return found;
        }
    }
    std::size_t in_queues = 0;
    for (const rank_queue& queue : state.ranks) {
        in_queues += queued(queue);
        if (queue.waiting.requests != queued(queue)) {
            return cell_fault::queue_differs;
        }
    }
    if (in_queues != state.waiting.size()) {
        return cell_fault::queue_differs;
    }
    for (const waiting_request& request : state.waiting.rows()) {
        if (state.grants.contains(request.id)) {
            return cell_fault::granted_and_waiting;
        }
    }
    return cell_fault::none;
}

} // namespace cicadahatch::test_support
