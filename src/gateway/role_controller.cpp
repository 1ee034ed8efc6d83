#include "src/gateway/role_controller.hpp"

#include "src/gateway/cell_configuration.hpp"
#include "src/gateway/constants.hpp"

#include <algorithm>

namespace cicadahatch::gateway {

namespace {

namespace asio = forwarding::asio;
using logging::weight;

constexpr unsigned status_ok = 200;
constexpr unsigned status_accepted = 202;

const char* role_name(backend_role role) {
    return role == backend_role::prefill ? "prefill" : "decode";
}

/// Whether an engine counts as pool capacity. One that is only probed after its ejection does not;
/// one that is briefly held back does.
bool is_counted(const scheduling::engine& engine) {
    return !engine.is_leaving && !engine.is_paused && engine.health == scheduling::health::healthy;
}

std::uint32_t count_in(const scheduling::cell_state& cell, backend_role role) {
    const auto& engines = cell.engines.rows();
    const auto counted = std::count_if(engines.begin(), engines.end(), [role](const auto& engine) {
        return is_counted(engine) && engine.spec.role == role;
    });
    return static_cast<std::uint32_t>(counted);
}

/// \returns the engine of a pool with the fewest prefills and streams, or null
const scheduling::engine* least_busy(const scheduling::cell_state& cell, backend_role source) {
    const scheduling::engine* best = nullptr;
    for (const scheduling::engine& engine : cell.engines.rows()) {
        if (!is_counted(engine) || engine.spec.role != source) {
            continue;
        }
        const bool is_better =
            best == nullptr || engine.prefills + engine.streams < best->prefills + best->streams;
        best = is_better ? &engine : best;
    }
    return best;
}

} // namespace

role_controller::role_controller(forwarding::gateway_state& state, home_server& home,
                                 const clock& lease_time, daemon_id self, bool checks_fencing)
    : state_(state), home_(home), lease_time_(lease_time), self_(std::move(self)),
      checks_fencing_(checks_fencing) {}

void role_controller::tick() {
    update_held_leases();
    for (const auto& [id, cell] : home_.cells().cells()) {
        cell_roles& roles = cells_[id];
        sample_load(id, cell, roles);
        if (roles.pending) {
            check_progress(id, roles);
        } else if (!state_.is_stopping && lease_manager_ != nullptr) {
            consider_change(id, cell, roles);
        }
    }
}

void role_controller::update_held_leases() {
    const time_point now = state_.time.now();
    std::set<cell_id> busy;
    for (const auto& [id, cell] : home_.cells().cells()) {
        cell_roles& roles = cells_[id];
        const bool has_requests = !cell.waiting.empty() || !cell.grants.empty();
        const bool is_new = roles.last_busy_at == time_point{};
        if (is_new) {
            // The previous home may have ordered a change, and engine speeds are not known yet.
            roles.balance.changed_at = now;
        }
        if (is_new || has_requests) {
            roles.last_busy_at = now;
        }
        if (!state_.is_stopping && now - roles.last_busy_at < lease_idle_timeout) {
            busy.insert(id);
        }
    }
    if (lease_manager_ != nullptr && busy != held_) {
        held_ = busy;
        lease_manager_->hold(std::move(busy));
    }
}

void role_controller::sample_load(const cell_id& id, const scheduling::cell_state& cell,
                                  cell_roles& roles) {
    const time_point now = state_.time.now();
    roles.balance.prefill_engines = count_in(cell, backend_role::prefill);
    roles.balance.decode_engines = count_in(cell, backend_role::decode);
    const duration since = now - roles.sampled_at;
    if (roles.sampled_at != time_point{} && since >= load_sample_period) {
        const scheduling::pool_utilization utilization =
            scheduling::utilization_between(roles.last_offered, cell.offered, cell.capacity, since);
        scheduling::observe_utilization(roles.balance, gateway_role_change_policy(change_time(id)),
                                        utilization.prefill, utilization.decode, since, now);
    }
    if (since >= load_sample_period) {
        roles.last_offered = cell.offered;
        roles.sampled_at = now;
    }
}

void role_controller::consider_change(const cell_id& id, const scheduling::cell_state& cell,
                                      cell_roles& roles) {
    const auto wanted = scheduling::decide_role_change(
        roles.balance, gateway_role_change_policy(change_time(id)), state_.time.now());
    if (!wanted) {
        return;
    }
    const bool is_prefill = *wanted == backend_role::prefill;
    const scheduling::engine* chosen =
        least_busy(cell, is_prefill ? backend_role::decode : backend_role::prefill);
    if (chosen == nullptr) {
        return;
    }
    orders::order order;
    order.engine = chosen->id;
    order.kind = orders::order_kind::set_role;
    order.role = *wanted;
    order.checks_fencing = checks_fencing_;
    if (!lease_manager_->request_permit(id, order)) {
        return; // Another cell's permit request is pending.
    }
    roles.pending = role_change{chosen->id, chosen->spec.started, *wanted, {}};
    state_.log.write(weight::notable, "order.wanted",
                     {{"cell", id.str()},
                      {"backend", chosen->id.str()},
                      {"role", role_name(*wanted)},
                      {"prefill_use", roles.balance.prefill_utilization},
                      {"decode_use", roles.balance.decode_utilization},
                      {"prefill_engines", roles.balance.prefill_engines},
                      {"decode_engines", roles.balance.decode_engines}});
}

void role_controller::check_progress(const cell_id& id, cell_roles& roles) {
    const role_change& pending = *roles.pending;
    if (!pending.ordered_until) {
        return; // The lease manager always responds.
    }
    const discovery::backend* engine = state_.backends.find(pending.engine);
    if (engine == nullptr || engine->started != pending.started) {
        end_change(id, roles, "engine gone");
    } else if (engine->role == pending.role) {
        end_change(id, roles, "changed");
    } else if (state_.time.now() >= *pending.ordered_until) {
        end_change(id, roles, "not seen in time");
    }
}

void role_controller::end_change(const cell_id& id, cell_roles& roles, const char* outcome) {
    const backend_id engine = roles.pending->engine;
    state_.log.write(weight::notable, "order.ended",
                     {{"cell", id.str()}, {"backend", engine.str()}, {"outcome", outcome}});
    home_.set_paused(id, engine, false);
    roles.pending.reset();
    roles.balance.changed_at = state_.time.now();
}

const discovery::backend* role_controller::find_changeable(const role_change& change) const {
    const discovery::backend* engine = state_.backends.find(change.engine);
    const bool is_due = engine != nullptr && engine->started == change.started &&
                        engine->role != change.role && !engine->is_draining;
    return is_due ? engine : nullptr;
}

std::chrono::milliseconds role_controller::change_time(const cell_id& id) const {
    const routing::engine_traits* traits =
        state_.table ? state_.table->find_traits(service_id{id.str()}) : nullptr;
    return traits == nullptr ? std::chrono::milliseconds{0} : traits->role_change_duration;
}

void role_controller::on_permit(const cell_id& cell,
                                const std::optional<orders::order_permit>& permit) {
    const auto known = cells_.find(cell);
    if (known == cells_.end() || !known->second.pending) {
        return;
    }
    cell_roles& roles = known->second;
    role_change& change = *roles.pending;
    const discovery::backend* engine = find_changeable(change);
    if (!permit || engine == nullptr || state_.is_stopping) {
        end_change(cell, roles, permit ? "no longer due" : "no lease");
        return;
    }
    const time_point now = state_.time.now();
    change.ordered_until = now + role_change_allowance * change_time(cell) + engine_drain_time;
    home_.set_paused(cell, change.engine, true);
    asio::co_spawn(state_.loop, send(cell, *engine, change.role, *permit), asio::detached);
}

asio::awaitable<forwarding::full_response>
role_controller::call_if_allowed(bool may_send, discovery::backend engine,
                                 forwarding::engine_call call) {
    if (!may_send) {
        co_return forwarding::full_response{};
    }
    co_return co_await forwarding::call_engine(state_, nullptr, engine, std::move(call));
}

asio::awaitable<void> role_controller::send(cell_id id, discovery::backend engine,
                                            backend_role role, orders::order_permit permit) {
    const auto reported =
        co_await forwarding::call_engine(state_, nullptr, engine, state_.wire.make_report_call());
    const auto report = state_.wire.parse_report(reported.body);
    const bool is_in_time = lease_time_.now() < permit.not_after;
    const bool may_send = !reported.error && report && is_in_time;
    // GCC 12 destroys temporaries of a conditional within a co_await wrongly.
    forwarding::engine_call call;
    if (may_send) {
        call = state_.wire.make_role_call(role, self_, permit.number, report->accepted_orders);
    }
    const forwarding::full_response answer = co_await call_if_allowed(may_send, engine, call);
    state_.log.write(weight::notable, "order.sent",
                     {{"cell", id.str()},
                      {"backend", engine.id.str()},
                      {"role", role_name(role)},
                      {"number", permit.number.value()},
                      {"in_time", is_in_time},
                      {"sent", may_send},
                      {"status", answer.status},
                      {"error", answer.error ? answer.error.message() : std::string{}}});
    const bool is_accepted = answer.status == status_ok || answer.status == status_accepted;
    // Without a response the engine may still execute the order, so it stays paused until then.
    const bool is_definitely_rejected = !may_send || (!answer.error && !is_accepted);
    const auto known = cells_.find(id);
    if (is_definitely_rejected && known != cells_.end() && known->second.pending) {
        end_change(id, known->second, "not taken");
    }
}

} // namespace cicadahatch::gateway
