#include "src/routing/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <iterator>
#include <limits>

namespace cicadahatch::routing {

namespace {

std::string normalized_host(std::string_view host) {
    const std::string_view name = host.substr(0, host.find(':'));
    std::string lowered{name};
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return lowered;
}

} // namespace

route_table::route_table(configuration source, std::uint64_t key_seed)
    : configuration_(std::move(source)), keys_(teams(), key_seed) {
    for (std::size_t index = 0; index < configuration_.routes.size(); ++index) {
        const route& entry = configuration_.routes[index];
        by_host_[normalized_host(entry.host)].push_back(index);
        add_priorities(entry);
    }
    const auto has_longer_prefix = [this](std::size_t left, std::size_t right) {
        return configuration_.routes[left].path_prefix.size() >
               configuration_.routes[right].path_prefix.size();
    };
    for (auto& [host, indices] : by_host_) {
        std::stable_sort(indices.begin(), indices.end(), has_longer_prefix);
    }
    for (std::size_t index = 0; index < configuration_.services.size(); ++index) {
        by_service_.emplace(configuration_.services[index].id, index);
    }
}

const std::vector<team>& route_table::teams() const noexcept {
    static const std::vector<team> none;
    return configuration_.teams ? *configuration_.teams : none;
}

route_table::request_priority route_table::priority_of(const route& route, const team* owner) {
    const bool has_priority = owner != nullptr && owner->priority;
    return {has_priority ? *owner->priority : route.priority, route.priority};
}

void route_table::add_priorities(const route& route) {
    for (const weighted_service& weighted : route.services) {
        auto& known = priorities_[weighted.service];
        if (!requires_key(route)) {
            known.insert(priority_of(route, nullptr));
        }
        for (const team& owner : teams()) {
            known.insert(priority_of(route, &owner));
        }
    }
}

const route* route_table::find(std::string_view host, std::string_view target) const {
    const auto found = by_host_.find(normalized_host(host));
    if (found == by_host_.end()) {
        return nullptr;
    }
    const std::string_view path = target.substr(0, target.find('?'));
    for (const std::size_t index : found->second) {
        const route& candidate = configuration_.routes[index];
        if (path.starts_with(candidate.path_prefix)) {
            return &candidate;
        }
    }
    return nullptr;
}

std::uint8_t route_table::priority_level(const route& route, const service_id& service,
                                         const team* owner) const {
    const auto found = priorities_.find(service);
    if (found == priorities_.end()) {
        return 0;
    }
    const auto more_urgent =
        std::distance(found->second.begin(), found->second.lower_bound(priority_of(route, owner)));
    constexpr std::ptrdiff_t last_level = std::numeric_limits<std::uint8_t>::max();
    return static_cast<std::uint8_t>(std::min<std::ptrdiff_t>(more_urgent, last_level));
}

const engine_traits* route_table::find_traits(const service_id& id) const {
    const auto found = by_service_.find(id);
    if (found == by_service_.end()) {
        return nullptr;
    }
    const auto& traits = configuration_.services[found->second].engine;
    return traits ? &*traits : nullptr;
}

service_id choose_service(const route& route, double draw) {
    std::uint64_t total = 0;
    for (const weighted_service& weighted : route.services) {
        total += weighted.weight;
    }
    double remaining = draw * static_cast<double>(total);
    for (const weighted_service& weighted : route.services) {
        remaining -= weighted.weight;
        if (remaining < 0) {
            return weighted.service;
        }
    }
    return route.services.empty() ? service_id{} : route.services.back().service;
}

} // namespace cicadahatch::routing
