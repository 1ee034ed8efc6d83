#include "src/settings/internal/daemon_fields.hpp"

#include "src/settings/constants.hpp"

namespace cicadahatch::settings::internal {

namespace {

using namespace std::chrono_literals;

constexpr int most_threads = 4096;
constexpr std::size_t max_file_name_bytes = 4096;
constexpr std::size_t max_secret_bytes = 256;
constexpr std::size_t max_places = 64;
constexpr std::uint64_t least_body_bytes = 1024;
constexpr std::uint64_t most_body_bytes = 64UL * 1024 * 1024;
constexpr double most_weight = 100.0;
constexpr std::uint32_t most_engines_per_cell = 256;
constexpr int most_log_level = 2;
constexpr double least_loads_per_minute = 0.01;
constexpr double most_loads_per_minute = 100'000.0;
/// A second of the lease is never used for sending.
constexpr std::chrono::seconds shortest_order_lease = 2s;

codec<std::string> file_name() {
    return or_empty(text(1, max_file_name_bytes));
}

codec<std::string> secret() {
    return or_empty(text(min_secret_bytes, max_secret_bytes));
}

field_table<listener> listener_fields(field<listener> address) {
    return {
        std::move(address),
        make_field("threads", &listener::threads, integer(1, most_threads),
                   "worker threads; each open connection holds one"),
        make_field("tls_certificate", &listener::tls_certificate, file_name(),
                   "PEM file with certificate and private key; empty: no TLS"),
        make_field("tls_peer_ca", &listener::tls_peer_ca, file_name(),
                   "PEM file; if set, whoever connects must show a certificate of it; goes with "
                   "`tls_certificate`"),
    };
}

codec<listener> needed_listener() {
    return object(listener_fields(make_field("address", &listener::address, place(false),
                                             "where it listens; port 0 picks a free one",
                                             presence::required)));
}

codec<listener> optional_listener() {
    return object(listener_fields(
        make_field("address", &listener::address, or_empty(place(false)),
                   "where it listens; port 0 picks a free one; empty: no listener")));
}

field_table<policy_weights> weight_fields() {
    const auto weight = number(0.0, most_weight);
    return {
        make_field("goodput", &policy_weights::goodput, weight,
                   "weight of requests within targets"),
        make_field("wasted_prefill", &policy_weights::wasted_prefill, weight,
                   "weight of prefill work thrown away"),
        make_field("urgent_service", &policy_weights::urgent_service, weight,
                   "weight of urgent requests within targets"),
        make_field("rest_in_flood", &policy_weights::rest_in_flood, weight,
                   "weight of what the other work keeps in a flood"),
    };
}

field_table<order_rules> order_fields() {
    return {
        make_field("loads_per_minute", &order_rules::loads_per_minute,
                   number(least_loads_per_minute, most_loads_per_minute),
                   "loads that the weight store takes from all cells together; each cell gets an "
                   "equal part"),
        make_field("lease_s", &order_rules::lease,
                   time<std::chrono::seconds>(shortest_order_lease, 600s, "s"),
                   "lease of the daemon that issues a cell's orders"),
        make_field("lease_idle_s", &order_rules::lease_idle,
                   time<std::chrono::seconds>(0s, 24h, "s"),
                   "time without orders after which the lease is given up"),
        make_field("longest_order_s", &order_rules::longest_order,
                   time<std::chrono::seconds>(1s, 1h, "s"),
                   "longest time that an engine takes to carry out an order"),
        make_field("connection_idle_s", &order_rules::connection_idle,
                   time<std::chrono::seconds>(1s, 600s, "s"),
                   "time after which every engine closes a silent connection"),
        make_field("pressure_settled_s", &order_rules::pressure_settled,
                   time<std::chrono::seconds>(1s, 1h, "s"),
                   "how long a pool must be pressed before an engine changes its role"),
        make_field("role_change_spacing_s", &order_rules::role_change_spacing,
                   time<std::chrono::seconds>(1s, 24h, "s"),
                   "least time between two changes of role in a cell, also after a change of home"),
    };
}

field_table<daemon_settings> place_fields() {
    return {
        make_field("name", &daemon_settings::name, name<daemon_id>(),
                   "name of the daemon, unique among all", presence::required),
        make_field("domain", &daemon_settings::domain, name<domain_id>(), "its failure domain",
                   presence::required),
        make_field("callers", &daemon_settings::callers, needed_listener(), "", presence::required),
        make_field("admin", &daemon_settings::admin, needed_listener(), "", presence::required),
        make_field("peers", &daemon_settings::peers, optional_listener(), ""),
        make_field("advertised_peers", &daemon_settings::advertised_peers, or_empty(place(true)),
                   "where other daemons reach the `peers` listener behind address translation; "
                   "empty: at its own address"),
        make_field("peer_secret", &daemon_settings::peer_secret, secret(),
                   "secret shared by all daemons; required with a `peers` listener"),
        make_field(
            "admin_token", &daemon_settings::admin_token, secret(),
            "bearer token of the admin listener; required unless that listens on loopback only"),
        make_field("platform_endpoints", &daemon_settings::platform_endpoints,
                   list(place(true), 1, max_places), "key-value service of the platform",
                   presence::required),
        make_field("seed_peers", &daemon_settings::seed_peers, list(place(true), 0, max_places),
                   "peers to ask first, beside the platform's list of VMs"),
    };
}

field_table<daemon_settings> behaviour_fields() {
    return {
        make_field("max_body_bytes", &daemon_settings::max_body_bytes,
                   integer<std::uint64_t>(least_body_bytes, most_body_bytes, "bytes"),
                   "largest accepted body of a caller's request"),
        make_field("reserved_workers", &daemon_settings::reserved_workers, integer(1, most_threads),
                   "callers' workers kept for refusals and at-most-once requests; below "
                   "`callers.threads`; slow senders are closed to keep them free"),
        make_field("sends_interim_responses", &daemon_settings::sends_interim_responses, boolean(),
                   "send `102 Processing` to a waiting caller, which shows when it has left"),
        make_field("receive_timeout_ms", &daemon_settings::receive_timeout,
                   time<std::chrono::milliseconds>(100ms, 600s, "ms"),
                   "longest time in which the head of a request, and then its body, has to arrive"),
        make_field("shutdown_bound_ms", &daemon_settings::shutdown_bound,
                   time<std::chrono::milliseconds>(100ms, 3600s, "ms"),
                   "longest graceful shutdown"),
        make_field("stall_timeout_ms", &daemon_settings::stall_timeout,
                   time<std::chrono::milliseconds>(50ms, 60s, "ms"),
                   "silence of an engine's stream after which it is resumed elsewhere; at most "
                   "`shutdown_bound_ms`"),
        make_field("kv_retention_ms", &daemon_settings::kv_retention,
                   time<std::chrono::milliseconds>(10ms, 60s, "ms"),
                   "how long an engine keeps a finished prefill"),
        make_field("max_engines_per_cell", &daemon_settings::max_engines_per_cell,
                   integer<std::uint32_t>(2, most_engines_per_cell), "largest cell"),
        make_field("weights", &daemon_settings::weights, object(weight_fields()), ""),
        make_field("orders", &daemon_settings::orders, object(order_fields()), ""),
        make_field("log_directory", &daemon_settings::log_directory, file_name(),
                   "directory of the log files; empty: standard error"),
        make_field("log_level", &daemon_settings::log_level, integer(0, most_log_level),
                   "least severity logged: 0 info, 1 warning, 2 error"),
    };
}

field_table<daemon_settings> make_fields() {
    field_table<daemon_settings> fields = place_fields();
    for (field<daemon_settings>& entry : behaviour_fields()) {
        fields.push_back(std::move(entry));
    }
    return fields;
}

} // namespace

const field_table<daemon_settings>& daemon_fields() {
    static const field_table<daemon_settings> fields = make_fields();
    return fields;
}

} // namespace cicadahatch::settings::internal
