#pragma once

#include "src/balancing/backend_load.hpp"
#include "src/balancing/candidate_order.hpp"
#include "src/core/clock.hpp"
#include "src/core/random.hpp"
#include "src/discovery/configuration_age.hpp"
#include "src/discovery/directory.hpp"
#include "src/forwarding/connection_pool.hpp"
#include "src/forwarding/memory_account.hpp"
#include "src/forwarding/placement_service.hpp"
#include "src/forwarding/shutdown_schedule.hpp"
#include "src/forwarding/usage_service.hpp"
#include "src/forwarding/wire_protocol.hpp"
#include "src/logging/event_log.hpp"
#include "src/metrics/registry.hpp"
#include "src/metrics/request_recorder.hpp"
#include "src/routing/route_table.hpp"
#include "src/scheduling/daemon_count.hpp"
#include "src/scheduling/retry_budget.hpp"

#include <functional>
#include <unordered_map>

namespace cicadahatch::forwarding {

/// \brief Retry, buffering and ejection limits of the forwarding path.
struct forwarding_options {
    double retry_ratio = 0.1;
    double retry_extra = 10;
    balancing::ejection_policy ejection;
    /// Units by which all daemons together may exceed a team's usage cap.
    double usage_slack = 0;
    bool paces_servers = false; ///< servers that are new or have recovered start slowly
};

/// \brief State shared by all requests of a daemon. Accessed by the event loop's thread only.
struct gateway_state {
    asio::io_context& loop;
    const clock& time;
    const clock& lease_time; ///< keeps running while the VM is suspended
    const wire_protocol& wire;
    logging::event_log& log;
    metrics::registry& metric_registry;
    metrics::request_recorder& request_recorder;
    domain_id domain;
    forwarding_options options;

    routing::route_table_ptr table{}; ///< null until the first configuration has been read
    discovery::configuration_age configuration_age{};
    discovery::directory backends{};
    balancing::load_table loads{};
    connection_pool connections{};
    std::unordered_map<service_id, scheduling::retry_budget> retry_budgets{};
    scheduling::daemon_count daemons{};  ///< that share limits, including this one
    std::vector<daemon_id> daemon_ids{}; ///< identifiers of the registered daemons
    std::unordered_map<daemon_id, domain_id> daemon_domains{}; ///< of the registered daemons
    random_source random{0};
    memory_account memory{};
    /// Ends the connections whose requests were evicted while they were being read.
    std::unordered_map<reading_id, std::function<void()>> eviction_handlers{};
    std::size_t running_requests = 0;
    placement_service* placements = nullptr; ///< outlives the requests
    usage_service* usage = nullptr;          ///< null: usage is not limited; outlives the requests
    bool is_stopping = false;
    shutdown_schedule shutdown{}; ///< valid while is_stopping
};

/// \brief Ends the connections of evicted readings.
/// \returns whether the memory was granted
[[nodiscard]] bool apply_grant(gateway_state& state, const memory_grant& grant);

/// \brief Makes room for another connection by ending one whose request has stalled.
/// \returns whether one was ended
[[nodiscard]] bool end_stalled_caller(gateway_state& state);

/// \brief Memory held for a request in progress or a response, until the end of the scope, also if
/// an exception ends it.
class held_memory {
public:
    held_memory(gateway_state& state, std::size_t bytes) : state_(state), bytes_(bytes) {}
    held_memory(const held_memory&) = delete;
    held_memory& operator=(const held_memory&) = delete;
    held_memory(held_memory&&) = delete;
    held_memory& operator=(held_memory&&) = delete;
    ~held_memory() { release(state_.memory, bytes_); }

private:
    gateway_state& state_;
    std::size_t bytes_;
};

/// \returns this daemon's share of the retry budget of a service
[[nodiscard]] scheduling::retry_budget& retry_budget_of(gateway_state& state,
                                                        const service_id& service);

/// \brief Adjusts the shares of the retry budgets to the number of daemons and to the options.
void update_retry_budgets(gateway_state& state);

/// \brief Records the number of registered daemons and adjusts this daemon's shares to it.
void record_registered_daemons(gateway_state& state, std::size_t registered);

/// \brief Lets a smaller number of daemons take effect when it is due. Called several times a
/// second.
void tick_daemon_count(gateway_state& state);

/// \returns the backend servers of a service that accept new work from this daemon
[[nodiscard]] std::vector<const discovery::backend*> available_backends(gateway_state& state,
                                                                        const service_id& service);

/// \returns the engines of a service that are open but accept no request from this daemon now
[[nodiscard]] std::vector<backend_id> unavailable_backends(gateway_state& state,
                                                           const service_id& service);

/// \brief Marks a backend server process that has announced that it is leaving.
/// \returns whether it was not marked before
bool mark_leaving(gateway_state& state, const backend_id& id, incarnation started);

/// \brief Counts a request to a backend server against the request limit that it has stated.
void charge_request_limit(gateway_state& state, const discovery::backend& target);

/// \returns the time until a backend server may accept new work from this daemon: the end of its
/// backoff, and the next request that its limit allows; zero if it accepts work now
[[nodiscard]] duration time_until_available(gateway_state& state, const discovery::backend& target);

/// \returns whether a backend server accepts new work from this daemon
[[nodiscard]] bool is_available(gateway_state& state, const discovery::backend& target);

/// \returns the inputs for choosing among backend servers
[[nodiscard]] balancing::selection_context make_selection_context(gateway_state& state);

} // namespace cicadahatch::forwarding
