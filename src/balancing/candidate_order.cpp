#include "src/balancing/candidate_order.hpp"

#include <algorithm>
#include <tuple>

namespace cicadahatch::balancing {

namespace {

/// What orders candidates: lower comes first.
struct rating {
    bool is_ejected = false;
    double load = 0;
    bool is_foreign = false;
    double tie = 0;

    friend bool operator<(const rating& left, const rating& right) {
        return std::tie(left.is_ejected, left.load, left.is_foreign, left.tie) <
               std::tie(right.is_ejected, right.load, right.is_foreign, right.tie);
    }
};

template <class LoadOf>
candidate_list ordered(const candidate_list& candidates, const selection_context& inputs,
                       LoadOf load_of_row) {
    std::vector<std::pair<rating, const discovery::backend*>> rated;
    rated.reserve(candidates.size());
    for (const discovery::backend* candidate : candidates) {
        const backend_load& load = load_of(inputs.loads, candidate->id, candidate->started);
        rating rated_as;
        rated_as.is_ejected = load.ejected_until > inputs.now;
        rated_as.load = load_of_row(*candidate, load);
        rated_as.is_foreign = candidate->domain != inputs.own_domain;
        rated_as.tie = inputs.random.unit();
        rated.emplace_back(rated_as, candidate);
    }
    std::sort(rated.begin(), rated.end(),
              [](const auto& left, const auto& right) { return left.first < right.first; });
    candidate_list sorted;
    sorted.reserve(rated.size());
    for (const auto& row : rated) {
        sorted.push_back(row.second);
    }
    return sorted;
}

} // namespace

candidate_list sort_plain_servers(const candidate_list& candidates,
                                  const selection_context& inputs) {
    return ordered(candidates, inputs, [](const auto& candidate, const auto& load) {
        return static_cast<double>(load.running) / std::max(1U, candidate.slots);
    });
}

candidate_list sort_decode_engines(candidate_list candidates, const selection_context& inputs) {
    std::erase_if(candidates, [&](const discovery::backend* candidate) {
        const backend_load& load = load_of(inputs.loads, candidate->id, candidate->started);
        return load.ejected_until > inputs.now || load.full_until > inputs.now;
    });
    return ordered(candidates, inputs, [](const auto& /*candidate*/, const auto& load) {
        return static_cast<double>(load.reserved_tokens);
    });
}

candidate_list sort_prefill_engines(const candidate_list& candidates,
                                    const selection_context& inputs) {
    return ordered(candidates, inputs, [](const auto& /*candidate*/, const auto& load) {
        return std::chrono::duration<double>(load.prefill_time).count() * (load.prefills + 1);
    });
}

} // namespace cicadahatch::balancing
