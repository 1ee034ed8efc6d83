#include "src/settings/internal/gateway_fields.hpp"

namespace cicadahatch::settings::internal {

namespace {

using namespace std::chrono_literals;

constexpr double most_calls_per_second = 1'000'000.0;
constexpr std::uint32_t least_memory_mb = 16;
constexpr std::uint32_t most_memory_mb = 1U << 20U;
constexpr std::uint32_t least_descriptors = 64;
constexpr std::uint32_t most_descriptors = 1U << 20U;
constexpr double most_retry_ratio = 10.0;
constexpr std::uint32_t most_retry_extra = 1'000'000;
constexpr std::uint32_t most_usage_slack = 1'000'000'000;

codec<std::chrono::milliseconds> short_time() {
    return time<std::chrono::milliseconds>(1ms, 3600s, "ms");
}

field_table<store_access> store_fields() {
    return {
        make_field("address", &store_access::address, place(true), "where it listens",
                   presence::required),
        make_field("reads_per_second", &store_access::reads_per_second,
                   number(0.01, most_calls_per_second), "reads that it takes from all daemons"),
        make_field("writes_per_second", &store_access::writes_per_second,
                   number(0.01, most_calls_per_second), "writes that it takes from all daemons"),
    };
}

field_table<process_limits> limit_fields() {
    return {
        make_field("memory_mb", &process_limits::memory_mb,
                   integer(least_memory_mb, most_memory_mb, "MB"), "memory of the process"),
        make_field("descriptors", &process_limits::descriptors,
                   integer(least_descriptors, most_descriptors),
                   "open files and sockets; callers have at most half of those above 200 open"),
    };
}

field_table<installation_bounds> bound_fields() {
    return {
        make_field("drain_ms", &installation_bounds::drain, short_time(),
                   "time after which a draining backend server gets no more work"),
        make_field("configuration_ms", &installation_bounds::configuration, short_time(),
                   "time in which an accepted configuration is in force"),
        make_field("stabilization_ms", &installation_bounds::stabilization, short_time(),
                   "time after the end of a disturbance from which all bounds hold again"),
        make_field("shutdown_s", &installation_bounds::shutdown,
                   time<std::chrono::seconds>(1s, 3600s, "s"), "longest graceful shutdown"),
        make_field("retry_ratio", &installation_bounds::retry_ratio, number(0.0, most_retry_ratio),
                   "retries for each request of a service"),
        make_field("retry_extra", &installation_bounds::retry_extra, integer(0U, most_retry_extra),
                   "retries of a service in each window beside the ratio, from all daemons"),
        make_field("transit_ms", &installation_bounds::transit, short_time(),
                   "longest time of an event from its engine to the caller"),
        make_field("order_lease_ms", &installation_bounds::order_lease, short_time(),
                   "least time between orders of two daemons to one engine"),
        make_field("engines_check_fencing", &installation_bounds::engines_check_fencing, boolean(),
                   "whether engines refuse orders under old fencing numbers"),
        make_field("revocation_ms", &installation_bounds::revocation,
                   time<std::chrono::milliseconds>(0ms, 3600s, "ms"),
                   "time after which no request with a withdrawn key is admitted, whatever fails; "
                   "0: only the configuration that has been read counts"),
        make_field("usage_slack", &installation_bounds::usage_slack, integer(0U, most_usage_slack),
                   "units by which all daemons together may exceed a team's usage cap"),
    };
}

field_table<slow_start> pacing_fields() {
    return {
        make_field("enabled", &slow_start::enabled, boolean(),
                   "whether backend servers that are new or have recovered start slowly"),
    };
}

field_table<gateway_settings> make_fields() {
    return {
        make_field("name", &gateway_settings::name, name<daemon_id>(),
                   "name of the daemon, unique among all", presence::required),
        make_field("domain", &gateway_settings::domain, name<domain_id>(), "its failure domain",
                   presence::required),
        make_field("callers", &gateway_settings::callers, place(false), "where callers connect",
                   presence::required),
        make_field("readiness", &gateway_settings::readiness, place(false),
                   "where the balancer asks whether the daemon takes callers", presence::required),
        make_field("peers", &gateway_settings::peers, place(true),
                   "where other daemons connect, as they reach it", presence::required),
        make_field("registry", &gateway_settings::registry, or_empty(place(true)),
                   "where other daemons of the failure domain hear what this one reads from the "
                   "store; empty: every daemon reads for itself"),
        make_field("metrics", &gateway_settings::metrics, or_empty(place(false)),
                   "where the metrics page is; empty: none"),
        make_field("store", &gateway_settings::store, object(store_fields()),
                   "the key-value service", presence::required),
        make_field("limits", &gateway_settings::limits, object(limit_fields()), ""),
        make_field("bounds", &gateway_settings::bounds, object(bound_fields()), ""),
        make_field("pacing", &gateway_settings::pacing, object(pacing_fields()), ""),
    };
}

} // namespace

const field_table<gateway_settings>& gateway_fields() {
    static const field_table<gateway_settings> fields = make_fields();
    return fields;
}

} // namespace cicadahatch::settings::internal
