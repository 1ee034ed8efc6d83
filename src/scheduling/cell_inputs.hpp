#pragma once

#include "src/core/result.hpp"
#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"
#include "src/scheduling/error.hpp"

#include <vector>

namespace cicadahatch::scheduling {

/// \brief Replaces the list of engines. Known ones keep their state; one with a new incarnation
/// starts afresh; an absent one is leaving until its last grant has ended.
void set_engines(cell_state& state, const std::vector<engine_spec>& engines, time_point now);

/// \brief Replaces the list of links. Known ones keep their reservations.
void set_links(cell_state& state, const std::vector<link_spec>& links);

/// \brief Replaces the list of services. Waiting requests of absent ones are refused.
void set_services(cell_state& state, const std::vector<service_spec>& services);

/// \brief Queues a request. The next tick grants or refuses it, or it goes on waiting.
/// \returns errc::duplicate_request, unknown_service or too_large at once
result<void> submit(cell_state& state, const cell_policy& policy, request_spec spec,
                    time_point now);

/// \brief Takes back a request whose caller left, whether it waits or holds a grant.
/// \returns the grant that was released, to be cancelled at its engines
std::optional<grant> withdraw(cell_state& state, const request_id& request, time_point now);

/// \brief Takes back everything of a daemon that died.
/// \returns the released grants, to be cancelled at their engines
std::vector<grant> withdraw_owner(cell_state& state, const daemon_id& owner, time_point now);

/// \brief Notes a sign of life of a daemon; its grants are not reaped for a while.
void record_owner_heartbeat(cell_state& state, const daemon_id& owner, time_point now);

/// \brief A prefill is done: its engine is free for the next one.
/// \param cached_tokens what the engine says it took from its cache
void prefill_finished(cell_state& state, const request_id& request, std::uint32_t cached_tokens,
                      time_point now);

/// \brief The decode engine sent the first token.
void first_token(cell_state& state, const request_id& request, time_point now);

/// \brief A granted request has ended; its reservations are free. An engine that failed it gets
/// no new work until it next reports.
/// \param output_tokens tokens sent, which corrects predictions; zero if not known
void release(cell_state& state, const cell_policy& policy, const request_id& request, outcome ended,
             std::uint32_t output_tokens, time_point now);

/// \brief Takes in a load report. Older than the last one or of another incarnation: ignored.
void ingest_load(cell_state& state, const load_report& report, time_point now);

/// \brief Takes in what an engine's streams use, so that those of other homes, and those that go
/// on after their connection was lost, count in the look ahead. Lapses after some seconds.
void ingest_usage(cell_state& state, const engine_usage& usage, time_point now);

/// \brief Takes in cache events. After a gap the engine's view is empty until a snapshot comes.
/// \returns false if a snapshot is wanted
bool ingest_cache_events(cell_state& state, const cell_policy& policy,
                         const cache_event_batch& batch);

/// \brief The engine gets no new work from now on, until a new incarnation of it is listed.
void mark_leaving(cell_state& state, const backend_id& backend);

/// \brief Holds new work back from an engine that is cut off or drained, or ends that. Unlike
/// leaving, it can be taken back for the same incarnation.
void set_paused(cell_state& state, const backend_id& backend, bool is_paused);

/// \brief Begins the registration window of a new home. Nothing is granted before it ends.
/// \param expected the daemons that are to register; with all answers the window ends early
void begin_registration(cell_state& state, const std::vector<daemon_id>& expected, time_point now);

/// \brief Takes over a grant of the former home. One known already is left as it is.
void register_grant(cell_state& state, const live_grant& held, time_point now);

/// \brief The daemon has registered all of its grants.
void finish_registration(cell_state& state, const daemon_id& owner);

} // namespace cicadahatch::scheduling
