#pragma once

#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cicadahatch::scheduling::internal {

/// \brief A decode engine, ordered by its slot utilization when it was last examined.
struct decode_candidate {
    double slot_utilization = 0;
    std::size_t row = 0; ///< in cell_state::engines

    friend auto operator<=>(const decode_candidate&, const decode_candidate&) = default;
};

/// \brief Compact copy of the fields that the choice of a prefill engine needs, for cache locality.
struct prefill_candidate {
    std::size_t row = 0;         ///< in cell_state::engines
    time_point begins;           ///< earliest start of the next prefill
    time_point own_prefills_end; ///< predicted end of this cell's prefills
    std::uint32_t count = 0;     ///< this cell's prefills
    bool has_cache = false;
    double overhead_seconds = 0;
    double tokens_per_second = 0;
    double scale = 1;
};

/// \brief The engines that may accept a grant in one tick, so that a grant need not scan all
/// engines of the cell. Rows are indices into cell_state::engines.
///
/// Grants only add load, so an engine that is full remains full until the tick ends.
struct available_engines {
    std::vector<std::size_t> prefill_pool;        ///< available prefill engines
    std::vector<prefill_candidate> free_prefills; ///< prefill engines that may be free soon enough
    std::vector<decode_candidate> decodes;        ///< min-heap by utilization
};

/// \returns the engines that may accept a grant now
[[nodiscard]] available_engines find_available_engines(const cell_state& state,
                                                       const cell_policy& policy, time_point now);

/// \brief Removes the least utilized decode engine with a free slot from the heap.
[[nodiscard]] std::optional<decode_candidate> take_least_full(const cell_state& state,
                                                              available_engines& available);

/// \brief Returns engines to the heap.
void put_back(available_engines& available, const std::vector<decode_candidate>& taken);

/// \brief Updates the entry of a prefill engine after a reservation.
void update_prefill_candidate(available_engines& available, const cell_state& state,
                              const backend_id& prefill);

/// \returns whether the engine accepts prefills
[[nodiscard]] bool is_prefill_capable(const engine& instance) noexcept;

} // namespace cicadahatch::scheduling::internal
