#pragma once

#include "src/core/identifiers.hpp"
#include "src/serving/backend_directory.hpp"

#include <cstddef>
#include <vector>

namespace cicadahatch::serving {

/// \brief A cell's place and its engines.
struct cell_plan {
    cell_id id;
    model_id model;
    domain_id domain;
    std::vector<backend_row> engines;
};

/// \brief Cuts the engines of each model in each failure domain into cells.
///
/// Every daemon that knows the same backend servers comes to the same cells. Prefill and decode
/// engines are dealt out evenly, so that each cell has both as long as there are enough of them.
/// \param max_engines largest cell; at least two
[[nodiscard]] std::vector<cell_plan> lay_out_cells(const std::vector<backend_row>& backends,
                                                   std::size_t max_engines);

} // namespace cicadahatch::serving
