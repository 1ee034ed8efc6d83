#pragma once

#include "src/metrics/registry.hpp"
#include "src/metrics/snapshot.hpp"

#include <string>

namespace cicadahatch::metrics {

/// Content type of render_prometheus().
inline constexpr const char* prometheus_content_type = "text/plain; version=0.0.4; charset=utf-8";

/// \returns the values and series in Prometheus' text format 0.0.4; seconds are the unit of time
[[nodiscard]] std::string render_prometheus(const registry& values, const snapshot& taken);

} // namespace cicadahatch::metrics
