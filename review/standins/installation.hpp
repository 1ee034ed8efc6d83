#pragma once

#include "review/standins/client.hpp"
#include "review/standins/engine.hpp"
#include "review/standins/router.hpp"

#include <optional>
#include <vector>

namespace review {

inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_not_run = 2;

/// \brief Ends the daemon, and then this process: the stand-ins' threads still run.
[[noreturn]] void finish(router& machine, int code);

/// \returns whether the case shall cause its trouble
bool is_troubled();

/// \brief A route of the operator's configuration to the service of its name.
json plain_route(const std::string& service, const std::string& kind, int timeout_ms, int attempts);
json plain_service(const std::string& name);
json configuration(int version, const json& routes, const json& services);

/// \brief Waits until the service's requests are answered with success.
bool wait_until_served(record& notes, std::uint16_t port, const std::string& service);

} // namespace review
