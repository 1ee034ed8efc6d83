#pragma once

#include "src/core/clock.hpp"
#include "src/metrics/latency_histogram.hpp"
#include "src/metrics/request_observation.hpp"
#include "src/metrics/snapshot.hpp"
#include "src/metrics/window_counter.hpp"

#include <map>
#include <memory>
#include <shared_mutex>
#include <utility>

namespace cicadahatch::metrics {

/// \brief Takes in the observations of one daemon. Safe for use by several threads.
class request_recorder {
public:
    explicit request_recorder(const clock& time) : time_(time) {}

    /// \brief Counts one ended request.
    void record(const request_observation& seen);

    /// \returns what was recorded up to now
    [[nodiscard]] snapshot take_snapshot() const;

private:
    /// What is counted of one service and rank.
    struct series {
        latency_histogram first_token;
        latency_histogram between_tokens;
        window_counter window;
        mutable std::mutex mutex;
        series_snapshot totals; ///< without histograms and windows; guarded by mutex
    };
    using series_key = std::pair<service_id, rank>;

    series& series_of(const service_id& service, rank work_rank);

    const clock& time_;
    mutable std::shared_mutex mutex_;
    std::map<series_key, std::unique_ptr<series>> series_;
};

} // namespace cicadahatch::metrics
