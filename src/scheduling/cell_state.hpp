#pragma once

#include "src/core/identifiers.hpp"
#include "src/core/random.hpp"
#include "src/core/table.hpp"
#include "src/scheduling/constants.hpp"
#include "src/scheduling/engine.hpp"
#include "src/scheduling/grant.hpp"
#include "src/scheduling/output_length.hpp"
#include "src/scheduling/request.hpp"
#include "src/scheduling/service.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cicadahatch::scheduling {

/// \brief Predicted work of a set of requests.
struct work_amount {
    double prefill_seconds = 0; ///< of a prefill engine
    double slot_seconds = 0;    ///< of a decode slot
    std::size_t requests = 0;
};

/// \brief A queued request. The entry is stale if the request's serial number differs.
struct queue_entry {
    request_id request;
    std::uint64_t serial = 0;
};

/// \brief The requests of one team for one service, rank and level, in order of arrival.
struct team_queue {
    team_id id;
    double virtual_time = 0; ///< engine seconds received; never less than the level's
    work_amount waiting;
    std::deque<queue_entry> entries;
};

/// \brief The teams of one level of a service, served in order of virtual time.
struct level_queue {
    double team_virtual_time = 0; ///< of the last served team
    std::unordered_map<team_id, team_queue> teams;
    std::set<std::pair<double, team_id>>
        backlogged; ///< teams with waiting requests, by virtual time
    work_amount waiting;
    time_point last_arrival; ///< latest arrival of a request
    double usage = 0;        ///< moving average of the granted fraction of engine seconds
    double credit = 0;       ///< engine seconds that the floor has earned
};

/// \brief The levels of one service in one rank. The first level has priority, except over levels
/// whose floor has earned credit.
struct service_queue {
    service_id id;
    double share = 1;
    double virtual_time = 0; ///< engine seconds received divided by share
    double level_floor = 0;  ///< fraction of the cell guaranteed to each level after the first
    std::map<std::uint8_t, level_queue> levels;
};

/// \brief The services of one rank, served in order of virtual time.
struct rank_queue {
    double virtual_time = 0;
    double floor = 0;  ///< maximum of the services' floors
    double credit = 0; ///< engine seconds that the floor has earned
    double usage = 0;  ///< moving average of the granted fraction of engine seconds
    work_amount waiting;
    table<service_id, service_queue> services;
};

/// \brief Aggregate capacity of a cell, with the means of recent requests.
struct cell_capacity {
    bool is_plain = false;      ///< plain backend servers without prefill
    double prefill_engines = 0; ///< engines that can take prefills
    double decode_engines = 0;
    double slots = 0; ///< decode slots of available engines
    double free_slots = 0;
    double engine_seconds = 0;            ///< engine seconds per second
    double mean_slot_seconds = 0;         ///< of recently granted requests
    double mean_prompt_tokens = 0;        ///< of recently granted requests
    double mean_output_tokens = 0;        ///< expected, of recently granted requests
    double prefill_tokens_per_second = 0; ///< mean over engines, as observed
    double prefill_overhead_seconds = 0;
    double transfer_seconds_per_token = 0;
    double step_seconds = 0; ///< mean over engines, with all usable slots occupied
};

/// \brief Total work of all requests submitted since the cell was built, granted or not.
struct offered_work {
    double prefill_seconds = 0; ///< of prefill engines
    double slot_seconds = 0;    ///< of decode slots
};

/// \brief Work of refused requests whose callers were told when to retry.
struct retry_schedule {
    std::multimap<time_point, work_amount> due; ///< by retry time
    work_amount sum;
};

/// \brief The state that a cell's home keeps: plain tables that the systems operate on.
struct cell_state {
    cell_id id;
    model_id model;
    table<backend_id, engine> engines;
    table<link_id, link> links;
    table<service_id, service_spec> services;
    table<request_id, waiting_request> waiting;
    table<request_id, live_grant> grants;
    time_point next_timeout_check; ///< no grant times out before this
    std::array<rank_queue, rank_count> ranks;

    /// Refusals that the next tick returns.
    std::vector<refusal> pending_refusals;
    std::vector<request_id> arrivals;             ///< submitted since the last tick
    std::optional<time_point> registration_since; ///< set during the registration window
    std::set<daemon_id> unregistered;             ///< daemons that have not finished registration
    cell_capacity capacity;
    offered_work offered;
    work_amount demand; ///< work per second of urgent requests, averaged
    retry_schedule scheduled_retries;
    std::unordered_map<service_id, double>
        output_scale; ///< by service: observed over expected output
    std::unordered_map<service_id, length_model> lengths; ///< by service, of finished streams
    time_point last_tick;
    std::uint64_t next_grant_number = 1;
    std::uint64_t next_serial = 1;
    random_source random{0};
};

/// \returns the index of a rank in cell_state::ranks
[[nodiscard]] constexpr std::size_t rank_index(rank work_rank) noexcept {
    return static_cast<std::size_t>(work_rank);
}

} // namespace cicadahatch::scheduling
