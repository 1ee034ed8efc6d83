#include "src/serving/internal/checked_places.hpp"

#include "src/core/macros.hpp"

namespace cicadahatch::serving::internal {

std::vector<http::endpoint> to_places(const std::vector<std::string>& texts) {
    std::vector<http::endpoint> places;
    for (const std::string& text : texts) {
        const auto place = http::parse_endpoint(text);
        CICADAHATCH_ASSERT(place.has_value(), endpoints_of_settings_are_checked);
        places.push_back(*place);
    }
    return places;
}

} // namespace cicadahatch::serving::internal
