#include "src/orders/reconcile.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace cicadahatch::orders {

namespace {

order make_order(const desired_engine& desired, order_kind kind) {
    order prepared;
    prepared.engine = desired.id;
    prepared.address = desired.address;
    prepared.kind = kind;
    prepared.model = desired.model;
    prepared.version = desired.version;
    prepared.role = desired.role;
    prepared.checks_fencing = desired.checks_fencing;
    return prepared;
}

bool holds_adapter(const observed_engine& observed, const std::string& adapter) {
    return std::find(observed.adapters.begin(), observed.adapters.end(), adapter) !=
           observed.adapters.end();
}

bool holds_model(const desired_engine& desired, const observed_engine& observed) {
    const bool is_any_version = desired.version.empty();
    return desired.model == observed.model &&
           (is_any_version || desired.version == observed.version);
}

std::optional<order> next_order(const desired_engine& desired, const observed_engine& observed) {
    if (!holds_model(desired, observed)) {
        return make_order(desired, order_kind::load_model);
    }
    if (desired.role != observed.role) {
        return make_order(desired, order_kind::set_role);
    }
    for (const std::string& adapter : desired.adapters) {
        if (!holds_adapter(observed, adapter)) {
            order prepared = make_order(desired, order_kind::load_adapter);
            prepared.adapter = adapter;
            return prepared;
        }
    }
    return std::nullopt;
}

desired_engine to_desired_engine(const settings::service& service,
                                 const settings::backend_server& server) {
    return {server.id, server.address,        server.role, service.model, service.version,
            {},        service.checks_fencing};
}

} // namespace

std::vector<desired_engine> desired_engines(const std::vector<settings::service>& services) {
    std::vector<desired_engine> engines;
    std::map<backend_id, std::size_t> indices;
    for (const settings::service& service : services) {
        if (service.kind != settings::service_kind::model) {
            continue;
        }
        for (const settings::backend_server& server : service.backends) {
            const auto [entry, is_new] = indices.emplace(server.id, engines.size());
            if (is_new) {
                engines.push_back(to_desired_engine(service, server));
            }
            desired_engine& desired = engines[entry->second];
            desired.checks_fencing = desired.checks_fencing && service.checks_fencing;
            if (!service.adapter.empty()) {
                desired.adapters.push_back(service.adapter);
            }
        }
    }
    return engines;
}

std::vector<order> reconcile(const std::vector<desired_engine>& desired,
                             const std::vector<observed_engine>& observed) {
    std::map<backend_id, const observed_engine*> by_id;
    for (const observed_engine& engine : observed) {
        by_id.emplace(engine.id, &engine);
    }
    std::vector<order> orders;
    for (const desired_engine& engine : desired) {
        const auto found = by_id.find(engine.id);
        if (found == by_id.end() || found->second->is_leaving) {
            continue;
        }
        if (auto next = next_order(engine, *found->second)) {
            orders.push_back(std::move(*next));
        }
    }
    return orders;
}

} // namespace cicadahatch::orders
