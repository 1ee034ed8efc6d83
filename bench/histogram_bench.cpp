/// \file
/// \brief Quantiles over many daemons: log-axis histograms merged, percentiles of daemons averaged,
/// and all values kept. Error against exact, bytes sent per daemon, time to merge.

#include "cicadahatch/core"
#include "cicadahatch/metrics"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <vector>

namespace {

using namespace cicadahatch;
using namespace std::chrono_literals;

constexpr std::size_t daemons = 50;
constexpr std::size_t values_per_daemon = 20'000;
constexpr double shares[] = {0.5, 0.95, 0.99};

/// Latencies of one daemon: exponential, of a mean that differs between daemons, with a slow part.
std::vector<duration> draw(random_source& random, std::size_t daemon, bool has_outliers) {
    const bool is_slow = has_outliers && daemon % 10 == 0;
    const duration mean = is_slow ? 900ms : 120ms;
    const std::size_t count = is_slow ? values_per_daemon / 4 : values_per_daemon;
    std::vector<duration> values;
    for (std::size_t each = 0; each < count; ++each) {
        values.push_back(5ms + random.exponential(random.chance(0.02) ? mean * 4 : mean));
    }
    return values;
}

duration exact(const std::vector<duration>& sorted, double share) {
    const auto position =
        static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted[std::max<std::size_t>(position, 1) - 1];
}

double error_of(duration found, duration wanted) {
    const auto difference = static_cast<double>(std::abs((found - wanted).count()));
    return 100.0 * difference / static_cast<double>(wanted.count());
}

template <class Work>
double microseconds_of(Work work) {
    const auto began = std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double, std::micro> taken =
        std::chrono::steady_clock::now() - began;
    return taken.count();
}

void print(const char* way, std::size_t bytes, double merge_us, const duration (&found)[3],
           const duration (&wanted)[3]) {
    std::printf("  %-26s %12zu %12.0f %9.2f %9.2f %9.2f\n", way, bytes, merge_us,
                error_of(found[0], wanted[0]), error_of(found[1], wanted[1]),
                error_of(found[2], wanted[2]));
}

void compare(std::uint64_t seed, bool has_outliers) {
    random_source random{seed};
    std::vector<std::vector<duration>> parts;
    std::vector<metrics::snapshot> snapshots;
    std::vector<duration> all;
    for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
        parts.push_back(draw(random, daemon, has_outliers));
        metrics::latency_histogram histogram;
        for (const duration each : parts.back()) {
            histogram.record(each);
        }
        metrics::series_snapshot series;
        series.first_token = histogram.counts();
        snapshots.push_back({1, {series}});
        std::sort(parts.back().begin(), parts.back().end());
    }
    const double exact_us = microseconds_of([&] {
        for (const auto& part : parts) {
            all.insert(all.end(), part.begin(), part.end());
        }
        std::sort(all.begin(), all.end());
    });
    duration wanted[3];
    duration averaged[3];
    for (std::size_t each = 0; each < 3; ++each) {
        wanted[each] = exact(all, shares[each]);
    }
    const double average_us = microseconds_of([&] {
        for (std::size_t each = 0; each < 3; ++each) {
            duration sum{0};
            for (const auto& part : parts) {
                sum += exact(part, shares[each]);
            }
            averaged[each] = sum / static_cast<int>(parts.size());
        }
    });
    metrics::snapshot merged{0, {}};
    const double merge_us = microseconds_of([&] {
        for (const metrics::snapshot& each : snapshots) {
            metrics::merge(merged, each);
        }
    });
    duration found[3];
    for (std::size_t each = 0; each < 3; ++each) {
        found[each] = metrics::quantile(merged.series[0].first_token, shares[each]);
    }
    std::printf("seed %llu, %s\n", static_cast<unsigned long long>(seed),
                has_outliers ? "every tenth daemon slow, with a quarter of the requests"
                             : "daemons alike");
    std::printf("  %-26s %12s %12s %9s %9s %9s\n", "way", "bytes/daemon", "merge us", "p50 err%",
                "p95 err%", "p99 err%");
    print("all values, exact", values_per_daemon * sizeof(duration), exact_us, wanted, wanted);
    print("percentiles averaged", 3 * sizeof(duration), average_us, averaged, wanted);
    print("log-axis histogram, merged", metrics::encode(snapshots[1]).size(), merge_us, found,
          wanted);
}

void measure_recording() {
    constexpr int count = 2'000'000;
    const system_clock time;
    metrics::request_recorder recorder{time};
    metrics::latency_histogram histogram;
    const double histogram_us = microseconds_of([&] {
        for (int each = 0; each < count; ++each) {
            histogram.record(std::chrono::microseconds{each % 100'000 + 50});
        }
    });
    metrics::request_observation seen;
    seen.service = service_id{"patterns"};
    seen.first_token = 80ms;
    seen.between_tokens = 20ms;
    const double recorder_us = microseconds_of([&] {
        for (int each = 0; each < count; ++each) {
            recorder.record(seen);
        }
    });
    std::printf("recording, one thread: histogram %.0f ns a value, whole request %.0f ns\n",
                1'000.0 * histogram_us / count, 1'000.0 * recorder_us / count);
}

} // namespace

int main() {
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        compare(seed, false);
        compare(seed, true);
    }
    measure_recording();
    return 0;
}
