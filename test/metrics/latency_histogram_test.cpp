#include "cicadahatch/core"
#include "cicadahatch/metrics"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <thread>
#include <vector>

namespace {

using namespace cicadahatch;
using namespace std::chrono_literals;

struct histogram_fixture {
    metrics::latency_histogram histogram;
    random_source random{11};
    std::vector<duration> exact;

    void record_many(int count) {
        for (int each = 0; each < count; ++each) {
            const duration drawn = 20us + random.exponential(80ms);
            exact.push_back(drawn);
            histogram.record(drawn);
        }
        std::sort(exact.begin(), exact.end());
    }
    [[nodiscard]] duration exact_quantile(double share) const {
        const auto position =
            static_cast<std::size_t>(std::ceil(share * static_cast<double>(exact.size())));
        return exact[std::max<std::size_t>(position, 1) - 1];
    }
};

} // namespace

TEST_CASE_FIXTURE(histogram_fixture, "latency_histogram, quantiles, within the relative error") {
    record_many(20'000);
    const metrics::latency_counts counts = histogram.counts();
    CHECK(metrics::total(counts) == exact.size());
    for (const double share : {0.0, 0.1, 0.5, 0.9, 0.95, 0.99, 0.999, 1.0}) {
        const auto found = static_cast<double>(metrics::quantile(counts, share).count());
        const auto wanted = static_cast<double>(exact_quantile(share).count());
        CHECK(std::abs(found - wanted) <= wanted * metrics::relative_error * 1.0001);
    }
}

TEST_CASE_FIXTURE(histogram_fixture, "latency_histogram, parts merged, equal the whole") {
    metrics::latency_histogram parts[3];
    metrics::latency_histogram whole;
    for (int each = 0; each < 3'000; ++each) {
        const duration drawn = random.exponential(1s);
        parts[each % 3].record(drawn);
        whole.record(drawn);
    }
    metrics::latency_counts merged;
    for (const auto& part : parts) {
        metrics::merge(merged, part.counts());
    }
    CHECK(merged == whole.counts());
}

TEST_CASE_FIXTURE(histogram_fixture, "latency_histogram, outside its range, counted at the ends") {
    histogram.record(0ns);
    histogram.record(-1s);
    histogram.record(5000s);
    const metrics::latency_counts counts = histogram.counts();
    CHECK(counts.bins.front() == 2);
    CHECK(counts.bins.back() == 1);
    CHECK(metrics::quantile(counts, 1.0) == metrics::max_latency);
    CHECK(metrics::quantile({}, 0.5) == 0ns);
}

TEST_CASE_FIXTURE(histogram_fixture, "latency_histogram, four threads, none lost") {
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int thread = 0; thread < 4; ++thread) {
        threads.emplace_back([this, thread] {
            random_source drawn{static_cast<std::uint64_t>(thread)};
            for (int each = 0; each < 10'000; ++each) {
                histogram.record(drawn.exponential(10ms));
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    CHECK(metrics::total(histogram.counts()) == 40'000);
}
