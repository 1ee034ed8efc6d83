#pragma once

#include "src/metrics/burn_report.hpp"

#include <string>

namespace cicadahatch::metrics {

/// \returns the report as a table of plain text
[[nodiscard]] std::string render_text(const burn_report& report);

/// \returns the report in JSON; times in milliseconds
[[nodiscard]] std::string render_json(const burn_report& report);

/// \returns the report as one HTML page that needs nothing from elsewhere
[[nodiscard]] std::string render_html(const burn_report& report);

} // namespace cicadahatch::metrics
