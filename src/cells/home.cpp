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

/// Time for which a refused prompt is remembered: callers come back within seconds.
constexpr std::chrono::seconds returning_memory = 15s;

} // namespace

home::home(const clock& time, scheduling::cell_policy policy, topology_source parts)
    : time_(time), policy_(policy), parts_(std::move(parts)) {}

scheduling::cell_state* home::find(const cell_id& cell) {
    const auto found = cells_.find(cell);
    return found == cells_.end() ? nullptr : &found->second;
}

scheduling::cell_state& home::hosted(const cell_id& cell) {
    if (scheduling::cell_state* known = find(cell)) {
        return *known;
    }
    const time_point now = time_.now();
    const cell_topology parts = parts_(cell);
    scheduling::cell_state made = scheduling::cell_builder{}
                                      .id(cell)
                                      .engines(parts.engines)
                                      .services(parts.services)
                                      .build(now);
    scheduling::begin_registration(made, parts.daemons, now);
    return cells_.emplace(cell, std::move(made)).first->second;
}

void home::handle(const daemon_id& from, const rpc::message& received) {
    const auto dispatch = [&](const auto& what) {
        if constexpr (requires { on(from, what); }) {
            on(from, what);
        }
    };
    std::visit(dispatch, received);
}

rpc::acquire home::as_returning(const rpc::acquire& asked) const {
    rpc::acquire wanted = asked;
    if (asked.late_first_token_target.count() > 0 && refused_at_.contains(asked.prompt_key)) {
        wanted.work_rank = rank::deferrable;
        wanted.first_token_target = asked.late_first_token_target;
    }
    return wanted;
}

void home::note_refusal(const request_id& name) {
    const auto known = prompts_.find(name);
    if (known != prompts_.end()) {
        refused_at_[known->second] = time_.now();
        prompts_.erase(known);
    }
}

void home::forget_old_refusals(time_point now) {
    std::erase_if(refused_at_,
                  [now](const auto& row) { return now - row.second > returning_memory; });
}

void home::refuse(const daemon_id& to, const rpc::acquire& asked, rpc::refusal_reason reason) {
    rpc::refused told;
    told.request = asked.request;
    told.attempt = asked.attempt;
    told.cell = asked.cell;
    told.reason = reason;
    outbox_.push_back({to, told});
}

void home::on(const daemon_id& from, const rpc::acquire& asked) {
    if (is_leaving_) {
        return refuse(from, asked, rpc::refusal_reason::leaving);
    }
    scheduling::cell_state& cell = hosted(asked.cell);
    const request_id name = attempt_key(asked.request, asked.attempt);
    if (const scheduling::live_grant* held = cell.grants.find(name)) {
        outbox_.push_back({from, to_granted(asked.cell, held->issued)});
        return;
    }
    const time_point now = time_.now();
    const rpc::acquire wanted = as_returning(asked);
    const auto queued = scheduling::submit(cell, policy_, to_spec(from, wanted, now), now);
    if (queued && asked.prompt_key != 0) {
        prompts_[name] = asked.prompt_key;
    }
    if (!queued && queued.error() != scheduling::errc::duplicate_request) {
        refuse(from, asked, to_refusal_reason(queued.error()));
    }
}

void home::on(const daemon_id& /*from*/, const rpc::withdraw& gone) {
    if (scheduling::cell_state* cell = find(gone.cell)) {
        // The daemon that asked cancels at the engines itself.
        const request_id name = attempt_key(gone.request, gone.attempt);
        static_cast<void>(scheduling::withdraw(*cell, name, time_.now()));
        prompts_.erase(name);
    }
}

void home::on(const daemon_id& /*from*/, const rpc::release& ended) {
    if (scheduling::cell_state* cell = find(ended.cell)) {
        scheduling::release(*cell, policy_, attempt_key(ended.request, ended.attempt),
                            to_outcome(ended.outcome), ended.output_tokens, time_.now());
    }
}

