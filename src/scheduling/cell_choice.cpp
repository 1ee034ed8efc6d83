#include "src/scheduling/cell_choice.hpp"

#include "src/scheduling/internal/prediction.hpp"

#include <cstddef>

namespace cicadahatch::scheduling {

namespace {

duration wait_in(const cell_digest& digest, rank work_rank) {
    return digest.predicted_wait[rank_index(work_rank)];
}

/// Fraction of the target above which the wait marks a cell as full, leaving a margin for
/// prediction errors.
constexpr double full_fraction = 0.25;
/// A remote cell's wait must be below this fraction of the local wait, so that stale digests don't
/// send work back and forth.
constexpr double max_spill_ratio = 0.5;

bool is_full(const cell_digest& digest, const choice_request& request) {
    const auto wait = static_cast<double>(wait_in(digest, request.rank).count());
    return wait > full_fraction * static_cast<double>(request.first_token.count());
}

bool is_clearly_better(const cell_digest& other, const cell_digest& own,
                       const choice_request& request) {
    const duration remote_wait = wait_in(other, request.rank) + request.cross_domain_delay;
    const auto local_wait = static_cast<double>(wait_in(own, request.rank).count());
    return static_cast<double>(remote_wait.count()) < max_spill_ratio * local_wait;
}

/// Chooses the less loaded of two random cells, so that stale digests don't direct all requests to
/// one cell.
const cell_digest* less_loaded_of_two(const std::vector<const cell_digest*>& cells, rank work_rank,
                                      random_source& random) {
    if (cells.empty()) {
        return nullptr;
    }
    if (cells.size() == 1) {
        return cells.front();
    }
    const std::size_t first = random.below(cells.size());
    const std::size_t other = (first + 1 + random.below(cells.size() - 1)) % cells.size();
    const bool is_first = wait_in(*cells[first], work_rank) <= wait_in(*cells[other], work_rank);
    return is_first ? cells[first] : cells[other];
}

bool meets_target(const cell_digest& digest, const choice_request& request, duration distance) {
    const duration needed =
        request.elapsed + distance + wait_in(digest, request.rank) + digest.typical_first_token;
    return needed <= request.first_token;
}

std::vector<const cell_digest*> available_cells(const std::vector<cell_digest>& digests,
                                                const domain_id& own, const model_id& model,
                                                bool is_local) {
    std::vector<const cell_digest*> cells;
    for (const cell_digest& digest : digests) {
        if (digest.takes_work && digest.model == model && (digest.domain == own) == is_local) {
            cells.push_back(&digest);
        }
    }
    return cells;
}

} // namespace

cell_digest make_digest(const cell_state& state, const domain_id& domain, time_point now) {
    cell_digest digest;
    digest.id = state.id;
    digest.domain = domain;
    digest.model = state.model;
    digest.taken_at = now;
    const bool can_prefill = state.capacity.is_plain || state.capacity.prefill_engines > 0;
    digest.takes_work = state.capacity.slots > 0 && can_prefill && !state.registration_since;
    for (const rank work_rank : {rank::urgent, rank::deferrable}) {
        const work_amount& waiting = state.ranks[rank_index(work_rank)].waiting;
        const double wait = internal::predicted_wait_seconds(
            state, internal::rank_fraction(state, work_rank), waiting);
        digest.predicted_wait[rank_index(work_rank)] = internal::from_seconds(wait);
    }
    const cell_capacity& capacity = state.capacity;
    const double transfer = capacity.transfer_seconds_per_token * capacity.mean_prompt_tokens;
    const double prefill = capacity.prefill_tokens_per_second > 0
                               ? capacity.mean_prompt_tokens / capacity.prefill_tokens_per_second
                               : 0;
    digest.typical_first_token = internal::from_seconds(prefill + transfer + capacity.step_seconds);
    return digest;
}

std::optional<cell_target> choose_cell(const std::vector<cell_digest>& digests,
                                       const domain_id& own, const choice_request& request,
                                       random_source& random) {
    const cell_digest* local = less_loaded_of_two(
        available_cells(digests, own, request.model, true), request.rank, random);
    const bool is_met_locally = local != nullptr && meets_target(*local, request, duration::zero());
    if (is_met_locally && !is_full(*local, request)) {
        return cell_target{local->id, false};
    }
    const cell_digest* remote = less_loaded_of_two(
        available_cells(digests, own, request.model, false), request.rank, random);
    const bool can_spill =
        remote != nullptr && meets_target(*remote, request, request.cross_domain_delay);
    if (can_spill && (!is_met_locally || is_clearly_better(*remote, *local, request))) {
        return cell_target{remote->id, true};
    }
    if (local != nullptr) {
        return cell_target{local->id, false};
    }
    return std::nullopt;
}

} // namespace cicadahatch::scheduling
