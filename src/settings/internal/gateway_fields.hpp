#pragma once

#include "src/settings/gateway_settings.hpp"
#include "src/settings/internal/object.hpp"

namespace cicadahatch::settings::internal {

/// \returns the fields of a gateway's settings file
[[nodiscard]] const field_table<gateway_settings>& gateway_fields();

} // namespace cicadahatch::settings::internal