void home::on(const daemon_id& /*from*/, const rpc::prefill_finished& done) {
    if (scheduling::cell_state* cell = find(done.cell)) {
        scheduling::prefill_finished(*cell, attempt_key(done.request, done.attempt),
                                     done.cached_tokens, time_.now());
    }
}

void home::on(const daemon_id& /*from*/, const rpc::first_token& seen) {
    if (scheduling::cell_state* cell = find(seen.cell)) {
        scheduling::first_token(*cell, attempt_key(seen.request, seen.attempt), time_.now());
    }
}

void home::on(const daemon_id& from, const rpc::register_grants& held) {
    scheduling::cell_state& cell = hosted(held.cell);
    const time_point now = time_.now();
    std::set<request_id>& listed = registering_[from];
    for (const rpc::grant_record& record : held.grants) {
        scheduling::register_grant(cell, to_live_grant(from, record, now), now);
        listed.insert(attempt_key(record.request, record.attempt));
    }
    if (held.is_last) {
        drop_unregistered(cell, from);
        registering_.erase(from);
        scheduling::finish_registration(cell, from);
    }
}

void home::drop_unregistered(scheduling::cell_state& cell, const daemon_id& owner) {
    // Their ends were told while the owner was not connected, or it never learnt of them.
    std::vector<request_id> stale;
    for (const scheduling::live_grant& held : cell.grants.rows()) {
        if (held.issued.owner == owner && !registering_[owner].contains(held.id)) {
            stale.push_back(held.id);
        }
    }
    for (const request_id& name : stale) {
        scheduling::release(cell, policy_, name, scheduling::outcome::superseded, 0, time_.now());
    }
}

void home::disconnect(const daemon_id& lost) {
    const time_point now = time_.now();
    for (auto& [id, cell] : cells_) {
        std::vector<request_id> waiting;
        for (const scheduling::waiting_request& row : cell.waiting.rows()) {
            if (row.spec.owner == lost) {
                waiting.push_back(row.id);
            }
        }
        for (const request_id& name : waiting) {
            static_cast<void>(scheduling::withdraw(cell, name, now));
            prompts_.erase(name);
        }
    }
    registering_.erase(lost);
}

void home::refresh_topology() {
    const time_point now = time_.now();
    for (auto& [id, cell] : cells_) {
        const cell_topology parts = parts_(id);
        scheduling::set_engines(cell, parts.engines, now);
        scheduling::set_services(cell, parts.services);
    }
}

void home::update_usage(const scheduling::engine_usage& usage) {
    const time_point now = time_.now();
    for (auto& [id, cell] : cells_) {
        scheduling::ingest_usage(cell, usage, now);
    }
}

void home::set_paused(const cell_id& cell, const backend_id& engine, bool is_paused) {
    if (scheduling::cell_state* known = find(cell)) {
        scheduling::set_paused(*known, engine, is_paused);
    }
}

void home::renew(const daemon_id& connected) {
    const time_point now = time_.now();
    for (auto& [id, cell] : cells_) {
        scheduling::record_owner_heartbeat(cell, connected, now);
    }
}

void home::leave() {
    is_leaving_ = true;
    for (auto& [id, cell] : cells_) {
        for (const scheduling::waiting_request& row : cell.waiting.rows()) {
            rpc::refused told = to_refused(id, {row.id, row.spec.owner, {}, {}});
            told.reason = rpc::refusal_reason::leaving;
            outbox_.push_back({row.spec.owner, told});
        }
    }
    cells_.clear();
}

void home::tick() {
    const time_point now = time_.now();
    forget_old_refusals(now);
    for (auto& [id, cell] : cells_) {
        const scheduling::tick_output decided = scheduling::tick(cell, policy_, now);
        for (const scheduling::grant& issued : decided.grants) {
            prompts_.erase(issued.request);
            outbox_.push_back({issued.owner, to_granted(id, issued)});
        }
        for (const scheduling::refusal& refusal : decided.refusals) {
            note_refusal(refusal.request);
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
