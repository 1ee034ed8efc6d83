#include "src/balancing/candidate_order.hpp"

#include <algorithm>
#include <tuple>

namespace cicadahatch::balancing {

namespace {

/// Lexicographic sort key of a candidate; lower comes first.
struct sort_key {
    bool is_ejected = false;
    double load = 0;
    bool is_remote = false; ///< in another failure domain
    double tie_breaker = 0;

    friend bool operator<(const sort_key& left, const sort_key& right) {
        return std::tie(left.is_ejected, left.load, left.is_remote, left.tie_breaker) <
               std::tie(right.is_ejected, right.load, right.is_remote, right.tie_breaker);
    }
};

template <class LoadMetric>
candidate_list sort_by_load(const candidate_list& candidates, const selection_context& context,
                            LoadMetric load_metric) {
    std::vector<std::pair<sort_key, const discovery::backend*>> keyed;
    keyed.reserve(candidates.size());
    for (const discovery::backend* candidate : candidates) {
        const backend_load& load = load_of(context.loads, candidate->id, candidate->started);
        sort_key key;
        key.is_ejected = load.ejected_until > context.now;
        key.load = load_metric(*candidate, load);
        key.is_remote = candidate->domain != context.own_domain;
        key.tie_breaker = context.random.unit();
        keyed.emplace_back(key, candidate);
    }
    std::sort(keyed.begin(), keyed.end(),
              [](const auto& left, const auto& right) { return left.first < right.first; });
    candidate_list sorted;
    sorted.reserve(keyed.size());
    for (const auto& row : keyed) {
        sorted.push_back(row.second);
    }
    return sorted;
}

} // namespace

candidate_list sort_plain_servers(const candidate_list& candidates,
                                  const selection_context& context) {
    return sort_by_load(candidates, context, [](const auto& candidate, const auto& load) {
        return static_cast<double>(load.running) / std::max(1U, candidate.slots);
    });
}

candidate_list sort_decode_engines(candidate_list candidates, const selection_context& context) {
    std::erase_if(candidates, [&](const discovery::backend* candidate) {
        const backend_load& load = load_of(context.loads, candidate->id, candidate->started);
        return load.ejected_until > context.now || load.full_until > context.now;
    });
    return sort_by_load(candidates, context, [](const auto& /*candidate*/, const auto& load) {
        return static_cast<double>(load.reserved_tokens);
    });
}

candidate_list sort_prefill_engines(const candidate_list& candidates,
                                    const selection_context& context) {
    return sort_by_load(candidates, context, [](const auto& /*candidate*/, const auto& load) {
        return std::chrono::duration<double>(load.prefill_time).count() * (load.prefills + 1);
    });
}

} // namespace cicadahatch::balancing
