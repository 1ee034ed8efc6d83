#pragma once

#include "src/balancing/backend_load.hpp"
#include "src/balancing/candidate_order.hpp"
#include "src/core/clock.hpp"
#include "src/core/random.hpp"
#include "src/discovery/directory.hpp"
#include "src/forwarding/connection_pool.hpp"
#include "src/forwarding/placement_service.hpp"
#include "src/forwarding/wire_protocol.hpp"
#include "src/logging/event_log.hpp"
#include "src/metrics/registry.hpp"
#include "src/metrics/request_recorder.hpp"
#include "src/routing/route_table.hpp"
#include "src/scheduling/retry_budget.hpp"

#include <unordered_map>

namespace cicadahatch::forwarding {

/// \brief Bounds that the forwarding path keeps.
struct forwarding_options {
    double retry_ratio = 0.1;
    double retry_extra = 10;
    std::size_t max_buffered_bytes = 32UL * 1024 * 1024; ///< bodies of all requests together
    balancing::ejection_policy ejection;
};

/// \brief Everything that the requests of a daemon share. Used by the event loop's thread alone.
struct gateway_state {
    asio::io_context& loop;
    const clock& time;
    const wire_protocol& wire;
    logging::event_log& log;
    metrics::registry& values;
    metrics::request_recorder& recorded;
    domain_id domain;
    forwarding_options options;

    routing::route_table_ptr table{}; ///< null until a configuration has been read
    discovery::directory backends{};
    balancing::load_table loads{};
    connection_pool connections{};
    std::unordered_map<service_id, scheduling::retry_budget> retries{};
    std::size_t daemon_count = 1;        ///< registered, this one among them
    std::vector<daemon_id> daemon_ids{}; ///< of them
    random_source random{0};
    std::size_t buffered_bytes = 0;
    std::size_t running_requests = 0;
    placement_service* placement = nullptr; ///< outlives the requests
    bool is_stopping = false;
    time_point last_stream_start{}; ///< while stopping: a stream taken later could not end in time
    time_point shutdown_deadline{}; ///< while stopping: when the process ends at the latest
};

/// \returns the retries that this daemon may send to a service
[[nodiscard]] scheduling::retry_budget& retries_of(gateway_state& state, const service_id& service);

/// \brief Fits the parts of the retry budgets to the number of daemons.
void set_daemon_count(gateway_state& state, std::size_t daemons);

/// \returns the backend servers of a service that this daemon may send new work to
[[nodiscard]] std::vector<const discovery::backend*> usable_backends(gateway_state& state,
                                                                     const service_id& service);

/// \returns the engines of a service that take work, but want none from this daemon now
[[nodiscard]] std::vector<backend_id> spared_backends(gateway_state& state,
                                                      const service_id& service);

/// \brief Takes in that a process of a backend server has said that it leaves.
/// \returns whether that is new
bool mark_leaving(gateway_state& state, const backend_id& id, incarnation started);

/// \returns whether a backend server takes new work from this daemon
[[nodiscard]] bool is_available(gateway_state& state, const discovery::backend& to);

/// \returns what a choice among backend servers depends on
[[nodiscard]] balancing::selection_context inputs_of(gateway_state& state);

} // namespace cicadahatch::forwarding
