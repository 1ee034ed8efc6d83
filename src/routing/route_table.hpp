#pragma once

#include "src/routing/route.hpp"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cicadahatch::routing {

/// \brief One configuration, arranged for looking up routes. Never changes once built.
class route_table {
public:
    explicit route_table(configuration accepted);

    [[nodiscard]] std::uint64_t version() const noexcept { return accepted_.version; }
    [[nodiscard]] const input_limits& limits() const noexcept { return accepted_.limits; }
    [[nodiscard]] const std::vector<route>& routes() const noexcept { return accepted_.routes; }

    [[nodiscard]] const std::vector<service>& services() const noexcept {
        return accepted_.services;
    }

    /// \param host value of the Host header; its port and its case don't matter
    /// \param target the request's target; a query is ignored
    /// \returns the route with the longest prefix that begins the path, or null
    [[nodiscard]] const route* find(std::string_view host, std::string_view target) const;

    /// \returns how many levels of priority among the service's routes go before this route's.
    /// Priorities state an order only: their distances and the levels that no route has don't
    /// count.
    [[nodiscard]] std::uint8_t priority_level(const route& of, const service_id& service) const;

    /// \returns what the engines of a model service have in common; null for any other service
    [[nodiscard]] const engine_traits* find_traits(const service_id& id) const;

private:
    configuration accepted_;
    /// Positions of the routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
    std::unordered_map<service_id, std::size_t> by_service_;
    std::unordered_map<service_id, std::set<std::uint32_t>> priorities_; ///< of a service's routes
};

using route_table_ptr = std::shared_ptr<const route_table>;

/// \brief Picks a service of a route by weight.
/// \param draw uniform in [0, 1)
/// \returns the service; the empty one if the route has none
[[nodiscard]] service_id choose_service(const route& of, double draw);

} // namespace cicadahatch::routing
