#include "src/scheduling/cell_home.hpp"

#include "src/core/hash.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace cicadahatch::scheduling {

std::vector<daemon_id> cell_homes(const cell_id& cell, const std::vector<daemon_id>& daemons,
                                  std::size_t count) {
    std::vector<std::pair<std::uint64_t, daemon_id>> scores;
    scores.reserve(daemons.size());
    const std::uint64_t seed = stable_hash(cell.str());
    for (const daemon_id& daemon : daemons) {
        scores.emplace_back(stable_hash(daemon.str(), seed), daemon);
    }
    std::sort(scores.begin(), scores.end(), std::greater<>{});
    std::vector<daemon_id> homes;
    for (std::size_t index = 0; index < std::min(count, scores.size()); ++index) {
        homes.push_back(scores[index].second);
    }
    return homes;
}

std::vector<daemon_id> spread_homes(const cell_id& cell, const std::vector<home_candidate>& daemons,
                                    std::size_t min_count) {
    std::vector<daemon_id> names;
    std::map<daemon_id, domain_id> domains;
    for (const home_candidate& candidate : daemons) {
        names.push_back(candidate.daemon);
        domains[candidate.daemon] = candidate.domain;
    }
    std::vector<daemon_id> homes;
    std::vector<daemon_id> others;
    std::set<domain_id> covered;
    for (const daemon_id& daemon : cell_homes(cell, names, names.size())) {
        const bool is_first = covered.insert(domains.at(daemon)).second;
        (is_first ? homes : others).push_back(daemon);
    }
    for (const daemon_id& daemon : others) {
        if (homes.size() >= min_count) {
            break;
        }
        homes.push_back(daemon);
    }
    return homes;
}

} // namespace cicadahatch::scheduling
