#pragma once

#include "src/routing/route.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cicadahatch::routing {

/// \brief Finds the team that holds a key.
///
/// Keys are found by a seeded hash and compared in constant time, so the duration of a lookup
/// doesn't show how much of a guessed key is right.
class key_index {
public:
    key_index() = default;
    /// \param teams outlive this object
    /// \param seed secret of this process
    key_index(const std::vector<team>& teams, std::uint64_t seed);

    /// \returns the team, or null if no team holds the key
    [[nodiscard]] const team* find(std::string_view key) const;

private:
    /// Position of a key: the index of its team, and its own among the team's keys.
    struct position {
        std::uint32_t team = 0;
        std::uint32_t key = 0;
    };

    const std::vector<team>* teams_ = nullptr;
    std::uint64_t seed_ = 0;
    std::unordered_multimap<std::uint64_t, position> by_hash_;
};

} // namespace cicadahatch::routing
