#pragma once

#include "cicadahatch/metrics"
#include "cicadahatch/settings"

#include <vector>

namespace cicadahatch::tool {

/// \returns the objectives of both ranks of each service
[[nodiscard]] std::vector<metrics::burn_objective>
objectives_of(const std::vector<settings::service>& services);

} // namespace cicadahatch::tool
