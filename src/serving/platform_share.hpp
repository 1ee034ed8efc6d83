#pragma once

#include "src/core/clock.hpp"
#include "src/store/guarded_store.hpp"

#include <cstddef>

namespace cicadahatch::serving {

/// \brief What a daemon knows of the others that share the platform's rates with it.
struct platform_share {
    time_point started;        ///< of this daemon
    std::size_t most_live = 1; ///< daemons seen alive at once, this one among them
};

/// \brief Works out a daemon's part of the platform's rates.
///
/// A daemon that has just started does not know the others yet and takes the part of a full-size
/// fleet. Later the most daemons that it has seen at once count, so that daemons cut off from each
/// other but not from the platform don't exceed the rates together.
/// \param live daemons alive now, this one among them
[[nodiscard]] store::call_budget budget_of(platform_share& share, std::size_t live, time_point now);

} // namespace cicadahatch::serving
