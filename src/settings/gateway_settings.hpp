#pragma once

#include "src/core/identifiers.hpp"
#include "src/settings/field_error.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cicadahatch::settings {

/// \brief The key-value service and what it takes from all daemons together.
struct store_access {
    std::string address; ///< "host:port"
    double reads_per_second = 100;
    double writes_per_second = 20;
};

/// \brief What the process may use.
struct process_limits {
    std::uint32_t memory_mb = 128;
    std::uint32_t descriptors = 1024;
};

/// \brief Bounds that the operator states for the whole installation.
struct installation_bounds {
    std::chrono::milliseconds drain{2000};         ///< until a draining server gets no more work
    std::chrono::milliseconds configuration{2000}; ///< until an accepted version is in force
    std::chrono::milliseconds stabilization{3000}; ///< from a disturbance until all bounds hold
    std::chrono::seconds shutdown{8};              ///< from SIGTERM to the end
    double retry_ratio = 0.1;                      ///< retries for each request of a service
    std::uint32_t retry_extra = 10;                ///< beside them in each window, all daemons
    std::chrono::milliseconds transit{120};        ///< of an event from its engine to the caller
    std::chrono::milliseconds order_lease{3000};   ///< between orders of two daemons to one engine
    bool engines_check_fencing = false;      ///< engines refuse orders under old fencing numbers
    std::chrono::milliseconds revocation{0}; ///< until a withdrawn key is refused; zero: no bound
    /// Units by which all daemons together may exceed a team's usage cap.
    std::uint32_t usage_slack = 0;
};

/// \brief Slow start of servers that are new or have recovered.
struct slow_start {
    bool enabled = false;
};

/// \brief Settings of a daemon that serves the backend servers registered in the store.
struct gateway_settings {
    daemon_id name;
    domain_id domain;
    std::string callers;   ///< "host:port" where callers connect
    std::string readiness; ///< "host:port" where the balancer asks
    std::string peers;     ///< "host:port" where other daemons connect
    std::string registry;  ///< "host:port" where this daemon tells others what it reads
    std::string metrics;   ///< "host:port" of the metrics page
    store_access store;
    process_limits limits;
    installation_bounds bounds;
    slow_start pacing;
};

/// \brief Parses and checks a gateway's settings file.
/// \param source name used in the faults
[[nodiscard]] parsed<gateway_settings> parse_gateway_settings(std::string_view text,
                                                              std::string_view source);

} // namespace cicadahatch::settings
