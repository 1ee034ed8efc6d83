#include "bench/common/line_fit.hpp"

namespace cicadahatch::bench {

line fit_line(const std::vector<sized_value>& values) {
    const auto count = static_cast<double>(values.size());
    double size_sum = 0;
    double value_sum = 0;
    for (const sized_value& entry : values) {
        size_sum += entry.size;
        value_sum += entry.value;
    }
    const double mean_size = size_sum / count;
    const double mean_value = value_sum / count;
    double covariance = 0;
    double variance = 0;
    for (const sized_value& entry : values) {
        covariance += (entry.size - mean_size) * (entry.value - mean_value);
        variance += (entry.size - mean_size) * (entry.size - mean_size);
    }
    const double slope = variance == 0 ? 0 : covariance / variance;
    return {mean_value - slope * mean_size, slope};
}

} // namespace cicadahatch::bench
