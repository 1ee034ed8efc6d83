#include "src/balancing/candidate_order.hpp"

#include <algorithm>
#include <tuple>

namespace cicadahatch::balancing {

namespace {

/// Lexicographic sort key of a candidate; lower comes first.
struct sort_key {
    bool is_ejected = false;
    bool is_skipped = false; ///< left out of this choice, as it starts slowly
    double load = 0;
    bool is_remote = false; ///< in another failure domain
    double tie_breaker = 0;

    friend bool operator<(const sort_key& left, const sort_key& right) {
        return std::tie(left.is_ejected, left.is_skipped, left.load, left.is_remote,
                        left.tie_breaker) < std::tie(right.is_ejected, right.is_skipped, right.load,
                                                     right.is_remote, right.tie_breaker);
    }
};

template <class LoadMetric>
candidate_list sort_by_load(const candidate_list& candidates, const selection_context& context,
                            LoadMetric load_metric) {
    std::vector<std::pair<sort_key, const discovery::backend*>> keyed;
    keyed.reserve(candidates.size());
    for (const discovery::backend* candidate : candidates) {
        backend_load& load = load_of(context.loads, candidate->id, candidate->started);
        advance(load.pace, context.now);
        sort_key key;
        key.is_ejected = load.ejected_until > context.now;
        key.load = load_metric(*candidate, load);
        key.is_skipped = load.pace.fraction < 1 && !context.random.chance(load.pace.fraction);
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
    const auto utilization = [](const auto& candidate, const auto& load) {
        return static_cast<double>(load.running) / std::max(1U, candidate.slots);
    };
    // A server that starts slowly goes before one that is full.
    const bool has_room = std::any_of(candidates.begin(), candidates.end(), [&](const auto* row) {
        const backend_load& load = load_of(context.loads, row->id, row->started);
        return load.pace.fraction >= 1 && utilization(*row, load) < 1;
    });
    candidate_list sorted = sort_by_load(candidates, context, utilization);
    if (!has_room) {
        std::stable_sort(sorted.begin(), sorted.end(), [&](const auto* left, const auto* right) {
            const auto load_of_row = [&](const auto* row) {
                const backend_load& load = load_of(context.loads, row->id, row->started);
                return std::pair{load.ejected_until > context.now, utilization(*row, load)};
            };
            return load_of_row(left) < load_of_row(right);
        });
    }
    return sorted;
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
