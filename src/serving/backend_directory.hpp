#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/core/table.hpp"
#include "src/engines/messages.hpp"
#include "src/http/endpoint.hpp"
#include "src/settings/service.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace cicadahatch::serving {

/// \brief One backend server as this daemon knows it.
struct backend_row {
    backend_id id;
    http::endpoint place;
    backend_role role = backend_role::plain; ///< as configured; see present_role()
    domain_id domain;
    service_id service;
    model_id model;
    incarnation started;     ///< empty: it has not reported yet
    incarnation left;        ///< the incarnation that is leaving; sticky
    bool is_drained = false; ///< by an operator; kept until the next incarnation
    bool is_reachable = true;
    engines::load_report load;
    /// Cached prefixes of the running incarnation; null before the first answer.
    std::shared_ptr<const engines::cached_prefix_set> cache;
    time_point reported; ///< when the load came
    int in_flight = 0;   ///< plain calls of this daemon that are running
};

/// \returns whether the running incarnation of the backend server is leaving or has left; while
/// that is not known, whether any incarnation is
[[nodiscard]] bool has_left(const backend_row& server);

/// \returns the role that an engine reports; until it reports one, the configured role
[[nodiscard]] backend_role present_role(const backend_row& server);

/// \returns whether new work may go to the backend server
[[nodiscard]] bool takes_work(const backend_row& server);

/// The services in force, by name.
using service_map = std::map<service_id, settings::service>;

/// \brief The backend servers and services in force. Safe for use by threads.
class backend_directory {
public:
    /// \returns the configuration revision in force; empty before the first
    [[nodiscard]] revision configured() const;
    /// \returns a number that grows whenever servers are added, restarted, or begin or cease to
    /// take work
    [[nodiscard]] std::uint64_t version() const noexcept { return version_.load(); }
    /// \returns the services in force; null before the first configuration
    [[nodiscard]] std::shared_ptr<const service_map> services() const;
    [[nodiscard]] std::optional<settings::service> service(const service_id& name) const;
    [[nodiscard]] std::optional<backend_row> backend(const backend_id& id) const;
    [[nodiscard]] std::vector<backend_row> backends() const;
    /// \param is_wanted called with the lock held; must not call this object
    /// \returns the backend servers for which it holds
    [[nodiscard]] std::vector<backend_row>
    select(const std::function<bool(const backend_row&)>& is_wanted) const;

    /// \brief Puts services into force. A lower revision than the present one is ignored.
    void apply(revision accepted, std::shared_ptr<const service_map> services);

    /// \brief Notes a load report. A new incarnation at the same address is a new server.
    /// \param cache the engine's cached prefixes if they were asked for; null keeps the known ones
    void note_load(const backend_id& id, const engines::load_report& load, time_point now,
                   std::shared_ptr<const engines::cached_prefix_set> cache = nullptr);

    /// \brief Notes that a backend server answered.
    void note_reachable(const backend_id& id);

    /// \brief Notes that a backend server refused a connection or did not answer its load call.
    void note_unreachable(const backend_id& id);

    /// \brief Notes that an incarnation is leaving; the empty one means the present one.
    /// \returns whether that was news
    bool note_leaving(const backend_id& id, incarnation leaving);

    /// \brief Takes a backend server out of service, or back, by an operator's order.
    /// \returns false if there is no such server
    bool drain(const backend_id& id, bool is_drained);

    /// \brief Picks the least busy plain server of a service and counts the call.
    /// \param excluded servers already tried
    /// \param preferred the failure domain whose servers come first
    [[nodiscard]] std::optional<backend_row> begin_plain(const service_id& service,
                                                         const std::vector<backend_id>& excluded,
                                                         const domain_id& preferred);
    /// \brief Counts a plain call as ended.
    void end_plain(const backend_id& id);

private:
    std::atomic<std::uint64_t> version_{0};
    mutable std::mutex mutex_;
    revision configured_;
    std::shared_ptr<const service_map> services_;
    table<backend_id, backend_row> backends_;
};

} // namespace cicadahatch::serving
