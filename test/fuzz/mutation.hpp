#pragma once

#include "cicadahatch/core"

#include <string>
#include <vector>

namespace cicadahatch::fuzz {

/// \brief Makes an input from sound ones by a few random edits.
/// \param seeds not empty
[[nodiscard]] std::string mutate(const std::vector<std::string>& seeds, random_source& random);

} // namespace cicadahatch::fuzz
