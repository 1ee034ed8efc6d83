#pragma once

#include "bench/replay/world.hpp"
#include "src/scheduling/cell_state.hpp"

namespace cicadahatch::replay {

[[nodiscard]] backend_id prefill_id(std::size_t number);
[[nodiscard]] backend_id decode_id(std::size_t number);
/// \returns the number in the name of an engine
[[nodiscard]] std::size_t engine_number(const backend_id& id);

/// \returns the row among the prefill engines, also of a decode engine that has changed its role
[[nodiscard]] std::size_t prefill_row_of(const world& in, const backend_id& id);

/// \returns the link of a prefill engine
[[nodiscard]] scheduling::link_spec link_of(const backend_id& prefill);

[[nodiscard]] scheduling::engine_spec prefill_spec(const backend_id& id);
[[nodiscard]] scheduling::engine_spec decode_spec(const backend_id& id);

/// \returns the cell of one failure domain
/// \param first number of the domain's first decode engine
[[nodiscard]] scheduling::cell_state make_cell(const deployment& of, std::size_t domain,
                                               std::size_t first);

} // namespace cicadahatch::replay
