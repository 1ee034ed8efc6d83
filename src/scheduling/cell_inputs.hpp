#pragma once

#include "src/core/result.hpp"
#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"
#include "src/scheduling/error.hpp"

#include <vector>

namespace cicadahatch::scheduling {

/// \brief Replaces the list of engines. Known engines keep their state. An engine with a new
/// incarnation is reset. An engine that is no longer listed is leaving until its last grant ends.
void set_engines(cell_state& state, const std::vector<engine_spec>& engines, time_point now);

/// \brief Replaces the list of links. Known links keep their reservations.
void set_links(cell_state& state, const std::vector<link_spec>& links);

/// \brief Replaces the list of services. Waiting requests of services that are no
/// longer listed are refused.
void set_services(cell_state& state, const std::vector<service_spec>& services);

/// \brief Queues a request. The next tick grants it, refuses it or leaves it waiting.
/// \returns errc::duplicate_request, unknown_service or too_large if the request is not queued
result<void> submit(cell_state& state, const cell_policy& policy, request_spec spec,
                    time_point now);

/// \brief Removes a request whose caller disconnected, whether it is waiting or granted.
/// \returns the released grant, if any; the caller cancels it at its engines
std::optional<grant> withdraw(cell_state& state, const request_id& request, time_point now);

/// \brief Removes all requests, grants and pending refusals of a daemon that failed.
/// \returns the released grants; the caller cancels them at their engines
std::vector<grant> withdraw_owner(cell_state& state, const daemon_id& owner, time_point now);

/// \brief Records a heartbeat of a daemon, which defers the reaping of its grants by
/// cell_policy::owner_timeout.
void record_owner_heartbeat(cell_state& state, const daemon_id& owner, time_point now);

/// \brief Ends a prefill and frees its engine for the next one.
/// \param cached_tokens prompt tokens that the engine reports as cache hits
void prefill_finished(cell_state& state, const request_id& request, std::uint32_t cached_tokens,
                      time_point now);

/// \brief Records that the decode engine sent the first token.
void first_token(cell_state& state, const request_id& request, time_point now);

/// \brief Ends a granted request and frees its reservations. An engine that caused a failure gets
/// no new work until its next load report.
/// \param output_tokens tokens sent, used to correct predictions; zero if unknown
void release(cell_state& state, const cell_policy& policy, const request_id& request,
             outcome result_of_run, std::uint32_t output_tokens, time_point now);

/// \brief Applies a load report. Reports that are older than the last one or of another incarnation
/// are ignored.
void ingest_load(cell_state& state, const load_report& report, time_point now);

/// \brief Applies an engine's total usage, so that the memory forecast includes streams of other
/// homes and streams that outlived their connection. The values expire after stream_memory.
void ingest_usage(cell_state& state, const engine_usage& usage, time_point now);

/// \brief Applies cache events. After a gap in the sequence the engine's cache view is empty until
/// the next snapshot.
/// \returns false if a snapshot is needed
bool ingest_cache_events(cell_state& state, const cell_policy& policy,
                         const cache_event_batch& batch);

/// \brief Stops new work for an engine until a new incarnation of it is listed.
void mark_leaving(cell_state& state, const backend_id& backend);

/// \brief Pauses or resumes new work for an engine that is unreachable or drained. Unlike
/// mark_leaving(), a pause can be undone for the same incarnation.
void set_paused(cell_state& state, const backend_id& backend, bool is_paused);

/// \brief Begins the registration window of a new home. Nothing is granted before it ends.
/// \param expected daemons that register their grants; the window ends early once all have finished
void begin_registration(cell_state& state, const std::vector<daemon_id>& expected, time_point now);

/// \brief Takes over a live grant of the previous home. A grant that is already known is ignored.
void register_grant(cell_state& state, const live_grant& held, time_point now);

/// \brief Records that the daemon has registered all of its grants.
void finish_registration(cell_state& state, const daemon_id& owner);

} // namespace cicadahatch::scheduling
