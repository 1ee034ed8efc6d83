#include "src/serving/order_driver.hpp"

#include "src/serving/order_wishes.hpp"

#include <algorithm>
#include <glog/logging.h>
#include <set>

namespace cicadahatch::serving {

namespace {

/// Pause between two tries to take a cell that another daemon still holds.
constexpr std::chrono::seconds try_period{1};

orders::issuer_limits limits_of(const settings::order_rules& rules) {
    orders::issuer_limits limits;
    limits.lease = rules.lease;
    limits.max_order_duration = rules.longest_order;
    limits.connection_idle_timeout = rules.connection_idle;
    return limits;
}

time_point reported_at(const order_cell& cell, const backend_id& engine) {
    for (const backend_row& server : cell.plan.engines) {
        if (server.id == engine) {
            return server.reported;
        }
    }
    return {};
}

bool has_order_for(const std::vector<orders::order>& due, const backend_id& engine) {
    return std::any_of(due.begin(), due.end(),
                       [&](const orders::order& one) { return one.engine == engine; });
}

} // namespace

order_driver::order_driver(store::key_value_store& kept, const clock& time, const daemon_id& self,
                           const settings::order_rules& rules, orders::order_sender& sender)
    : kept_(kept), time_(time), self_(self), rules_(rules), role_rule_(role_rule_of(rules)),
      sender_(sender) {}

void order_driver::tick(const std::vector<order_cell>& hosted, const service_map& services,
                        std::size_t cells_of_fleet) {
    const std::lock_guard lock{mutex_};
    if (is_stopped_) {
        return;
    }
    keep_only(hosted);
    take_in_ended();
    const double sharing = static_cast<double>(std::max<std::size_t>(cells_of_fleet, 1));
    for (const order_cell& cell : hosted) {
        issued_cell& of_cell = issued(cell.plan.id);
        of_cell.issuing.set_loads_per_minute(rules_.loads_per_minute / sharing);
        drive(of_cell, cell, services);
    }
}

void order_driver::stop() {
    const std::lock_guard lock{mutex_};
    is_stopped_ = true;
    for (auto& [id, of_cell] : cells_) {
        of_cell.issuing.release();
    }
    cells_.clear();
}

void order_driver::keep_only(const std::vector<order_cell>& hosted) {
    std::set<cell_id> kept;
    for (const order_cell& cell : hosted) {
        kept.insert(cell.plan.id);
    }
    for (auto& [id, of_cell] : cells_) {
        if (kept.count(id) == 0) {
            of_cell.issuing.release();
        }
    }
    std::erase_if(cells_, [&](const auto& entry) { return kept.count(entry.first) == 0; });
}

void order_driver::take_in_ended() {
    std::vector<ended_order> ended;
    {
        const std::lock_guard lock{ended_mutex_};
        ended.swap(ended_);
    }
    for (const ended_order& one : ended) {
        const auto found = cells_.find(one.cell);
        if (found == cells_.end()) {
            continue;
        }
        found->second.issuing.record_outcome(one.used, one.outcome);
        end_order(found->second.sent, one.engine, one.outcome, rules_.longest_order, time_.now());
    }
}

order_driver::issued_cell& order_driver::issued(const cell_id& cell) {
    const auto known = cells_.find(cell);
    if (known != cells_.end()) {
        return known->second;
    }
    issued_cell fresh{orders::issuer{kept_, time_, cell, self_, limits_of(rules_)},
                      begin_roles(time_.now()),
                      {},
                      {},
                      {}};
    return cells_.emplace(cell, std::move(fresh)).first->second;
}

void order_driver::drive(issued_cell& issued, const order_cell& cell, const service_map& services) {
    const auto due = due_orders(issued, cell, services);
    if (!needs_lease(issued, !due.empty() || is_any_under_way(issued.sent))) {
        issued.issuing.release();
        return;
    }
    hold_lease(issued);
    for (const orders::order& next : due) {
        if (const auto permit = issued.issuing.admit(next)) {
            send(issued, cell.plan.id, next, *permit);
        }
    }
}

std::vector<orders::order> order_driver::due_orders(issued_cell& issued, const order_cell& cell,
                                                    const service_map& services) {
    const time_point now = time_.now();
    auto due = orders_of(cell, services);
    if (allows_role_change(services, cell.plan.model)) {
        observe_roles(issued.roles, role_rule_, cell, now);
        const auto change = role_order(issued.roles, role_rule_, cell, services, now);
        if (change && !has_order_for(due, change->engine)) {
            due.push_back(*change);
        }
    }
    std::erase_if(due, [&](const orders::order& one) {
        return !is_order_due(issued.sent, one.engine, reported_at(cell, one.engine), now);
    });
    return due;
}

bool order_driver::needs_lease(issued_cell& issued, bool is_busy) {
    const time_point now = time_.now();
    if (is_busy) {
        issued.busy_at = now;
        issued.is_idle = false;
    }
    issued.is_idle = issued.is_idle || now - issued.busy_at >= rules_.lease_idle;
    return is_busy || !issued.is_idle;
}

void order_driver::hold_lease(issued_cell& issued) {
    const time_point now = time_.now();
    if (!issued.issuing.lease() && now < issued.next_try) {
        return;
    }
    issued.next_try = now + try_period;
    if (const auto error = issued.issuing.tick()) {
        LOG_EVERY_N(WARNING, 50) << "orders: store: " << error.message();
    }
}

void order_driver::send(issued_cell& issued, const cell_id& cell, const orders::order& due,
                        const orders::order_permit& permit) {
    const time_point now = time_.now();
    begin_order(issued.sent, due.engine, now);
    if (due.kind == orders::order_kind::set_role) {
        issued.roles.balance.changed_at = now;
    }
    workers_.start([this, cell, due, permit] {
        const auto sent = sender_.send(due, permit.number, permit.not_after);
        const std::error_code outcome = sent ? std::error_code{} : sent.error();
        LOG(INFO) << "orders: engine " << due.engine.str() << ": "
                  << (outcome ? outcome.message() : "order carried out");
        const std::lock_guard lock{ended_mutex_};
        ended_.push_back({cell, due.engine, permit, outcome});
    });
}

} // namespace cicadahatch::serving
