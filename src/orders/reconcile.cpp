#include "src/orders/reconcile.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace cicadahatch::orders {

namespace {

order prepare(const desired_engine& wanted, order_kind kind) {
    order prepared;
    prepared.engine = wanted.id;
    prepared.address = wanted.address;
    prepared.kind = kind;
    prepared.model = wanted.model;
    prepared.version = wanted.version;
    prepared.role = wanted.role;
    prepared.checks_fencing = wanted.checks_fencing;
    return prepared;
}

bool holds_adapter(const observed_engine& seen, const std::string& adapter) {
    return std::find(seen.adapters.begin(), seen.adapters.end(), adapter) != seen.adapters.end();
}

bool holds_model(const desired_engine& wanted, const observed_engine& seen) {
    const bool is_any_version = wanted.version.empty();
    return wanted.model == seen.model && (is_any_version || wanted.version == seen.version);
}

std::optional<order> next_order(const desired_engine& wanted, const observed_engine& seen) {
    if (!holds_model(wanted, seen)) {
        return prepare(wanted, order_kind::load_model);
    }
    if (wanted.role != seen.role) {
        return prepare(wanted, order_kind::set_role);
    }
    for (const std::string& adapter : wanted.adapters) {
        if (!holds_adapter(seen, adapter)) {
            order prepared = prepare(wanted, order_kind::load_adapter);
            prepared.adapter = adapter;
            return prepared;
        }
    }
    return std::nullopt;
}

desired_engine engine_of(const settings::service& described,
                         const settings::backend_server& server) {
    return {server.id, server.address,          server.role, described.model, described.version,
            {},        described.checks_fencing};
}

} // namespace

std::vector<desired_engine> desired_engines(const std::vector<settings::service>& services) {
    std::vector<desired_engine> engines;
    std::map<backend_id, std::size_t> places;
    for (const settings::service& described : services) {
        if (described.kind != settings::service_kind::model) {
            continue;
        }
        for (const settings::backend_server& server : described.backends) {
            const auto [place, is_new] = places.emplace(server.id, engines.size());
            if (is_new) {
                engines.push_back(engine_of(described, server));
            }
            desired_engine& wanted = engines[place->second];
            wanted.checks_fencing = wanted.checks_fencing && described.checks_fencing;
            if (!described.adapter.empty()) {
                wanted.adapters.push_back(described.adapter);
            }
        }
    }
    return engines;
}

std::vector<order> reconcile(const std::vector<desired_engine>& desired,
                             const std::vector<observed_engine>& observed) {
    std::map<backend_id, const observed_engine*> by_id;
    for (const observed_engine& seen : observed) {
        by_id.emplace(seen.id, &seen);
    }
    std::vector<order> orders;
    for (const desired_engine& wanted : desired) {
        const auto seen = by_id.find(wanted.id);
        if (seen == by_id.end() || seen->second->is_leaving) {
            continue;
        }
        if (auto next = next_order(wanted, *seen->second)) {
            orders.push_back(std::move(*next));
        }
    }
    return orders;
}

} // namespace cicadahatch::orders
