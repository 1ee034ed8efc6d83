#include "src/cells/home.hpp"

#include "src/cells/cell_messages.hpp"
#include "src/cells/wire_conversions.hpp"
#include "src/scheduling/cell_builder.hpp"
#include "src/scheduling/cell_inputs.hpp"
#include "src/scheduling/tick.hpp"

#include <algorithm>
#include <utility>

namespace cicadahatch::cells {

namespace {

using namespace std::chrono_literals;

/// Retention of refused prompt keys. Refused callers retry within seconds.
constexpr std::chrono::seconds refusal_retention = 15s;

} // namespace

home::home(const clock& time, scheduling::cell_policy policy, topology_source topology)
    : time_(time), policy_(policy), topology_(std::move(topology)) {}

scheduling::cell_state* home::find(const cell_id& cell) {
    const auto found = cells_.find(cell);
    return found == cells_.end() ? nullptr : &found->second;
}

scheduling::cell_state& home::find_or_create(const cell_id& cell) {
    if (scheduling::cell_state* existing = find(cell)) {
        return *existing;
    }
    const time_point now = time_.now();
    const cell_topology topology = topology_(cell);
    scheduling::cell_state created = scheduling::cell_builder{}
                                         .id(cell)
                                         .engines(topology.engines)
                                         .services(topology.services)
                                         .build(now);
    scheduling::begin_registration(created, topology.daemons, now);
    return cells_.emplace(cell, std::move(created)).first->second;
}

void home::handle(const daemon_id& from, const rpc::message& message) {
    const auto dispatch = [&](const auto& content) {
        if constexpr (requires { on(from, content); }) {
            on(from, content);
        }
    };
    std::visit(dispatch, message);
}

rpc::acquire home::demote_if_resubmitted(const rpc::acquire& request) const {
    rpc::acquire demoted = request;
    if (request.late_first_token_target.count() > 0 && refused_at_.contains(request.prompt_key)) {
        demoted.work_rank = rank::deferrable;
        demoted.first_token_target = request.late_first_token_target;
    }
    return demoted;
}

void home::record_refusal(const request_id& key) {
    const auto existing = prompt_keys_.find(key);
    if (existing != prompt_keys_.end()) {
        refused_at_[existing->second] = time_.now();
        prompt_keys_.erase(existing);
    }
}

void home::expire_refusals(time_point now) {
    std::erase_if(refused_at_,
                  [now](const auto& row) { return now - row.second > refusal_retention; });
}

void home::refuse(const daemon_id& owner, const rpc::acquire& request, rpc::refusal_reason reason,
                  std::chrono::milliseconds retry_after) {
    rpc::refused answer;
    answer.request = request.request;
    answer.attempt = request.attempt;
    answer.cell = request.cell;
    answer.reason = reason;
    answer.retry_after = retry_after;
    outbox_.push_back({owner, answer});
}

void home::on(const daemon_id& from, const rpc::acquire& request) {
    if (is_leaving_) {
        return refuse(from, request, rpc::refusal_reason::leaving);
    }
    const auto blocked = check_prompt(suspects_, request.request,
                                      to_prompt_parts(request.prompt_parts), time_.now());
    if (blocked) {
        return refuse(from, request, rpc::refusal_reason::crashes_engines, blocked->retry_after);
    }
    scheduling::cell_state& cell = find_or_create(request.cell);
    const request_id key = attempt_key(request.request, request.attempt);
    if (const scheduling::live_grant* live = cell.grants.find(key)) {
        outbox_.push_back({from, to_granted(request.cell, live->issued)});
        return;
    }
    const time_point now = time_.now();
    const rpc::acquire admitted = demote_if_resubmitted(request);
    const auto queued = scheduling::submit(cell, policy_, to_spec(from, admitted, now), now);
    if (queued && request.prompt_key != 0) {
        prompt_keys_[key] = request.prompt_key;
    }
    if (!queued && queued.error() != scheduling::errc::duplicate_request) {
        refuse(from, request, to_refusal_reason(queued.error()));
    }
}

void home::on(const daemon_id& /*from*/, const rpc::withdraw& withdrawal) {
    if (scheduling::cell_state* cell = find(withdrawal.cell)) {
        // The owner cancels the attempt at the engines itself.
        const request_id key = attempt_key(withdrawal.request, withdrawal.attempt);
        static_cast<void>(scheduling::withdraw(*cell, key, time_.now()));
        prompt_keys_.erase(key);
    }
}

void home::on(const daemon_id& /*from*/, const rpc::release& release) {
    if (scheduling::cell_state* cell = find(release.cell)) {
        const request_id key = attempt_key(release.request, release.attempt);
        const backend_id engine = decode_engine_of(*cell, key);
        if (release.outcome == rpc::release_outcome::engine_crashed && !engine.empty()) {
            record_crash(suspects_, engine, release.request, to_prompt_parts(release.prompt_parts),
                         time_.now());
        }
        scheduling::release(*cell, policy_, key, to_outcome(release.outcome), release.output_tokens,
                            time_.now());
    }
}

void home::on(const daemon_id& /*from*/, const rpc::prefill_finished& event) {
    if (scheduling::cell_state* cell = find(event.cell)) {
        scheduling::prefill_finished(*cell, attempt_key(event.request, event.attempt),
                                     event.cached_tokens, time_.now());
    }
}

void home::on(const daemon_id& /*from*/, const rpc::first_token& event) {
    if (scheduling::cell_state* cell = find(event.cell)) {
        const request_id key = attempt_key(event.request, event.attempt);
        scheduling::first_token(*cell, key, time_.now());
        record_beginning(suspects_, decode_engine_of(*cell, key),
                         to_prompt_parts(event.prompt_parts), time_.now());
    }
}

void home::on(const daemon_id& from, const rpc::register_grants& registration) {
    if (is_leaving_) {
        return; // They are registered with the next home.
    }
    scheduling::cell_state& cell = find_or_create(registration.cell);
    const time_point now = time_.now();
    std::set<request_id>& registered = registering_[from];
    for (const rpc::grant_record& record : registration.grants) {
        scheduling::register_grant(cell, to_live_grant(from, record, now), now);
        registered.insert(attempt_key(record.request, record.attempt));
        if (record.stage == rpc::grant_stage::decoding) {
            record_beginning(suspects_, record.decode_backend, to_prompt_parts(record.prompt_parts),
                             now);
        }
    }
    if (registration.is_last) {
        release_unregistered(cell, from);
        registering_.erase(from);
        scheduling::finish_registration(cell, from);
    }
}

void home::on(const daemon_id& /*from*/, const rpc::crashing_parts& known) {
    const time_point now = time_.now();
    for (const rpc::crashing_part& row : known.parts) {
        merge_suspect(suspects_, row.part, to_suspect(row, now), now);
    }
}

backend_id home::decode_engine_of(const scheduling::cell_state& cell, const request_id& key) {
    const scheduling::live_grant* grant = cell.grants.find(key);
    return grant == nullptr ? backend_id{} : grant->issued.decode;
}

void home::release_unregistered(scheduling::cell_state& cell, const daemon_id& owner) {
    // Their release was sent while the owner was not connected, or the owner never received the
    // grant.
    std::vector<request_id> stale;
    for (const scheduling::live_grant& live : cell.grants.rows()) {
        if (live.issued.owner == owner && !registering_[owner].contains(live.id)) {
            stale.push_back(live.id);
        }
    }
    for (const request_id& key : stale) {
        scheduling::release(cell, policy_, key, scheduling::outcome::superseded, 0, time_.now());
    }
}

void home::disconnect(const daemon_id& daemon) {
    const time_point now = time_.now();
    for (auto& [id, cell] : cells_) {
        std::vector<request_id> waiting;
        for (const scheduling::waiting_request& row : cell.waiting.rows()) {
            if (row.spec.owner == daemon) {
                waiting.push_back(row.id);
            }
        }
        for (const request_id& key : waiting) {
            static_cast<void>(scheduling::withdraw(cell, key, now));
            prompt_keys_.erase(key);
        }
    }
    registering_.erase(daemon);
}

void home::refresh_topology() {
    const time_point now = time_.now();
    for (auto& [id, cell] : cells_) {
        const cell_topology topology = topology_(id);
        scheduling::set_engines(cell, topology.engines, now);
        scheduling::set_services(cell, topology.services);
    }
}

void home::update_usage(const scheduling::engine_usage& usage) {
    const time_point now = time_.now();
    for (auto& [id, cell] : cells_) {
        scheduling::ingest_usage(cell, usage, now);
    }
}

void home::set_paused(const cell_id& cell, const backend_id& engine, bool is_paused) {
    if (scheduling::cell_state* existing = find(cell)) {
        scheduling::set_paused(*existing, engine, is_paused);
    }
}

void home::renew(const daemon_id& daemon) {
    const time_point now = time_.now();
    for (auto& [id, cell] : cells_) {
        scheduling::record_owner_heartbeat(cell, daemon, now);
    }
}

void home::leave() {
    is_leaving_ = true;
    for (auto& [id, cell] : cells_) {
        for (const scheduling::waiting_request& row : cell.waiting.rows()) {
            rpc::refused answer = to_refused(id, {row.id, row.spec.owner, {}, {}});
            answer.reason = rpc::refusal_reason::leaving;
            outbox_.push_back({row.spec.owner, answer});
        }
    }
    cells_.clear();
}

void home::tick() {
    const time_point now = time_.now();
    expire_refusals(now);
    update_suspects(suspects_, now);
    for (auto& [id, cell] : cells_) {
        const scheduling::tick_output output = scheduling::tick(cell, policy_, now);
        for (const scheduling::grant& grant : output.grants) {
            prompt_keys_.erase(grant.request);
            outbox_.push_back({grant.owner, to_granted(id, grant)});
        }
        for (const scheduling::refusal& refusal : output.refusals) {
            record_refusal(refusal.request);
            outbox_.push_back({refusal.owner, to_refused(id, refusal)});
            refusals_.push_back({id, refusal});
        }
    }
}

std::vector<outgoing_message> home::take_messages() {
    return std::exchange(outbox_, {});
}

std::vector<refused_request> home::take_refusals() {
    return std::exchange(refusals_, {});
}

std::vector<suspect_event> home::take_suspect_events() {
    return std::exchange(suspects_.events, {});
}

std::optional<rpc::crashing_parts> home::take_changed_suspects() {
    if (!std::exchange(suspects_.is_changed, false)) {
        return std::nullopt;
    }
    return to_message(suspects_, time_.now());
}

bool home::has_waiting() const {
    return std::any_of(cells_.begin(), cells_.end(),
                       [](const auto& row) { return !row.second.waiting.empty(); });
}

bool home::has_waiting(const daemon_id& owner) const {
    const auto is_owned = [&owner](const scheduling::waiting_request& row) {
        return row.spec.owner == owner;
    };
    return std::any_of(cells_.begin(), cells_.end(), [&](const auto& row) {
        const auto& waiting = row.second.waiting.rows();
        return std::any_of(waiting.begin(), waiting.end(), is_owned);
    });
}

} // namespace cicadahatch::cells
