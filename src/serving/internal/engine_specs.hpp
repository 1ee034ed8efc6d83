#pragma once

#include "src/scheduling/engine.hpp"
#include "src/scheduling/service.hpp"
#include "src/serving/backend_directory.hpp"

namespace cicadahatch::serving::internal {

/// \returns what the scheduler needs to know of an engine; defaults stand in for what the engine
/// has not reported yet
[[nodiscard]] scheduling::engine_spec to_spec(const backend_row& server);

/// \returns the engine's last load report
[[nodiscard]] scheduling::load_report to_report(const backend_row& server);

/// \returns targets and shares of the services that run a model
[[nodiscard]] std::vector<scheduling::service_spec> services_of(const service_map& services,
                                                                const model_id& model);

} // namespace cicadahatch::serving::internal
