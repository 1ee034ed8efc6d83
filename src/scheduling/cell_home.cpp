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
    std::vector<std::pair<std::uint64_t, daemon_id>> scored;
    scored.reserve(daemons.size());
    const std::uint64_t seed = stable_hash(cell.str());
    for (const daemon_id& daemon : daemons) {
        scored.emplace_back(stable_hash(daemon.str(), seed), daemon);
    }
    std::sort(scored.begin(), scored.end(), std::greater<>{});
    std::vector<daemon_id> homes;
    for (std::size_t place = 0; place < std::min(count, scored.size()); ++place) {
        homes.push_back(scored[place].second);
    }
    return homes;
}

std::vector<daemon_id> spread_homes(const cell_id& cell, const std::vector<home_candidate>& daemons,
                                    std::size_t least) {
    std::vector<daemon_id> names;
    std::map<daemon_id, domain_id> domains;
    for (const home_candidate& row : daemons) {
        names.push_back(row.daemon);
        domains[row.daemon] = row.domain;
    }
    std::vector<daemon_id> homes;
    std::vector<daemon_id> others;
    std::set<domain_id> covered;
    for (const daemon_id& daemon : cell_homes(cell, names, names.size())) {
        const bool is_first = covered.insert(domains.at(daemon)).second;
        (is_first ? homes : others).push_back(daemon);
    }
    for (const daemon_id& daemon : others) {
        if (homes.size() >= least) {
            break;
        }
        homes.push_back(daemon);
    }
    return homes;
}

} // namespace cicadahatch::scheduling
