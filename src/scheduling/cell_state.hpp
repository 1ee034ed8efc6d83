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

/// \brief Predicted work, in seconds of an engine's prefill and of a decode slot.
struct work_amount {
    double prefill_seconds = 0;
    double slot_seconds = 0;
    std::size_t requests = 0;
};

/// \brief A request's place in a queue; void once the request's serial number differs.
struct queue_entry {
    request_id request;
    std::uint64_t serial = 0;
};

/// \brief The requests of one team for one service, rank and level, in order of arrival.
struct team_queue {
    team_id id;
    double virtual_time = 0; ///< engine seconds received, never behind the service's
    work_amount ahead;
    std::deque<queue_entry> entries;
};

/// \brief The teams of one level of a service, served in order of virtual time.
struct level_queue {
    double team_virtual_time = 0; ///< of the team served last
    std::unordered_map<team_id, team_queue> teams;
    std::set<std::pair<double, team_id>> backlogged; ///< teams with entries, by virtual time
    work_amount waiting;
    time_point asked_at; ///< when the latest of its requests arrived
    double usage = 0;    ///< average part of the cell's engine seconds granted to the level
    double credit = 0;   ///< engine seconds owed to the level by its floor
};

/// \brief The levels of one service in one rank; the first goes before the others but for what
/// their floors are owed.
struct service_queue {
    service_id id;
    double share = 1;
    double virtual_time = 0; ///< engine seconds received over share
    double level_floor = 0;  ///< part of the cell kept for each level behind the first
    std::map<std::uint8_t, level_queue> levels;
};

/// \brief The services of one rank, served in order of virtual time.
struct rank_queue {
    double virtual_time = 0;
    double floor = 0;  ///< largest of the services' floors
    double credit = 0; ///< engine seconds owed to the rank by its floor
    double usage = 0;  ///< average part of the cell's engine seconds granted to the rank
    work_amount waiting;
    table<service_id, service_queue> services;
};

/// \brief How the cell's work compares with what was predicted.
struct cell_capacity {
    bool is_plain = false;      ///< plain servers, which prefill nothing
    double prefill_engines = 0; ///< engines that can take prefills
    double decode_engines = 0;
    double slots = 0; ///< decode slots of engines that can take work
    double free_slots = 0;
    double engine_seconds = 0;            ///< engine seconds supplied in a second
    double mean_slot_seconds = 0;         ///< of the requests granted lately
    double mean_prompt_tokens = 0;        ///< of the requests granted lately
    double mean_output_tokens = 0;        ///< expected of them
    double prefill_tokens_per_second = 0; ///< of a typical engine, as observed
    double prefill_overhead_seconds = 0;
    double transfer_seconds_per_token = 0;
    double step_seconds = 0; ///< of a typical engine with all slots used that its memory allows
};

/// \brief Work that requests have brought since the cell was set up, whether it was granted or not.
struct offered_work {
    double prefill_seconds = 0; ///< of an engine
    double slot_seconds = 0;    ///< of decode slots
};

/// \brief Work of refused callers who were told when to come back.
struct promised_returns {
    std::multimap<time_point, work_amount> due; ///< by the time told
    work_amount sum;
};

/// \brief Everything that one cell's home knows. Plain tables; the systems run over them.
struct cell_state {
    cell_id id;
    model_id model;
    table<backend_id, engine> engines;
    table<link_id, link> links;
    table<service_id, service_spec> services;
    table<request_id, waiting_request> waiting;
    table<request_id, live_grant> grants;
    time_point grants_due_at; ///< no grant can be silent or stuck before this
    std::array<rank_queue, rank_count> ranks;

    /// Refusals decided by inputs; the next tick hands them out.
    std::vector<refusal> pending_refusals;
    std::vector<request_id> arrivals;             ///< submitted since the last tick
    std::optional<time_point> registration_since; ///< set while live grants are being registered
    std::set<daemon_id> unregistered;             ///< daemons that have not answered the new home
    cell_capacity capacity;
    offered_work offered;
    work_amount demand; ///< brought in a second by requests that can be on time, averaged
    promised_returns promised;
    std::unordered_map<service_id, double> output_scale;  ///< observed over expected output
    std::unordered_map<service_id, length_model> lengths; ///< of finished streams
    time_point last_tick;
    std::uint64_t next_grant_number = 1;
    std::uint64_t next_serial = 1;
    random_source random{0};
};

/// \returns the position of a rank in cell_state::ranks
[[nodiscard]] constexpr std::size_t rank_index(rank of) noexcept {
    return static_cast<std::size_t>(of);
}

} // namespace cicadahatch::scheduling
