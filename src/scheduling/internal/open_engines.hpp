#pragma once

#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cicadahatch::scheduling::internal {

/// \brief A decode engine by the part of its slots that was in use when it was looked at.
struct open_decode {
    double fullness = 0;
    std::size_t row = 0; ///< in cell_state::engines

    friend auto operator<=>(const open_decode&, const open_decode&) = default;
};

/// \brief What a choice among prefill engines needs of one, in few bytes beside each other.
struct open_prefill {
    std::size_t row = 0;     ///< in cell_state::engines
    time_point begins;       ///< when a next prefill could begin
    time_point own_until;    ///< end of this cell's prefills there
    std::uint32_t count = 0; ///< of these prefills
    bool has_cache = false;
    double overhead_seconds = 0;
    double tokens_per_second = 0;
    double scale = 1;
};

/// \brief The engines that may take a grant within one tick, so that a grant need not look at all
/// engines of the cell. Rows are those of cell_state::engines.
///
/// Grants only add to an engine's use, so what is closed stays closed until the tick ends.
struct open_engines {
    std::vector<std::size_t> prefill_pool;   ///< prefill engines that take work
    std::vector<open_prefill> free_prefills; ///< of these, the ones that may be free soon enough
    std::vector<open_decode> decodes;        ///< a heap, the least full on top
};

/// \returns the engines that may take a grant now
[[nodiscard]] open_engines find_open_engines(const cell_state& state, const cell_policy& policy,
                                             time_point now);

/// \brief Takes the least full decode engine that still has a free slot from the heap.
[[nodiscard]] std::optional<open_decode> take_least_full(const cell_state& state,
                                                         open_engines& open);

/// \brief Puts engines back that were taken.
void put_back(open_engines& open, const std::vector<open_decode>& taken);

/// \brief Takes in what a grant has reserved on a prefill engine.
void note_reserved(open_engines& open, const cell_state& state, const backend_id& prefill);

/// \returns whether the engine can take prefills
[[nodiscard]] bool is_prefill_capable(const engine& on) noexcept;

} // namespace cicadahatch::scheduling::internal
