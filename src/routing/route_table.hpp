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

/// \brief Immutable index over one configuration for looking up routes.
class route_table {
public:
    explicit route_table(configuration source);

    [[nodiscard]] std::uint64_t version() const noexcept { return configuration_.version; }
    [[nodiscard]] const input_limits& limits() const noexcept { return configuration_.limits; }
    [[nodiscard]] const std::vector<route>& routes() const noexcept {
        return configuration_.routes;
    }

    [[nodiscard]] const std::vector<service>& services() const noexcept {
        return configuration_.services;
    }

    /// \param host value of the Host header; port and case are ignored
    /// \param target request target; the query is ignored
    /// \returns the route with the longest prefix that matches the path, or null
    [[nodiscard]] const route* find(std::string_view host, std::string_view target) const;

    /// \returns the number of distinct priorities among the service's routes that are more urgent
    /// than this route's, at most 255. Only the order of priorities matters, not their values.
    [[nodiscard]] std::uint8_t priority_level(const route& route, const service_id& service) const;

    /// \returns the engine properties of a model service; null for any other service
    [[nodiscard]] const engine_traits* find_traits(const service_id& id) const;

private:
    configuration configuration_;
    /// Indices of the routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
    std::unordered_map<service_id, std::size_t> by_service_;
    std::unordered_map<service_id, std::set<std::uint32_t>>
        priorities_; ///< of each service's routes
};

using route_table_ptr = std::shared_ptr<const route_table>;

/// \brief Selects a service of a route at random, in proportion to the weights.
/// \param draw uniform in [0, 1)
/// \returns the service, or an empty identifier if the route has none
[[nodiscard]] service_id choose_service(const route& route, double draw);

} // namespace cicadahatch::routing
