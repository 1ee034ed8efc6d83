#include "src/membership/bridges.hpp"

#include "src/core/hash.hpp"
#include "src/membership/constants.hpp"

#include <algorithm>

namespace cicadahatch::membership {

std::vector<daemon_id> choose_bridges(const domain_id& own, const domain_id& foreign,
                                      std::vector<daemon_id> candidates) {
    const std::uint64_t pair = stable_hash(own.str() + "\n" + foreign.str());
    const auto weight = [pair](const daemon_id& id) { return stable_hash(id.str(), pair); };
    std::sort(candidates.begin(), candidates.end(),
              [&](const daemon_id& left, const daemon_id& right) {
                  return std::pair{weight(left), left} > std::pair{weight(right), right};
              });
    candidates.resize(std::min(candidates.size(), bridge_count));
    return candidates;
}

} // namespace cicadahatch::membership
