#include "src/serving/cell_host.hpp"

#include "src/cells/cell_messages.hpp"
#include "src/cells/wire_conversions.hpp"
#include "src/scheduling/cell_builder.hpp"
#include "src/scheduling/cell_inputs.hpp"
#include "src/scheduling/error.hpp"
#include "src/scheduling/tick.hpp"
#include "src/serving/internal/cache_ingest.hpp"
#include "src/serving/internal/engine_specs.hpp"

#include <algorithm>

namespace cicadahatch::serving {

using cells::attempt_key;
using cells::parse_attempt_key;
using cells::to_granted;
using cells::to_live_grant;
using cells::to_refused;

namespace {

std::size_t cached_prefixes(const scheduling::cell_state& state) {
    std::size_t known = 0;
    for (const scheduling::engine& on : state.engines.rows()) {
        known += on.cached.size();
    }
    return known;
}

/// Leaving holds for good; a cut connection or an operator's drain may end.
void hold_back_if_needed(scheduling::cell_state& state, const backend_row& server) {
    if (has_left(server)) {
        scheduling::mark_leaving(state, server.id);
    }
    scheduling::set_paused(state, server.id, !takes_work(server));
}

/// \returns whether each engine has reported or does not answer
bool is_surveyed(const cell_plan& plan) {
    return std::all_of(plan.engines.begin(), plan.engines.end(), [](const backend_row& server) {
        return !server.started.empty() || !server.is_reachable;
    });
}

} // namespace

cell_host::cell_host(const clock& time, scheduling::cell_policy policy,
                     backend_directory& directory, engines::canceller& cancels, sender send)
    : time_(time), policy_(policy), directory_(directory), cancels_(cancels),
      send_(std::move(send)) {}

std::vector<cell_status> cell_host::status() const {
    const std::lock_guard lock{mutex_};
    std::vector<cell_status> listed;
    for (const auto& [id, cell] : cells_) {
        cell_status one;
        one.id = id;
        one.model = cell.plan.model;
        one.domain = cell.plan.domain;
        one.engines = cell.state.engines.size();
        one.waiting = cell.state.waiting.size();
        one.granted = cell.state.grants.size();
        one.cached_prefixes = cached_prefixes(cell.state);
        one.is_registering = cell.state.registration_since.has_value();
        listed.push_back(one);
    }
    return listed;
}

bool cell_host::is_hosting(const cell_id& cell) const {
    const std::lock_guard lock{mutex_};
    return cells_.count(cell) != 0;
}

std::vector<order_cell> cell_host::order_cells() const {
    const std::lock_guard lock{mutex_};
    std::vector<order_cell> listed;
    for (const auto& [id, cell] : cells_) {
        listed.push_back({cell.plan, measure_use(cell.state, policy_)});
    }
    return listed;
}

std::set<backend_id> cell_host::engines() const {
    const std::lock_guard lock{mutex_};
    std::set<backend_id> listed;
    for (const auto& [id, cell] : cells_) {
        for (const backend_row& engine : cell.plan.engines) {
            listed.insert(engine.id);
        }
    }
    return listed;
}

std::vector<scheduling::cell_digest> cell_host::digests() const {
    const std::lock_guard lock{mutex_};
    std::vector<scheduling::cell_digest> made;
    for (const auto& [id, cell] : cells_) {
        made.push_back(scheduling::make_digest(cell.state, cell.plan.domain, time_.now()));
    }
    return made;
}

std::size_t cell_host::load() const {
    const std::lock_guard lock{mutex_};
    std::size_t total = 0;
    for (const auto& [id, cell] : cells_) {
        total += cell.state.waiting.size() + cell.state.grants.size();
    }
    return total;
}

cell_host::hosted_cell* cell_host::find(const cell_id& cell) {
    const auto found = cells_.find(cell);
    return found == cells_.end() ? nullptr : &found->second;
}

std::vector<scheduling::engine_spec> cell_host::specs_of(const cell_plan& plan) const {
    std::vector<scheduling::engine_spec> specs;
    for (const backend_row& server : plan.engines) {
        // An engine that has not reported has no incarnation, and learning it later would look
        // like a restart that freed all of its memory.
        if (!server.started.empty()) {
            specs.push_back(internal::to_spec(server));
        }
    }
    return specs;
}

void cell_host::host(const cell_plan& plan, const std::vector<daemon_id>& peers) {
    std::vector<outgoing> messages;
    {
        const std::lock_guard lock{mutex_};
        const time_point now = time_.now();
        const auto services = directory_.services();
        const auto specs = services ? internal::services_of(*services, plan.model)
                                    : std::vector<scheduling::service_spec>{};
        const bool is_new = cells_.count(plan.id) == 0;
        if (is_new) {
            scheduling::cell_builder builder;
            builder.id(plan.id).model(plan.model);
            cells_[plan.id].state = builder.build(now);
            scheduling::begin_registration(cells_[plan.id].state, peers, now);
            cancel_all(copied_.take_orphans(plan.id, peers));
            for (const daemon_id& peer : peers) {
                outbox_.push_back({peer, rpc::request_registration{plan.id}});
            }
        }
        hosted_cell& cell = cells_[plan.id];
        cell.plan = plan;
        scheduling::set_engines(cell.state, specs_of(plan), now);
        scheduling::set_services(cell.state, specs);
        for (const backend_row& server : plan.engines) {
            hold_back_if_needed(cell.state, server);
        }
        messages = take_outbox();
    }
    flush(std::move(messages));
}

void cell_host::keep_only(const std::set<cell_id>& kept) {
    std::vector<outgoing> messages;
    {
        const std::lock_guard lock{mutex_};
        for (auto it = cells_.begin(); it != cells_.end();) {
            if (kept.count(it->first) != 0) {
                ++it;
                continue;
            }
            for (const scheduling::waiting_request& row : it->second.state.waiting.rows()) {
                scheduling::refusal sent_away{row.id, row.spec.owner, {}, {}};
                rpc::refused told = to_refused(it->first, sent_away);
                told.reason = rpc::refusal_reason::not_home;
                outbox_.push_back({row.spec.owner, told});
            }
            it = cells_.erase(it);
        }
        messages = take_outbox();
    }
    flush(std::move(messages));
}

void cell_host::handle(const daemon_id& from, const rpc::message& received) {
    std::vector<outgoing> messages;
    {
        const std::lock_guard lock{mutex_};
        const auto dispatch = [&](const auto& what) {
            if constexpr (requires { on(from, what); }) {
                on(from, what);
            }
        };
        std::visit(dispatch, received);
        messages = take_outbox();
    }
    flush(std::move(messages));
}

void cell_host::refuse(const daemon_id& to, const rpc::acquire& asked, rpc::refusal_reason reason) {
    rpc::refused told;
    told.request = asked.request;
    told.attempt = asked.attempt;
    told.cell = asked.cell;
    told.reason = reason;
    outbox_.push_back({to, told});
}

void cell_host::on(const daemon_id& from, const rpc::acquire& asked) {
    hosted_cell* cell = find(asked.cell);
    if (cell == nullptr) {
        return refuse(from, asked, rpc::refusal_reason::not_home);
    }
    // A new home decides nothing before it has heard of its engines; the owner asks again.
    if (!is_surveyed(cell->plan)) {
        return refuse(from, asked, rpc::refusal_reason::registration_pending);
    }
    // A repeated request whose grant's message was lost gets the same grant again.
    const request_id name = attempt_key(asked.request, asked.attempt);
    if (const scheduling::live_grant* held = cell->state.grants.find(name)) {
        return send_grant(asked.cell, held->issued);
    }
    const time_point now = time_.now();
    const auto queued =
        scheduling::submit(cell->state, policy_, cells::to_spec(from, asked, now), now);
    if (!queued && queued.error() != scheduling::errc::duplicate_request) {
        refuse(from, asked, cells::to_refusal_reason(queued.error()));
    }
}

void cell_host::on(const daemon_id& from, const rpc::withdraw& gone) {
    static_cast<void>(from);
    if (hosted_cell* cell = find(gone.cell)) {
        const request_id name = attempt_key(gone.request, gone.attempt);
        if (const auto released = scheduling::withdraw(cell->state, name, time_.now())) {
            cancel_at_engines(*released);
        }
    }
}

void cell_host::take_in_news(hosted_cell& cell) {
    for (const backend_row& known : cell.plan.engines) {
        if (const auto server = directory_.backend(known.id)) {
            hold_back_if_needed(cell.state, *server);
        }
    }
}

void cell_host::on(const daemon_id& from, const rpc::release& ended) {
    static_cast<void>(from);
    if (hosted_cell* cell = find(ended.cell)) {
        if (ended.outcome != rpc::release_outcome::completed) {
            take_in_news(*cell);
        }
        scheduling::release(cell->state, policy_, attempt_key(ended.request, ended.attempt),
                            cells::to_outcome(ended.outcome), ended.output_tokens, time_.now());
    }
}

void cell_host::on(const daemon_id& from, const rpc::prefill_finished& done) {
    static_cast<void>(from);
    if (hosted_cell* cell = find(done.cell)) {
        scheduling::prefill_finished(cell->state, attempt_key(done.request, done.attempt),
                                     done.cached_tokens, time_.now());
    }
}

void cell_host::on(const daemon_id& from, const rpc::first_token& seen) {
    static_cast<void>(from);
    if (hosted_cell* cell = find(seen.cell)) {
        scheduling::first_token(cell->state, attempt_key(seen.request, seen.attempt), time_.now());
    }
}

void cell_host::on(const daemon_id& from, const rpc::register_grants& held) {
    hosted_cell* cell = find(held.cell);
    if (cell == nullptr) {
        return;
    }
    const time_point now = time_.now();
    for (const rpc::grant_record& record : held.grants) {
        scheduling::register_grant(cell->state, to_live_grant(from, record, now), now);
    }
    if (held.is_last) {
        scheduling::finish_registration(cell->state, from);
        copied_.note_registered(held.cell, from);
    }
}

void cell_host::on(const daemon_id& from, const rpc::copy_grants& copied) {
    static_cast<void>(from);
    copied_.take(copied);
}

void cell_host::renew(const std::vector<daemon_id>& live) {
    const std::lock_guard lock{mutex_};
    const time_point now = time_.now();
    for (auto& [id, cell] : cells_) {
        for (const daemon_id& daemon : live) {
            scheduling::record_owner_heartbeat(cell.state, daemon, now);
        }
    }
}

void cell_host::forget_daemon(const daemon_id& dead) {
    const std::lock_guard lock{mutex_};
    const time_point now = time_.now();
    copied_.note_death(dead);
    for (auto& [id, cell] : cells_) {
        scheduling::finish_registration(cell.state, dead);
        cancel_all(scheduling::withdraw_owner(cell.state, dead, now));
        cancel_all(copied_.take_orphans(id));
        // It may be back under its name before another one has taken its place.
        cell.copies.is_whole_due = cell.copies.is_whole_due || cell.copies.successor == dead;
    }
}

void cell_host::ingest_loads() {
    const std::lock_guard lock{mutex_};
    const time_point now = time_.now();
    for (auto& [id, cell] : cells_) {
        for (const backend_row& known : cell.plan.engines) {
            const auto server = directory_.backend(known.id);
            if (!server || server->started.empty()) {
                continue;
            }
            scheduling::ingest_load(cell.state, internal::to_report(*server), now);
            internal::ingest_cache(cell.state, policy_, *server);
            hold_back_if_needed(cell.state, *server);
        }
    }
}

void cell_host::tick() {
    std::vector<outgoing> messages;
    {
        const std::lock_guard lock{mutex_};
        const time_point now = time_.now();
        for (auto& [id, cell] : cells_) {
            const scheduling::tick_output decided = scheduling::tick(cell.state, policy_, now);
            copy_new_grants(cell, decided, now);
            for (const scheduling::grant& issued : decided.grants) {
                send_grant(id, issued);
            }
            for (const scheduling::refusal& refusal : decided.refusals) {
                outbox_.push_back({refusal.owner, to_refused(id, refusal)});
            }
            for (const scheduling::grant& reaped : decided.reaped) {
                cancel_at_engines(reaped);
            }
        }
        messages = take_outbox();
    }
    flush(std::move(messages));
}

void cell_host::copy_to(const std::map<cell_id, daemon_id>& successors) {
    std::vector<outgoing> messages;
    {
        const std::lock_guard lock{mutex_};
        const time_point now = time_.now();
        for (auto& [id, cell] : cells_) {
            const auto successor = successors.find(id);
            if (successor == successors.end()) {
                continue;
            }
            if (auto copied = next_copy(cell.copies, cell.state, successor->second, now)) {
                outbox_.push_back({successor->second, std::move(*copied)});
            }
        }
        messages = take_outbox();
    }
    flush(std::move(messages));
}

void cell_host::note_lost_copy(const cell_id& cell) {
    const std::lock_guard lock{mutex_};
    if (hosted_cell* hosted = find(cell)) {
        hosted->copies.is_whole_due = true;
    }
}

void cell_host::copy_new_grants(hosted_cell& cell, const scheduling::tick_output& decided,
                                time_point now) {
    // Sent ahead of the grants, so that a home that freezes right after them leaves a trace.
    if (decided.grants.empty() || cell.copies.successor.empty()) {
        return;
    }
    const daemon_id successor = cell.copies.successor;
    if (auto copied = next_copy(cell.copies, cell.state, successor, now)) {
        outbox_.push_back({successor, std::move(*copied)});
    }
}

void cell_host::send_grant(const cell_id& cell, const scheduling::grant& issued) {
    outbox_.push_back({issued.owner, to_granted(cell, issued)});
}

void cell_host::cancel_at_engines(const scheduling::grant& released) {
    const engines::attempt_id attempt = parse_attempt_key(released.request);
    for (const backend_id& engine : {released.prefill, released.decode}) {
        if (const auto server = directory_.backend(engine)) {
            cancels_.cancel(server->place, attempt);
        }
    }
}

void cell_host::cancel_all(const std::vector<scheduling::grant>& released) {
    for (const scheduling::grant& one : released) {
        cancel_at_engines(one);
    }
}

std::vector<cell_host::outgoing> cell_host::take_outbox() {
    std::vector<outgoing> taken;
    taken.swap(outbox_);
    return taken;
}

void cell_host::flush(std::vector<outgoing> messages) {
    for (outgoing& one : messages) {
        send_(one.to, std::move(one.sent));
    }
}

} // namespace cicadahatch::serving
