#include "src/scheduling/cell_choice.hpp"

#include "src/scheduling/internal/prediction.hpp"

#include <cstddef>

namespace cicadahatch::scheduling {

namespace {

duration wait_in(const cell_digest& digest, rank of) {
    return digest.predicted_wait[rank_index(of)];
}

/// The less loaded of two random ones: lagging digests then don't send everyone to one cell.
const cell_digest* better_of_two(const std::vector<const cell_digest*>& cells, rank of,
                                 random_source& random) {
    if (cells.empty()) {
        return nullptr;
    }
    if (cells.size() == 1) {
        return cells.front();
    }
    const std::size_t first = random.below(cells.size());
    const std::size_t other = (first + 1 + random.below(cells.size() - 1)) % cells.size();
    const bool is_first = wait_in(*cells[first], of) <= wait_in(*cells[other], of);
    return is_first ? cells[first] : cells[other];
}

bool meets_target(const cell_digest& digest, const choice_request& request, duration distance) {
    const duration needed =
        request.elapsed + distance + wait_in(digest, request.rank) + digest.typical_minimum;
    return needed <= request.first_token;
}

std::vector<const cell_digest*> cells_of(const std::vector<cell_digest>& digests,
                                         const domain_id& own, const model_id& model,
                                         bool is_inside) {
    std::vector<const cell_digest*> cells;
    for (const cell_digest& digest : digests) {
        if (digest.takes_work && digest.model == model && (digest.domain == own) == is_inside) {
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
    digest.takes_work = state.capacity.slots > 0 && !state.home_since;
    for (const rank of : {rank::urgent, rank::deferrable}) {
        const work_amount& all = state.ranks[rank_index(of)].waiting;
        const double wait = internal::predicted_wait_seconds(state, of, all, 1);
        digest.predicted_wait[rank_index(of)] = internal::from_seconds(wait);
    }
    const cell_capacity& capacity = state.capacity;
    const double transfer = capacity.transfer_seconds_per_token * capacity.mean_prompt_tokens;
    const double prefill = capacity.prefill_tokens_per_second > 0
                               ? capacity.mean_prompt_tokens / capacity.prefill_tokens_per_second
                               : 0;
    digest.typical_minimum = internal::from_seconds(prefill + transfer + capacity.step_seconds);
    return digest;
}

std::optional<cell_target> choose_cell(const std::vector<cell_digest>& digests,
                                       const domain_id& own, const choice_request& request,
                                       random_source& random) {
    const cell_digest* inside =
        better_of_two(cells_of(digests, own, request.model, true), request.rank, random);
    if (inside != nullptr && meets_target(*inside, request, duration::zero())) {
        return cell_target{inside->id, false};
    }
    const cell_digest* outside =
        better_of_two(cells_of(digests, own, request.model, false), request.rank, random);
    const bool can_spill =
        outside != nullptr && meets_target(*outside, request, request.domain_distance);
    if (can_spill) {
        return cell_target{outside->id, true};
    }
    if (inside != nullptr) {
        return cell_target{inside->id, false};
    }
    return std::nullopt;
}

} // namespace cicadahatch::scheduling
