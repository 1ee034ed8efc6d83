#pragma once

#include "src/core/clock.hpp"

#include <boost/histogram.hpp>
#include <cstdint>
#include <vector>

namespace cicadahatch::metrics {

/// \brief Counts of latencies on a logarithmic axis, as plain data.
/// Equal bins in every process, so that two of them merge without loss by adding the counts.
struct latency_counts {
    std::vector<std::uint64_t> bins; ///< below the range, the range's bins, above it
    std::uint64_t sum_microseconds = 0;

    friend bool operator==(const latency_counts&, const latency_counts&) = default;
};

/// \returns the number of bins of every latency_counts
[[nodiscard]] std::size_t latency_bin_count();

/// \returns the latency that stands for a bin: off by at most relative_error for all in the bin
[[nodiscard]] duration latency_of_bin(std::size_t bin);

/// \returns the upper edge of a bin
[[nodiscard]] duration upper_edge_of_bin(std::size_t bin);

/// \returns how many latencies were counted
[[nodiscard]] std::uint64_t total(const latency_counts& counts);

/// \brief Adds the counts of another daemon.
void merge(latency_counts& into, const latency_counts& from);

/// \param share in [0, 1]
/// \returns the latency below or at which the share of the counted ones lies; zero if none
[[nodiscard]] duration quantile(const latency_counts& counts, double share);

/// \brief A log-axis histogram with a fixed relative error that many threads may record into.
class latency_histogram {
public:
    latency_histogram();

    /// \brief Counts one latency. Lock-free.
    void record(duration latency);

    /// \returns the counts of now; recordings under way may be missing
    [[nodiscard]] latency_counts counts() const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using count = boost::histogram::accumulators::thread_safe<std::uint64_t>;
    using storage = boost::histogram::dense_storage<count>;

    boost::histogram::histogram<std::tuple<axis>, storage> histogram_;
    count sum_microseconds_;
};

} // namespace cicadahatch::metrics
