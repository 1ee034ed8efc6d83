#include "src/settings/internal/daemon_fields.hpp"

#include "src/http/endpoint.hpp"

#include <set>

namespace cicadahatch::settings::internal {

namespace {

bool is_loopback(const std::string& address) {
    const auto parsed = http::parse_endpoint(address);
    return parsed && (parsed->host.starts_with("127.") || parsed->host == "::1");
}

void check_listener(const listener& described, const std::string& path, fault_list& faults) {
    if (!described.tls_peer_ca.empty() && described.tls_certificate.empty()) {
        faults.add(path + ".tls_peer_ca", errc::contradictory, "empty without tls_certificate");
    }
}

/// Daemons check each other's certificates in both directions.
void check_peers(const listener& described, fault_list& faults) {
    if (!described.tls_certificate.empty() && described.tls_peer_ca.empty()) {
        faults.add("peers.tls_certificate", errc::contradictory, "empty without tls_peer_ca");
    }
}

void check_distinct_addresses(const daemon_settings& described, fault_list& faults) {
    std::set<std::string> taken;
    const auto take = [&](const std::string& address, const std::string& path) {
        const auto parsed = http::parse_endpoint(address);
        const bool is_fixed = parsed && parsed->port != 0;
        if (is_fixed && !taken.insert(address).second) {
            faults.add(path, errc::contradictory, "an address that no other listener has");
        }
    };
    take(described.callers.address, "callers.address");
    take(described.admin.address, "admin.address");
    take(described.peers.address, "peers.address");
}

void check_secrets(const daemon_settings& described, fault_list& faults) {
    if (!described.peers.address.empty() && described.peer_secret.empty()) {
        faults.add("peer_secret", errc::missing_field, "16 to 256 bytes with a peers listener");
    }
    if (described.peers.address.empty() && !described.advertised_peers.empty()) {
        faults.add("advertised_peers", errc::contradictory, "empty without a peers listener");
    }
    if (!is_loopback(described.admin.address) && described.admin_token.empty()) {
        faults.add("admin_token", errc::missing_field,
                   "16 to 256 bytes unless the admin listener is on loopback");
    }
    if (!described.peer_secret.empty() && described.peer_secret == described.admin_token) {
        faults.add("admin_token", errc::contradictory, "another text than peer_secret");
    }
}

void check_bounds(const daemon_settings& described, fault_list& faults) {
    if (described.reserved_workers >= described.callers.threads) {
        faults.add("reserved_workers", errc::contradictory,
                   "less than callers.threads, which is " +
                       std::to_string(described.callers.threads));
    }
    if (described.stall_timeout > described.shutdown_bound) {
        faults.add("stall_timeout_ms", errc::contradictory,
                   "at most shutdown_bound_ms, which is " +
                       std::to_string(described.shutdown_bound.count()));
    }
    const policy_weights& weights = described.weights;
    if (weights.goodput + weights.wasted_prefill + weights.urgent_service + weights.rest_in_flood <=
        0.0) {
        faults.add("weights", errc::contradictory, "at least one weight above 0");
    }
}

} // namespace

void check_daemon_settings(const daemon_settings& described, fault_list& faults) {
    check_listener(described.callers, "callers", faults);
    check_listener(described.admin, "admin", faults);
    check_listener(described.peers, "peers", faults);
    check_peers(described.peers, faults);
    check_distinct_addresses(described, faults);
    check_secrets(described, faults);
    check_bounds(described, faults);
}

} // namespace cicadahatch::settings::internal
