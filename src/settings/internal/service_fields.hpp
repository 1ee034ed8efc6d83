#pragma once

#include "src/settings/internal/object.hpp"
#include "src/settings/service.hpp"

namespace cicadahatch::settings::internal {

/// \returns the fields of a service file
[[nodiscard]] const field_table<service>& service_fields();

/// \brief Adds a fault for each field of a service that contradicts another.
void check_service(const service& described, fault_list& faults);

} // namespace cicadahatch::settings::internal
