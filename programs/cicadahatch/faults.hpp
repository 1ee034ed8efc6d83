#pragma once

#include "cicadahatch/settings"
#include "programs/cicadahatch/terminal.hpp"

#include <vector>

namespace cicadahatch::tool {

/// \brief Prints faults: one a line, or as JSON.
void print_faults(const terminal& to, const std::vector<settings::field_error>& faults);

} // namespace cicadahatch::tool
