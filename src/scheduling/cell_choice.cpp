#include "src/scheduling/cell_choice.hpp"

#include "src/scheduling/internal/prediction.hpp"

#include <cstddef>

namespace cicadahatch::scheduling {

namespace {

duration wait_in(const cell_digest& digest, rank of) {
    return digest.predicted_wait[rank_index(of)];
}

/// A cell is full once its wait takes so much of the target that little room is left for error.
constexpr double full_part = 0.25;
/// Another domain's cell must be this much better, so that lagging digests don't send work there
/// and back.
constexpr double spill_gain = 0.5;

bool is_full(const cell_digest& digest, const choice_request& request) {
    const auto wait = static_cast<double>(wait_in(digest, request.rank).count());
    return wait > full_part * static_cast<double>(request.first_token.count());
}

bool is_clearly_better(const cell_digest& other, const cell_digest& own,
                       const choice_request& request) {
    const duration there = wait_in(other, request.rank) + request.cross_domain_delay;
    const auto here = static_cast<double>(wait_in(own, request.rank).count());
    return static_cast<double>(there.count()) < spill_gain * here;
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
        request.elapsed + distance + wait_in(digest, request.rank) + digest.typical_first_token;
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
    const bool can_prefill = state.capacity.is_plain || state.capacity.prefill_engines > 0;
    digest.takes_work = state.capacity.slots > 0 && can_prefill && !state.registration_since;
    for (const rank of : {rank::urgent, rank::deferrable}) {
        const work_amount& all = state.ranks[rank_index(of)].waiting;
        const double wait =
            internal::predicted_wait_seconds(state, internal::rank_part(state, of), all);
        digest.predicted_wait[rank_index(of)] = internal::from_seconds(wait);
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
    const cell_digest* inside =
        better_of_two(cells_of(digests, own, request.model, true), request.rank, random);
    const bool is_met_inside =
        inside != nullptr && meets_target(*inside, request, duration::zero());
    if (is_met_inside && !is_full(*inside, request)) {
        return cell_target{inside->id, false};
    }
    const cell_digest* outside =
        better_of_two(cells_of(digests, own, request.model, false), request.rank, random);
    const bool can_spill =
        outside != nullptr && meets_target(*outside, request, request.cross_domain_delay);
    if (can_spill && (!is_met_inside || is_clearly_better(*outside, *inside, request))) {
        return cell_target{outside->id, true};
    }
    if (inside != nullptr) {
        return cell_target{inside->id, false};
    }
    return std::nullopt;
}

} // namespace cicadahatch::scheduling
