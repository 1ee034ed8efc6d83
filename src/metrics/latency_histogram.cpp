#include "src/metrics/latency_histogram.hpp"

#include "src/core/macros.hpp"
#include "src/metrics/constants.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahatch::metrics {

namespace {

using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using microseconds = std::chrono::duration<double, std::micro>;

double low_edge() {
    return microseconds{min_latency}.count();
}

double high_edge() {
    return microseconds{max_latency}.count();
}

/// Bins whose edges are a factor of (1 + e) / (1 - e) apart have a point within e of both.
const log_axis& shared_axis() {
    static const log_axis built = [] {
        const double factor = (1.0 + relative_error) / (1.0 - relative_error);
        const double bins = std::ceil(std::log(high_edge() / low_edge()) / std::log(factor));
        return log_axis(static_cast<unsigned>(bins), low_edge(), high_edge());
    }();
    return built;
}

duration from_microseconds(double value) {
    return std::chrono::duration_cast<duration>(microseconds{value});
}

} // namespace

std::size_t latency_bin_count() {
    return static_cast<std::size_t>(shared_axis().size()) + 2;
}

duration latency_of_bin(std::size_t bin) {
    const log_axis& edges = shared_axis();
    if (bin == 0) {
        return min_latency;
    }
    if (bin > static_cast<std::size_t>(edges.size())) {
        return max_latency;
    }
    const int inner = static_cast<int>(bin) - 1;
    const double low = edges.value(inner);
    const double high = edges.value(inner + 1);
    return from_microseconds(2.0 * low * high / (low + high));
}

duration upper_edge_of_bin(std::size_t bin) {
    const auto last = static_cast<std::size_t>(shared_axis().size());
    return from_microseconds(shared_axis().value(static_cast<int>(std::min(bin, last))));
}

std::uint64_t total(const latency_counts& counts) {
    std::uint64_t sum = 0;
    for (const std::uint64_t bin : counts.bins) {
        sum += bin;
    }
    return sum;
}

void merge(latency_counts& into, const latency_counts& from) {
    if (into.bins.size() < from.bins.size()) {
        into.bins.resize(from.bins.size());
    }
    for (std::size_t bin = 0; bin < from.bins.size(); ++bin) {
        into.bins[bin] += from.bins[bin];
    }
    into.sum_microseconds += from.sum_microseconds;
}

duration quantile(const latency_counts& counts, double share) {
    CICADAHATCH_ASSERT(share >= 0.0 && share <= 1.0, quantile_share_is_a_fraction);
    const std::uint64_t counted = total(counts);
    if (counted == 0) {
        return duration{0};
    }
    const double wanted = std::ceil(share * static_cast<double>(counted));
    const auto position = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(wanted));
    std::uint64_t passed = 0;
    std::size_t bin = 0;
    for (; bin + 1 < counts.bins.size(); ++bin) {
        passed += counts.bins[bin];
        if (passed >= position) {
            break;
        }
    }
    return latency_of_bin(bin);
}

latency_histogram::latency_histogram()
    : histogram_(boost::histogram::make_histogram_with(storage{}, shared_axis())) {}

void latency_histogram::record(duration latency) {
    const double value = microseconds{std::max(latency, duration{1})}.count();
    histogram_(value);
    const auto whole = static_cast<std::uint64_t>(value);
    sum_microseconds_ += whole;
}

latency_counts latency_histogram::counts() const {
    latency_counts counted;
    counted.bins.reserve(latency_bin_count());
    for (int bin = -1; bin <= shared_axis().size(); ++bin) {
        counted.bins.push_back(histogram_.at(bin).load());
    }
    counted.sum_microseconds = sum_microseconds_.load();
    return counted;
}

} // namespace cicadahatch::metrics
