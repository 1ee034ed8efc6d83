#pragma once

#include "src/forwarding/gateway_state.hpp"
#include "src/forwarding/request_context.hpp"

namespace cicadahatch::forwarding {

/// \brief Whether a request is admitted by its key.
enum class access : std::uint8_t {
    granted,
    unknown_key, ///< the key is missing or belongs to no team
    outdated     ///< keys may have been withdrawn since the configuration was last confirmed
};

/// \brief The decision on a request's key.
struct access_decision {
    access result = access::granted;
    const routing::team* owner = nullptr; ///< the caller's team; null if unknown
};

/// \brief Checks the key of a request that has just arrived. Requires a configuration.
[[nodiscard]] access_decision check_access(const gateway_state& state, const routing::route& route,
                                           const request_metadata& metadata);

/// \brief Ends a request if the newest configuration has withdrawn its key. Called right before
/// each send, as requests may wait or be sent again.
void end_if_access_withdrawn(gateway_state& state, request_context& request);

} // namespace cicadahatch::forwarding
