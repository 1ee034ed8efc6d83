#pragma once

#include "cicadahatch/settings"

#include <string>

namespace cicadahatch::test_support {

/// \returns a sound model service with one prefill and one decode engine
[[nodiscard]] settings::service sample_model_service(const std::string& name = "pattern");

/// \returns a sound plain service whose POST requests run at most once
[[nodiscard]] settings::service sample_plain_service(const std::string& name = "portal");

} // namespace cicadahatch::test_support
