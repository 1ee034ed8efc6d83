#include "src/scheduling/cell_inputs.hpp"

#include "src/scheduling/internal/cache_view.hpp"
#include "src/scheduling/internal/engine_health.hpp"
#include "src/scheduling/internal/engine_pace.hpp"
#include "src/scheduling/internal/fair_queue.hpp"
#include "src/scheduling/internal/learn.hpp"
#include "src/scheduling/internal/memory_forecast.hpp"
#include "src/scheduling/internal/prediction.hpp"
#include "src/scheduling/internal/refuse.hpp"
#include "src/scheduling/internal/reservation.hpp"
#include "src/scheduling/internal/retry_after.hpp"

#include <algorithm>
#include <utility>

namespace cicadahatch::scheduling {

namespace {

constexpr double min_share = 1e-6;

const rank_spec& rank_settings(const service_spec& service, rank work_rank) {
    return work_rank == rank::urgent ? service.urgent : service.deferrable;
}

bool fits_any_engine(const cell_state& state, const cell_policy& policy, const request_spec& spec) {
    const auto& engines = state.engines.rows();
    const bool has_decode_engine =
        std::any_of(engines.begin(), engines.end(), [](const engine& instance) {
            return instance.spec.role != backend_role::prefill;
        });
    return !has_decode_engine ||
           std::any_of(engines.begin(), engines.end(), [&](const engine& instance) {
               const std::uint32_t needed = internal::pieces_needed(instance, policy, spec);
               return instance.spec.role != backend_role::prefill &&
                      (instance.spec.pieces == 0 || needed <= instance.spec.pieces);
           });
}

void fill_targets(request_spec& spec, const service_spec& service) {
    const rank_spec& rules = rank_settings(service, spec.rank);
    if (spec.first_token == duration::zero()) {
        spec.first_token = rules.first_token;
    }
    if (spec.between_tokens == duration::zero()) {
        spec.between_tokens = rules.between_tokens;
    }
}

/// If the maximum output is known, replaces the caller's estimate by one that includes the
/// service's finished streams.
void estimate_output(const cell_state& state, const cell_policy& policy, waiting_request& request) {
    request_spec& spec = request.spec;
    if (!policy.forecasts_memory || spec.max_output_tokens == 0) {
        return;
    }
    const auto found = state.lengths.find(spec.service);
    const length_model model = found == state.lengths.end() ? length_model{} : found->second;
    request.output_hint = spec.expected_output_tokens;
    request.output = estimate(model, request.output_hint, spec.max_output_tokens);
    spec.expected_output_tokens = static_cast<std::uint32_t>(mean(request.output));
}

/// Refuses waiting requests of services that are no longer listed.
void refuse_unlisted_services(cell_state& state) {
    std::vector<request_id> unlisted;
    for (const waiting_request& request : state.waiting.rows()) {
        if (!state.services.contains(request.spec.service)) {
            unlisted.push_back(request.id);
        }
    }
    for (const request_id& request : unlisted) {
        internal::refuse(state, request, errc::unknown_service, duration::zero());
    }
}

void set_rank_services(cell_state& state, rank work_rank,
                       const std::vector<service_spec>& services) {
    rank_queue& queue = state.ranks[rank_index(work_rank)];
    queue.floor = 0;
    for (const service_spec& service : services) {
        const rank_spec& rules = rank_settings(service, work_rank);
        queue.floor = std::max(queue.floor, rules.floor);
        service_queue* known = queue.services.find(service.id);
        if (known == nullptr) {
            service_queue added;
            added.id = service.id;
            known = &queue.services.insert(std::move(added));
        }
        known->share = std::max(rules.share, min_share);
        known->level_floor = rules.level_floor;
    }
    queue.services.erase_if(
        [&](const service_queue& known) { return !state.services.contains(known.id); });
}

/// \returns an upper bound of the engine's streams that belong to this cell's grants at the time of
/// a report
std::uint32_t own_streams_at(const engine& instance, time_point taken_at) {
    const auto is_later = [&](time_point event) { return event > taken_at; };
    const auto ends =
        std::count_if(instance.recent_ends.begin(), instance.recent_ends.end(), is_later);
    const auto begins =
        std::count_if(instance.recent_begins.begin(), instance.recent_begins.end(), is_later);
    const std::int64_t own = std::int64_t{instance.streams} + ends - begins;
    return static_cast<std::uint32_t>(std::max<std::int64_t>(own, instance.streams));
}

/// Frees the grants of an engine that has restarted; the new incarnation has lost them.
void free_grants_of(cell_state& state, const backend_id& backend, time_point now) {
    std::vector<request_id> lost;
    for (const live_grant& held : state.grants.rows()) {
        const bool is_prefilled = held.stage == stage::decode;
        if (held.issued.decode == backend || (held.issued.prefill == backend && !is_prefilled)) {
            lost.push_back(held.id);
        }
    }
    for (const request_id& request : lost) {
        internal::free_grant(state, request, now);
    }
}

void restart_engine(engine& known, const engine_spec& spec) {
    const backend_id id = known.id;
    known = engine{};
    known.id = id;
    known.spec = spec;
    internal::begin_slow_start(known);
}

} // namespace

void set_links(cell_state& state, const std::vector<link_spec>& links) {
    table<link_id, link> listed;
    for (const link_spec& spec : links) {
        const link* known = state.links.find(spec.id);
        const time_point free_at = known == nullptr ? time_point{} : known->free_at;
        listed.insert({spec.id, spec.bytes_per_second, free_at});
    }
    state.links = std::move(listed);
}

void set_engines(cell_state& state, const std::vector<engine_spec>& engines, time_point now) {
    std::set<backend_id> listed;
    // The engines that a new cell finds are proven.
    const bool is_new_cell = state.engines.empty();
    for (const engine_spec& spec : engines) {
        listed.insert(spec.id);
        engine* known = state.engines.find(spec.id);
        if (known == nullptr) {
            engine added;
            added.id = spec.id;
            added.spec = spec;
            if (!is_new_cell) {
                internal::begin_slow_start(added);
            }
            state.engines.insert(std::move(added));
        } else if (known->spec.started != spec.started) {
            free_grants_of(state, spec.id, now);
            restart_engine(*known, spec);
        } else {
            known->spec = spec;
        }
    }
    for (engine& instance : state.engines.rows()) {
        instance.is_unlisted = !listed.contains(instance.id);
        instance.is_leaving = instance.is_leaving || instance.is_unlisted;
    }
}

void set_services(cell_state& state, const std::vector<service_spec>& services) {
    state.services.clear();
    for (const service_spec& service : services) {
        state.services.insert(service);
    }
    refuse_unlisted_services(state);
    set_rank_services(state, rank::urgent, services);
    set_rank_services(state, rank::deferrable, services);
}

result<void> submit(cell_state& state, const cell_policy& policy, request_spec spec,
                    time_point now) {
    const service_spec* service = state.services.find(spec.service);
    if (service == nullptr) {
        return failure(errc::unknown_service);
    }
    if (state.waiting.contains(spec.id) || state.grants.contains(spec.id)) {
        return failure(errc::duplicate_request);
    }
    if (!fits_any_engine(state, policy, spec)) {
        return failure(errc::too_large);
    }
    fill_targets(spec, *service);
    spec.arrived = std::min(spec.arrived, now);
    waiting_request request;
    request.id = spec.id;
    request.spec = std::move(spec);
    request.serial = state.next_serial++;
    estimate_output(state, policy, request);
    internal::predict_request(state, policy, request);
    internal::record_demand(state, request);
    state.offered.prefill_seconds += request.prefill_seconds;
    state.offered.slot_seconds += request.slot_seconds;
    state.arrivals.push_back(request.id);
    internal::enqueue(state, std::move(request));
    return {};
}

std::optional<grant> withdraw(cell_state& state, const request_id& request, time_point now) {
    if (state.waiting.contains(request)) {
        internal::dequeue(state, request);
        return std::nullopt;
    }
    if (!state.grants.contains(request)) {
        return std::nullopt;
    }
    return internal::free_grant(state, request, now).issued;
}

std::vector<grant> withdraw_owner(cell_state& state, const daemon_id& owner, time_point now) {
    std::vector<request_id> requests;
    for (const waiting_request& request : state.waiting.rows()) {
        if (request.spec.owner == owner) {
            requests.push_back(request.id);
        }
    }
    for (const live_grant& held : state.grants.rows()) {
        if (held.issued.owner == owner) {
            requests.push_back(held.id);
        }
    }
    std::vector<grant> freed;
    for (const request_id& request : requests) {
        if (auto released = withdraw(state, request, now)) {
            freed.push_back(std::move(*released));
        }
    }
    std::erase_if(state.pending_refusals,
                  [&](const refusal& pending) { return pending.owner == owner; });
    state.unregistered.erase(owner);
    return freed;
}

void record_owner_heartbeat(cell_state& state, const daemon_id& owner, time_point now) {
    for (live_grant& held : state.grants.rows()) {
        if (held.issued.owner == owner) {
            held.last_heartbeat = now;
        }
    }
}

void prefill_finished(cell_state& state, const request_id& request, std::uint32_t cached_tokens,
                      time_point now) {
    live_grant* held = state.grants.find(request);
    if (held == nullptr || held->stage != stage::prefill) {
        return;
    }
    held->last_heartbeat = now;
    internal::observe_prefill(state, *held, cached_tokens, now);
    internal::end_prefill(state, *held, now);
    internal::record_success(state, held->issued.prefill);
}

void first_token(cell_state& state, const request_id& request, time_point now) {
    live_grant* held = state.grants.find(request);
    if (held == nullptr) {
        return;
    }
    held->last_heartbeat = now;
    if (engine* decode = state.engines.find(held->issued.decode)) {
        internal::record_first_token(*decode);
    }
    internal::begin_decode(state, *held, now);
}

void release(cell_state& state, const cell_policy& policy, const request_id& request,
             outcome result_of_run, std::uint32_t output_tokens, time_point now) {
    const live_grant* held = state.grants.find(request);
    if (held == nullptr) {
        return;
    }
    if (result_of_run == outcome::completed) {
        internal::observe_stream(state, *held, output_tokens, now);
        internal::record_success(state, held->issued.decode);
    }
    const live_grant freed = internal::free_grant(state, request, now);
    if (result_of_run == outcome::prefill_failed || result_of_run == outcome::decode_failed) {
        const bool is_prefill = result_of_run == outcome::prefill_failed;
        const backend_id& failed_engine = is_prefill ? freed.issued.prefill : freed.issued.decode;
        internal::record_failure(state, policy, failed_engine, now);
        internal::hold_back(state, failed_engine, now);
    } else if (result_of_run == outcome::no_room) {
        internal::hold_back(state, freed.issued.decode, now);
    }
}

void ingest_load(cell_state& state, const load_report& report, time_point now) {
    engine* instance = state.engines.find(report.backend);
    if (instance == nullptr || instance->spec.started != report.started) {
        return;
    }
    instance->is_leaving = instance->is_leaving || report.is_leaving;
    if (report.sequence <= instance->report_sequence) {
        return;
    }
    instance->report_sequence = report.sequence;
    internal::end_hold_after_report(*instance, report.taken_at);
    if (now - report.taken_at > stream_history) {
        return;
    }
    instance->reported_at = report.taken_at;
    const std::uint32_t own = own_streams_at(*instance, report.taken_at);
    instance->foreign_streams = report.running > own ? report.running - own : 0;
    // External memory is unknown if own streams began or ended after the report.
    const bool has_changed = own != instance->streams;
    if (!has_changed) {
        instance->foreign_pieces = report.used_pieces > instance->reserved_pieces
                                       ? report.used_pieces - instance->reserved_pieces
                                       : 0;
    }
    const time_point backlog_end = report.taken_at + report.prefill_backlog;
    instance->foreign_prefill_until = instance->prefills == 0 ? backlog_end : time_point{};
}

void ingest_usage(cell_state& state, const engine_usage& usage, time_point now) {
    engine* instance = state.engines.find(usage.backend);
    if (instance == nullptr || instance->spec.started != usage.started) {
        return;
    }
    instance->reported_at = now;
    const std::uint32_t own = own_streams_at(*instance, usage.taken_at);
    instance->foreign_streams = usage.running > own ? usage.running - own : 0;
    const double others =
        usage.used_tokens - internal::own_tokens_at(state, *instance, usage.taken_at);
    instance->foreign_tokens = instance->foreign_streams > 0 ? std::max(0.0, others) : 0;
}

bool ingest_cache_events(cell_state& state, const cell_policy& policy,
                         const cache_event_batch& batch) {
    engine* instance = state.engines.find(batch.backend);
    if (instance == nullptr || instance->spec.started != batch.started) {
        return true;
    }
    return internal::apply_cache_events(*instance, policy, batch);
}

void mark_leaving(cell_state& state, const backend_id& backend) {
    engine* instance = state.engines.find(backend);
    if (instance != nullptr) {
        instance->is_leaving = true;
    }
}

void set_paused(cell_state& state, const backend_id& backend, bool is_paused) {
    engine* instance = state.engines.find(backend);
    if (instance != nullptr) {
        instance->is_paused = is_paused;
    }
}

void begin_registration(cell_state& state, const std::vector<daemon_id>& expected, time_point now) {
    state.registration_since = now;
    state.unregistered = {expected.begin(), expected.end()};
}

void register_grant(cell_state& state, const live_grant& held, time_point now) {
    if (state.grants.contains(held.id)) {
        return;
    }
    if (state.waiting.contains(held.id)) {
        internal::dequeue(state, held.id);
    }
    live_grant taken = held;
    taken.last_heartbeat = now;
    taken.stuck_deadline = now + (held.stuck_deadline - held.granted_at);
    state.next_grant_number = std::max(state.next_grant_number, held.issued.number + 1);
    internal::reserve(state, std::move(taken), now);
}

void finish_registration(cell_state& state, const daemon_id& owner) {
    state.unregistered.erase(owner);
}

} // namespace cicadahatch::scheduling
