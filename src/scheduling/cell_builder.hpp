#pragma once

#include "src/scheduling/cell_state.hpp"

#include <vector>

namespace cicadahatch::scheduling {

/// \brief Builds a cell_state.
/// \sa begin_registration()
class cell_builder {
public:
    cell_builder& id(cell_id value);
    cell_builder& model(model_id value);
    cell_builder& engines(std::vector<engine_spec> value);
    cell_builder& links(std::vector<link_spec> value);
    cell_builder& services(std::vector<service_spec> value);

    /// \returns a cell without requests
    /// \param now start time of the cell
    [[nodiscard]] cell_state build(time_point now) const;

private:
    cell_id id_;
    model_id model_;
    std::vector<engine_spec> engines_;
    std::vector<link_spec> links_;
    std::vector<service_spec> services_;
};

} // namespace cicadahatch::scheduling
