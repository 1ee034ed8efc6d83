#include "src/gateway/role_orders.hpp"

#include "src/gateway/cell_parts.hpp"
#include "src/gateway/constants.hpp"

#include <algorithm>

namespace cicadahatch::gateway {

namespace {

namespace asio = forwarding::asio;
using logging::weight;

constexpr unsigned status_ok = 200;
constexpr unsigned status_accepted = 202;

const char* name_of(backend_role role) {
    return role == backend_role::prefill ? "prefill" : "decode";
}

/// Whether the pool can count on the engine: not on one that is only probed after its ejection, but
/// on one that is held back for an instant.
bool is_counted(const scheduling::engine& on) {
    return !on.is_leaving && !on.is_paused && on.health == scheduling::health::healthy;
}

std::uint32_t count_in(const scheduling::cell_state& cell, backend_role role) {
    const auto& engines = cell.engines.rows();
    const auto counted = std::count_if(engines.begin(), engines.end(), [role](const auto& on) {
        return is_counted(on) && on.spec.role == role;
    });
    return static_cast<std::uint32_t>(counted);
}

/// The engine of a pool that has least to finish.
const scheduling::engine* least_busy(const scheduling::cell_state& cell, backend_role giving) {
    const scheduling::engine* best = nullptr;
    for (const scheduling::engine& on : cell.engines.rows()) {
        if (!is_counted(on) || on.spec.role != giving) {
            continue;
        }
        const bool is_better =
            best == nullptr || on.prefills + on.streams < best->prefills + best->streams;
        best = is_better ? &on : best;
    }
    return best;
}

} // namespace

role_orders::role_orders(forwarding::gateway_state& state, home_server& homes,
                         const clock& lease_time, daemon_id self, bool checks_fencing)
    : state_(state), homes_(homes), lease_time_(lease_time), self_(std::move(self)),
      checks_fencing_(checks_fencing) {}

void role_orders::tend() {
    hold_leases();
    for (const auto& [id, cell] : homes_.cells().cells()) {
        cell_roles& roles = cells_[id];
        observe(id, cell, roles);
        if (roles.under_way) {
            watch(id, roles);
        } else if (!state_.is_stopping && desk_ != nullptr) {
            consider(id, cell, roles);
        }
    }
}

void role_orders::hold_leases() {
    const time_point now = state_.time.now();
    std::set<cell_id> busy;
    for (const auto& [id, cell] : homes_.cells().cells()) {
        cell_roles& roles = cells_[id];
        const bool has_work = !cell.waiting.empty() || !cell.grants.empty();
        const bool is_new = roles.busy_at == time_point{};
        if (is_new) {
            // The home before may have ordered a change, and speeds are not known yet.
            roles.balance.changed_at = now;
        }
        if (is_new || has_work) {
            roles.busy_at = now;
        }
        if (!state_.is_stopping && now - roles.busy_at < lease_idle) {
            busy.insert(id);
        }
    }
    if (desk_ != nullptr && busy != held_) {
        held_ = busy;
        desk_->hold(std::move(busy));
    }
}

void role_orders::observe(const cell_id& id, const scheduling::cell_state& cell,
                          cell_roles& roles) {
    const time_point now = state_.time.now();
    roles.balance.prefill_engines = count_in(cell, backend_role::prefill);
    roles.balance.decode_engines = count_in(cell, backend_role::decode);
    const duration since = now - roles.observed_at;
    if (roles.observed_at != time_point{} && since >= observation_period) {
        const scheduling::pool_utilization use =
            scheduling::utilization_between(roles.offered, cell.offered, cell.capacity, since);
        scheduling::observe_utilization(roles.balance, gateway_role_rule(change_time(id)),
                                        use.prefill, use.decode, since, now);
    }
    if (since >= observation_period) {
        roles.offered = cell.offered;
        roles.observed_at = now;
    }
}

void role_orders::consider(const cell_id& id, const scheduling::cell_state& cell,
                           cell_roles& roles) {
    const auto wanted = scheduling::decide_role_change(
        roles.balance, gateway_role_rule(change_time(id)), state_.time.now());
    if (!wanted) {
        return;
    }
    const bool is_prefill = *wanted == backend_role::prefill;
    const scheduling::engine* chosen =
        least_busy(cell, is_prefill ? backend_role::decode : backend_role::prefill);
    if (chosen == nullptr) {
        return;
    }
    orders::order due;
    due.engine = chosen->id;
    due.kind = orders::order_kind::set_role;
    due.role = *wanted;
    due.checks_fencing = checks_fencing_;
    if (!desk_->ask(id, due)) {
        return; // Another cell's order is under way.
    }
    roles.under_way = change{chosen->id, chosen->spec.started, *wanted, {}};
    state_.log.write(weight::notable, "order.wanted",
                     {{"cell", id.str()},
                      {"backend", chosen->id.str()},
                      {"role", name_of(*wanted)},
                      {"prefill_use", roles.balance.prefill_utilization},
                      {"decode_use", roles.balance.decode_utilization},
                      {"prefill_engines", roles.balance.prefill_engines},
                      {"decode_engines", roles.balance.decode_engines}});
}

void role_orders::watch(const cell_id& id, cell_roles& roles) {
    const change& under_way = *roles.under_way;
    if (!under_way.ordered_until) {
        return; // The desk answers in any case.
    }
    const discovery::backend* engine = state_.backends.find(under_way.engine);
    if (engine == nullptr || engine->started != under_way.started) {
        finish(id, roles, "engine gone");
    } else if (engine->role == under_way.role) {
        finish(id, roles, "changed");
    } else if (state_.time.now() >= *under_way.ordered_until) {
        finish(id, roles, "not seen in time");
    }
}

void role_orders::finish(const cell_id& id, cell_roles& roles, const char* outcome) {
    const backend_id engine = roles.under_way->engine;
    state_.log.write(weight::notable, "order.ended",
                     {{"cell", id.str()}, {"backend", engine.str()}, {"outcome", outcome}});
    homes_.set_paused(id, engine, false);
    roles.under_way.reset();
    roles.balance.changed_at = state_.time.now();
}

const discovery::backend* role_orders::still_due(const change& wanted) const {
    const discovery::backend* engine = state_.backends.find(wanted.engine);
    const bool is_due = engine != nullptr && engine->started == wanted.started &&
                        engine->role != wanted.role && !engine->is_draining;
    return is_due ? engine : nullptr;
}

std::chrono::milliseconds role_orders::change_time(const cell_id& id) const {
    const routing::engine_traits* traits =
        state_.table ? state_.table->find_traits(service_id{id.str()}) : nullptr;
    return traits == nullptr ? std::chrono::milliseconds{0} : traits->role_change_duration;
}

void role_orders::on_permit(const cell_id& cell,
                            const std::optional<orders::order_permit>& permit) {
    const auto known = cells_.find(cell);
    if (known == cells_.end() || !known->second.under_way) {
        return;
    }
    cell_roles& roles = known->second;
    change& wanted = *roles.under_way;
    const discovery::backend* engine = still_due(wanted);
    if (!permit || engine == nullptr || state_.is_stopping) {
        finish(cell, roles, permit ? "no longer due" : "no lease");
        return;
    }
    const time_point now = state_.time.now();
    wanted.ordered_until = now + change_periods * change_time(cell) + engine_finish_time;
    homes_.set_paused(cell, wanted.engine, true);
    asio::co_spawn(state_.loop, send(cell, *engine, wanted.role, *permit), asio::detached);
}

asio::awaitable<forwarding::full_response>
role_orders::call_if(bool may_send, discovery::backend engine, forwarding::engine_call made) {
    if (!may_send) {
        co_return forwarding::full_response{};
    }
    co_return co_await forwarding::call_engine(state_, nullptr, engine, std::move(made));
}

asio::awaitable<void> role_orders::send(cell_id id, discovery::backend engine, backend_role role,
                                        orders::order_permit permit) {
    const auto asked =
        co_await forwarding::call_engine(state_, nullptr, engine, state_.wire.make_report_call());
    const auto report = state_.wire.parse_report(asked.body);
    const bool is_in_time = lease_time_.now() < permit.not_after;
    const bool may_send = !asked.error && report && is_in_time;
    // GCC 12 destroys temporaries of a conditional within a co_await wrongly.
    forwarding::engine_call made;
    if (may_send) {
        made = state_.wire.make_role_call(role, self_, permit.number, report->accepted_orders);
    }
    const forwarding::full_response answer = co_await call_if(may_send, engine, made);
    state_.log.write(weight::notable, "order.sent",
                     {{"cell", id.str()},
                      {"backend", engine.id.str()},
                      {"role", name_of(role)},
                      {"number", permit.number.value()},
                      {"in_time", is_in_time},
                      {"sent", may_send},
                      {"status", answer.status},
                      {"error", answer.error ? answer.error.message() : std::string{}}});
    const bool is_taken = answer.status == status_ok || answer.status == status_accepted;
    // Without an answer the order may still be carried out; the engine stays out meanwhile.
    const bool is_surely_not_taken = !may_send || (!answer.error && !is_taken);
    const auto known = cells_.find(id);
    if (is_surely_not_taken && known != cells_.end() && known->second.under_way) {
        finish(id, known->second, "not taken");
    }
}

} // namespace cicadahatch::gateway
