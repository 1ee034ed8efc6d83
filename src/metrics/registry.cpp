#include "src/metrics/registry.hpp"

#include "src/core/macros.hpp"

#include <algorithm>
#include <cctype>

namespace cicadahatch::metrics {

namespace {

bool is_valid(const metric_name& name) {
    const std::string& text = name.str();
    const bool has_valid_letters = std::all_of(text.begin(), text.end(), [](unsigned char letter) {
        return std::isalnum(letter) != 0 || letter == '_';
    });
    return !text.empty() && std::isdigit(static_cast<unsigned char>(text[0])) == 0 &&
           has_valid_letters;
}

} // namespace

counter& registry::counter_of(const metric_name& name, const std::string& help) {
    CICADAHATCH_ASSERT(is_valid(name), metric_name_is_valid);
    const std::lock_guard lock{mutex_};
    row& place = rows_[name];
    CICADAHATCH_ASSERT(!place.gauged, metric_is_no_gauge);
    if (!place.counted) {
        place.help = help;
        place.counted = std::make_unique<counter>();
    }
    return *place.counted;
}

gauge& registry::gauge_of(const metric_name& name, const std::string& help) {
    CICADAHATCH_ASSERT(is_valid(name), metric_name_is_valid);
    const std::lock_guard lock{mutex_};
    row& place = rows_[name];
    CICADAHATCH_ASSERT(!place.counted, metric_is_no_counter);
    if (!place.gauged) {
        place.help = help;
        place.gauged = std::make_unique<gauge>();
    }
    return *place.gauged;
}

std::vector<metric_reading> registry::read() const {
    std::vector<metric_reading> readings;
    const std::lock_guard lock{mutex_};
    for (const auto& [name, each] : rows_) {
        const std::int64_t value =
            each.counted ? static_cast<std::int64_t>(each.counted->value()) : each.gauged->value();
        readings.push_back({name, each.help, value, each.counted != nullptr});
    }
    return readings;
}

} // namespace cicadahatch::metrics
