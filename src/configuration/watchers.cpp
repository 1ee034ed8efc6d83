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

} // namespace cicadahatch::configuration
