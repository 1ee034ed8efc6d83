#include "src/discovery/configuration_age.hpp"

#include <algorithm>

namespace cicadahatch::discovery {

namespace {

using namespace std::chrono_literals;

/// Covers the difference of clock rates and the time between the check and the caller's send.
constexpr std::chrono::milliseconds age_margin = 250ms;

} // namespace

void confirm(configuration_age& age, time_point complete_as_of) {
    age.complete_as_of = std::max(age.complete_as_of, complete_as_of);
}

bool is_outdated(const configuration_age& age, time_point now) {
    return age.max_age && now - age.complete_as_of > *age.max_age - age_margin;
}

} // namespace cicadahatch::discovery
