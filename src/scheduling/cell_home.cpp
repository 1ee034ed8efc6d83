#include "src/scheduling/cell_home.hpp"

#include "src/core/hash.hpp"

#include <algorithm>
#include <cstdint>
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

} // namespace cicadahatch::scheduling
