#pragma once

#include "cicadahatch/settings"

#include <string>
#include <vector>

namespace cicadahatch::tool {

/// \brief Collects and checks the service files of directories and files.
/// \returns the services; a name that stands in two files is a fault
[[nodiscard]] settings::parsed<std::vector<settings::service>>
collect_services(const std::vector<std::string>& places);

} // namespace cicadahatch::tool
