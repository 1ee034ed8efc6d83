#pragma once

#include "src/settings/daemon_settings.hpp"
#include "src/settings/internal/object.hpp"

namespace cicadahatch::settings::internal {

/// \returns the fields of a daemon settings file
[[nodiscard]] const field_table<daemon_settings>& daemon_fields();

/// \brief Adds a fault for each field of daemon settings that contradicts another.
void check_daemon_settings(const daemon_settings& described, fault_list& faults);

} // namespace cicadahatch::settings::internal
