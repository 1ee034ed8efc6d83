#pragma once

#include "programs/cicadahatch/terminal.hpp"
#include "src/configuration/publish.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cicadahatch::tool {

/// \brief What an operator wants to put into force.
struct publish_wish {
    std::vector<settings::service> services; ///< created or changed
    std::vector<service_id> erased;
    bool is_whole = false; ///< erase every service that is not among the services
    std::optional<revision>
        base; ///< revision that the files were made from; none: the one in force
    std::string change_id;
    bool is_dry_run = false; ///< show only what would change
    /// Called before a failed call of the platform is made again; waits. Empty: no wait.
    std::function<void(int failures)> pause;
};

/// \brief What came of a wish.
struct publish_outcome {
    exit_code code = exit_code::ok;
    revision at; ///< revision that holds the wish; empty after a failure or a dry run
};

/// \brief Publishes, or tries out, and prints the differences, conflicts or the error.
[[nodiscard]] publish_outcome publish_services(store::key_value_store& kept,
                                               const publish_wish& wish, const terminal& to);

} // namespace cicadahatch::tool
