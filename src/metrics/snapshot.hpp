#pragma once

#include "src/core/identifiers.hpp"
#include "src/core/result.hpp"
#include "src/metrics/error.hpp"
#include "src/metrics/latency_histogram.hpp"
#include "src/metrics/request_observation.hpp"
#include "src/metrics/window_counter.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cicadahatch::metrics {

/// \brief What was recorded of one service and rank since the daemons started.
struct series_snapshot {
    service_id service;
    rank work_rank = rank::deferrable;
    latency_counts first_token;
    latency_counts between_tokens;
    window_count since_start;
    window_count short_window;
    window_count long_window;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t canceled = 0;
    std::uint64_t prefill_tokens = 0;
    std::uint64_t wasted_prefill_tokens = 0;
    std::uint64_t output_tokens = 0;
    std::map<refusal_reason, std::uint64_t> refused;

    friend bool operator==(const series_snapshot&, const series_snapshot&) = default;
};

/// \brief The recorded requests of one daemon, or the sum of several.
struct snapshot {
    std::uint64_t daemons = 1;
    std::vector<series_snapshot> series; ///< in the order of service and rank

    friend bool operator==(const snapshot&, const snapshot&) = default;
};

/// \brief Adds another daemon's snapshot. The order of merging does not matter.
void merge(snapshot& into, const snapshot& from);

/// \returns the snapshot in CBOR; histograms are sent as their occupied bins
[[nodiscard]] std::string encode(const snapshot& taken);

/// \returns the snapshot, or why the bytes are none
[[nodiscard]] result<snapshot> decode_snapshot(std::string_view bytes);

} // namespace cicadahatch::metrics
