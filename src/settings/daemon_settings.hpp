#pragma once

#include "src/core/identifiers.hpp"
#include "src/settings/field_error.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cicadahatch::settings {

/// \brief One listener of the daemon.
struct listener {
    std::string address;         ///< "host:port"; port 0 picks a free one
    int threads = 64;            ///< worker threads; each open connection holds one
    std::string tls_certificate; ///< PEM with certificate and key; empty: no TLS
    std::string tls_peer_ca;     ///< PEM; if set, peers must show a certificate of it
};

/// \brief How the cells decide: weights of what the operators value.
struct policy_weights {
    double goodput = 1.0;
    double wasted_prefill = 1.0;
    double urgent_service = 1.0;
    double rest_in_flood = 1.0;
};

/// \brief Rates and times of the orders to engines. All daemons use the same.
struct order_rules {
    double loads_per_minute = 60.0;            ///< what the weight store takes from all cells
    std::chrono::seconds lease{15};            ///< of the daemon that issues a cell's orders
    std::chrono::seconds lease_idle{60};       ///< without orders, after which it is given up
    std::chrono::seconds longest_order{120};   ///< from its arrival until it is carried out
    std::chrono::seconds connection_idle{10};  ///< after which engines close a silent connection
    std::chrono::seconds pressure_settled{30}; ///< for which a pool is pressed before it grows
    std::chrono::seconds role_change_spacing{120}; ///< between two changes of role in a cell
};

/// \brief Settings of one daemon.
struct daemon_settings {
    daemon_id name;
    domain_id domain;
    listener callers;
    listener admin;
    listener peers;
    std::string advertised_peers; ///< "host:port" told to other daemons; empty: that of peers
    std::string peer_secret;      ///< shared secret between daemons; empty only without a listener
    std::string admin_token;      ///< bearer token of the admin listener; empty: none
    std::vector<std::string> platform_endpoints; ///< "host:port" of the key-value service
    std::vector<std::string> seed_peers; ///< "host:port" of peers, beside the platform's VM list
    std::uint64_t max_body_bytes = 1048576;
    int reserved_workers = 8; ///< callers' workers kept for refusals and at-most-once requests
    bool sends_interim_responses = true; ///< "102 Processing" shows when a waiting caller leaves
    std::chrono::milliseconds receive_timeout{10'000}; ///< for a request's head, and for its body
    std::chrono::milliseconds shutdown_bound{30'000};  ///< longest graceful shutdown
    std::chrono::milliseconds stall_timeout{2'000};    ///< stream silence after which it is resumed
    std::chrono::milliseconds kv_retention{800};       ///< how long an engine keeps a prefill
    std::uint32_t max_engines_per_cell = 32;
    policy_weights weights;
    order_rules orders;
    std::string log_directory; ///< empty: standard error
    int log_level = 0;         ///< glog severity: 0 info, 1 warning, 2 error
};

/// \brief Parses and checks a daemon settings file.
/// \param source name used in the faults
[[nodiscard]] parsed<daemon_settings> parse_daemon_settings(std::string_view text,
                                                            std::string_view source);

} // namespace cicadahatch::settings
