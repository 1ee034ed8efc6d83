#pragma once

#include "src/configuration/snapshot.hpp"
#include "src/core/result.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cicadahatch::configuration {

enum class difference_kind : std::uint8_t { created, changed, erased };

/// \brief How a service would change.
struct difference {
    service_id service;
    difference_kind kind = difference_kind::changed;
    std::vector<std::string> fields; ///< paths such as "urgent.share"; for kind changed only
};

/// \brief A service that others changed since the base revision, and that the publisher would
/// overwrite.
struct conflict {
    service_id service;
    difference_kind others = difference_kind::changed; ///< what the others did
    std::vector<std::string> fields; ///< where theirs and ours differ; empty: the whole service
    revision changed;                ///< revision of their change
};

/// \brief What publishing a set of services means, given what is in force.
struct change_plan {
    snapshot_ptr next; ///< null if nothing changes or there are conflicts
    std::vector<difference> differences;
    std::vector<conflict> conflicts;
};

/// \brief Works out the next snapshot. Pure.
///
/// Services that others changed since the base are left alone where the set leaves them as they
/// are; where it does not, that is a conflict. A service created since the base and missing from
/// the set stays.
/// \param current what is in force; null: nothing was published yet
/// \param services the whole wanted set; each name stands once
/// \param base the revision that the set was made from; empty: none
/// \returns the plan, or errc::base_unknown
[[nodiscard]] result<change_plan> plan_change(const snapshot_ptr& current,
                                              const std::vector<settings::service>& services,
                                              revision base);

/// \returns the paths at which two canonical texts of a service differ
[[nodiscard]] std::vector<std::string> differing_fields(const std::string& left,
                                                        const std::string& right);

} // namespace cicadahatch::configuration
