#pragma once

#include "src/core/identifiers.hpp"
#include "src/settings/service.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace cicadahatch::configuration {

/// \brief One service of the configuration in force.
struct accepted_service {
    settings::service described;
    std::string text; ///< canonical JSON, as settings::render_service() writes it
    revision created; ///< configuration revision at which the service came into being
    revision changed; ///< configuration revision of its last change
};

using service_map = std::map<service_id, std::shared_ptr<const accepted_service>>;
/// Deleted services, with the revision that deleted them.
using tombstone_map = std::map<service_id, revision>;

/// \brief The whole configuration as of one revision. Immutable; shared by pointer.
///
/// Configuration revisions are counted by the head key: each accepted change adds one.
class snapshot {
public:
    /// \param tombstones_since every deletion after this revision is among the tombstones
    snapshot(revision at, service_map services, tombstone_map tombstones,
             revision tombstones_since);

    [[nodiscard]] revision at() const noexcept { return at_; }
    [[nodiscard]] const service_map& services() const noexcept { return services_; }
    [[nodiscard]] const tombstone_map& tombstones() const noexcept { return tombstones_; }
    [[nodiscard]] revision tombstones_since() const noexcept { return tombstones_since_; }
    /// \returns a hash of revision, services and tombstones, equal in every process
    [[nodiscard]] std::uint64_t fingerprint() const noexcept { return fingerprint_; }

    /// \returns the service, or null; valid as long as the snapshot
    [[nodiscard]] const settings::service* find(const service_id& name) const;

private:
    revision at_;
    service_map services_;
    tombstone_map tombstones_;
    revision tombstones_since_;
    std::uint64_t fingerprint_;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

} // namespace cicadahatch::configuration
