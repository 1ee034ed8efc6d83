#include "src/configuration/watchers.hpp"

#include "src/core/hash.hpp"

#include <algorithm>
#include <tuple>

namespace cicadahatch::configuration {

namespace {

/// Lower comes first; equal hashes are told apart by name.
auto rank_of(const watch_candidate& candidate) {
    constexpr std::uint64_t watch_seed = 0x77617463;
    const std::string& name = candidate.id.str();
    return std::make_tuple(!candidate.reaches_store, stable_hash(name, watch_seed), name);
}

} // namespace

bool is_watcher(const daemon_id& self, const std::vector<watch_candidate>& live,
                std::size_t watchers) {
    const auto listed = std::find_if(live.begin(), live.end(),
                                     [&](const auto& candidate) { return candidate.id == self; });
    const auto own = rank_of(listed == live.end() ? watch_candidate{self} : *listed);
    const auto before = std::count_if(
        live.begin(), live.end(), [&](const auto& candidate) { return rank_of(candidate) < own; });
    return static_cast<std::size_t>(before) < watchers;
}

std::vector<daemon_id> exchange_order(const daemon_id& self, std::vector<daemon_id> peers) {
    std::sort(peers.begin(), peers.end(), [](const daemon_id& left, const daemon_id& right) {
        return rank_of({left}) < rank_of({right});
    });
    const auto first = static_cast<std::ptrdiff_t>(std::min(watchers_per_domain, peers.size()));
    const auto rotate = [&](auto begin, auto end) {
        if (begin != end) {
            std::rotate(begin,
                        begin +
                            static_cast<std::ptrdiff_t>(stable_hash(self.str()) %
                                                        static_cast<std::uint64_t>(end - begin)),
                        end);
        }
    };
    rotate(peers.begin(), peers.begin() + first);
    rotate(peers.begin() + first, peers.end());
    return peers;
}

} // namespace cicadahatch::configuration
