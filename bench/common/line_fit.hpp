#pragma once

#include <vector>

namespace cicadahatch::bench {

/// \brief A measured value at a size.
struct sized_value {
    double size = 0;
    double value = 0;
};

/// \brief The line through measured values, by least squares.
struct line {
    double at_zero = 0;
    double slope = 0;

    [[nodiscard]] double at(double size) const { return at_zero + slope * size; }
};

/// \param values of two sizes at least
[[nodiscard]] line fit_line(const std::vector<sized_value>& values);

} // namespace cicadahatch::bench
