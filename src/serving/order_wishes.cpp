#include "src/serving/order_wishes.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace cicadahatch::serving {

namespace {

bool is_of_model(const settings::service& described, const model_id& model) {
    return described.kind == settings::service_kind::model && described.model == model;
}

const engines::loaded_model* find_model(const std::vector<engines::loaded_model>& held,
                                        const model_id& wanted) {
    const auto found =
        std::find_if(held.begin(), held.end(),
                     [&](const engines::loaded_model& one) { return one.id == wanted; });
    return found == held.end() ? nullptr : &*found;
}

orders::observed_engine to_observed(const backend_row& server, const model_id& wanted) {
    orders::observed_engine seen;
    seen.id = server.id;
    seen.role = present_role(server);
    seen.is_leaving = has_left(server);
    if (const engines::loaded_model* held = find_model(*server.load.models, wanted)) {
        seen.model = held->id;
        seen.version = held->version;
        seen.adapters = held->adapters;
    }
    return seen;
}

void keep_reported_roles(std::vector<orders::desired_engine>& desired,
                         const std::vector<orders::observed_engine>& observed) {
    std::map<backend_id, backend_role> reported;
    for (const orders::observed_engine& seen : observed) {
        reported.emplace(seen.id, seen.role);
    }
    for (orders::desired_engine& wanted : desired) {
        const auto seen = reported.find(wanted.id);
        if (seen != reported.end()) {
            wanted.role = seen->second;
        }
    }
}

} // namespace

bool allows_role_change(const service_map& services, const model_id& model) {
    bool is_served = false;
    for (const auto& [name, described] : services) {
        if (!is_of_model(described, model)) {
            continue;
        }
        if (!described.allows_role_change) {
            return false;
        }
        is_served = true;
    }
    return is_served;
}

std::vector<orders::desired_engine> desired_in(const order_cell& cell,
                                               const service_map& services) {
    std::vector<settings::service> of_model;
    for (const auto& [name, described] : services) {
        if (is_of_model(described, cell.plan.model)) {
            of_model.push_back(described);
        }
    }
    std::set<backend_id> members;
    for (const backend_row& server : cell.plan.engines) {
        members.insert(server.id);
    }
    auto desired = orders::desired_engines(of_model);
    std::erase_if(desired, [&](const orders::desired_engine& wanted) {
        return members.count(wanted.id) == 0;
    });
    return desired;
}

std::vector<orders::observed_engine> observed_in(const order_cell& cell) {
    std::vector<orders::observed_engine> observed;
    for (const backend_row& server : cell.plan.engines) {
        const bool is_known = !server.started.empty() && server.load.models.has_value();
        if (is_known && server.is_reachable) {
            observed.push_back(to_observed(server, cell.plan.model));
        }
    }
    return observed;
}

std::vector<orders::order> orders_of(const order_cell& cell, const service_map& services) {
    const auto observed = observed_in(cell);
    auto desired = desired_in(cell, services);
    if (allows_role_change(services, cell.plan.model)) {
        keep_reported_roles(desired, observed);
    }
    return orders::reconcile(desired, observed);
}

} // namespace cicadahatch::serving
