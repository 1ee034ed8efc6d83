#pragma once

#include "src/routing/key_index.hpp"
#include "src/routing/route.hpp"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cicadahatch::routing {

/// \brief Immutable index over one configuration for looking up routes.
class route_table {
public:
    /// \param key_seed secret of this process, for the index of keys
    explicit route_table(configuration source, std::uint64_t key_seed = 0);
    // The index of keys refers to the configuration.
    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;
    route_table(route_table&&) = delete;
    route_table& operator=(route_table&&) = delete;
    ~route_table() = default;

    [[nodiscard]] std::uint64_t version() const noexcept { return configuration_.version; }
    [[nodiscard]] const input_limits& limits() const noexcept { return configuration_.limits; }
    [[nodiscard]] const std::vector<route>& routes() const noexcept {
        return configuration_.routes;
    }

    [[nodiscard]] const std::vector<service>& services() const noexcept {
        return configuration_.services;
    }

    /// \returns whether callers are identified by keys
    [[nodiscard]] bool has_teams() const noexcept { return configuration_.teams.has_value(); }
    /// \returns the teams; none if callers are not identified by keys
    [[nodiscard]] const std::vector<team>& teams() const noexcept;
    /// \returns the team that holds the key, or null
    [[nodiscard]] const team* find_team(std::string_view key) const { return keys_.find(key); }
    /// \returns whether requests of the route need a key
    [[nodiscard]] bool requires_key(const route& route) const noexcept {
        return has_teams() && !route.is_public;
    }

    /// \param host value of the Host header; port and case are ignored
    /// \param target request target; the query is ignored
    /// \returns the route with the longest prefix that matches the path, or null
    [[nodiscard]] const route* find(std::string_view host, std::string_view target) const;

    /// \returns the number of distinct priorities of the service's requests that are more urgent
    /// than this one, at most 255. Only the order of priorities matters, not their values. A team's
    /// priority goes before the route's, which orders the requests of teams with equal priority.
    /// \param owner the caller's team; null if unknown
    [[nodiscard]] std::uint8_t priority_level(const route& route, const service_id& service,
                                              const team* owner = nullptr) const;

    /// \returns the engine properties of a model service; null for any other service
    [[nodiscard]] const engine_traits* find_traits(const service_id& id) const;

private:
    /// Priority of the team, or else of the route, then that of the route.
    using request_priority = std::pair<std::uint32_t, std::uint32_t>;

    [[nodiscard]] static request_priority priority_of(const route& route, const team* owner);
    void add_priorities(const route& route);

    configuration configuration_;
    key_index keys_;
    /// Indices of the routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
    std::unordered_map<service_id, std::size_t> by_service_;
    std::unordered_map<service_id, std::set<request_priority>>
        priorities_; ///< of each service's requests
};

using route_table_ptr = std::shared_ptr<const route_table>;

/// \brief Selects a service of a route at random, in proportion to the weights.
/// \param draw uniform in [0, 1)
/// \returns the service, or an empty identifier if the route has none
[[nodiscard]] service_id choose_service(const route& route, double draw);

} // namespace cicadahatch::routing
