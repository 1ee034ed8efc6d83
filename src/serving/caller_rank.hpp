#pragma once

#include "src/core/identifiers.hpp"
#include "src/http/message.hpp"
#include "src/settings/service.hpp"

namespace cicadahatch::serving {

/// \brief Decides a request's rank by its service's rule.
///
/// A caller may always ask for the deferrable rank. It gets the urgent one only by the service's
/// default or with a bearer token that the service lists.
[[nodiscard]] rank rank_of(const settings::service& asked, const http::request& received);

} // namespace cicadahatch::serving
