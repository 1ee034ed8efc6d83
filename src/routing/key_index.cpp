#include "src/routing/key_index.hpp"

#include "src/core/hash.hpp"

#include <openssl/crypto.h>

namespace cicadahatch::routing {

namespace {

bool is_equal_in_constant_time(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

key_index::key_index(const std::vector<team>& teams, std::uint64_t seed)
    : teams_(&teams), seed_(seed) {
    for (std::size_t index = 0; index < teams.size(); ++index) {
        for (std::size_t key = 0; key < teams[index].keys.size(); ++key) {
            by_hash_.emplace(
                stable_hash(teams[index].keys[key], seed_),
                position{static_cast<std::uint32_t>(index), static_cast<std::uint32_t>(key)});
        }
    }
}

const team* key_index::find(std::string_view key) const {
    const auto candidates = by_hash_.equal_range(stable_hash(key, seed_));
    for (auto candidate = candidates.first; candidate != candidates.second; ++candidate) {
        const team& owner = (*teams_)[candidate->second.team];
        if (is_equal_in_constant_time(owner.keys[candidate->second.key], key)) {
            return &owner;
        }
    }
    return nullptr;
}

} // namespace cicadahatch::routing
