#include "src/metrics/snapshot.hpp"

#include "src/core/cbor.hpp"
#include "src/core/constants.hpp"
#include "src/metrics/constants.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace cicadahatch::metrics {

namespace {

using nlohmann::json;

bool is_before(const series_snapshot& left, const series_snapshot& right) {
    return std::tie(left.service, left.work_rank) < std::tie(right.service, right.work_rank);
}

void merge(window_count& into, const window_count& from) {
    into.requests += from.requests;
    into.good += from.good;
}

void merge(series_snapshot& into, const series_snapshot& from) {
    merge(into.first_token, from.first_token);
    merge(into.between_tokens, from.between_tokens);
    merge(into.since_start, from.since_start);
    merge(into.short_window, from.short_window);
    merge(into.long_window, from.long_window);
    into.completed += from.completed;
    into.failed += from.failed;
    into.canceled += from.canceled;
    into.prefill_tokens += from.prefill_tokens;
    into.wasted_prefill_tokens += from.wasted_prefill_tokens;
    into.output_tokens += from.output_tokens;
    for (const auto& [reason, count] : from.refused) {
        into.refused[reason] += count;
    }
}

/// Pairs of bin and count, flat; most bins are empty.
json encode_counts(const latency_counts& counts) {
    json pairs = json::array();
    for (std::size_t bin = 0; bin < counts.bins.size(); ++bin) {
        if (counts.bins[bin] != 0) {
            pairs.push_back(bin);
            pairs.push_back(counts.bins[bin]);
        }
    }
    return json::array({counts.sum_microseconds, std::move(pairs)});
}

json encode_window(const window_count& window) {
    return json::array({window.requests, window.good});
}

json encode_series(const series_snapshot& series) {
    json refused = json::object();
    for (const auto& [reason, count] : series.refused) {
        refused[reason.str()] = count;
    }
    return json::array({series.service.str(), static_cast<unsigned>(series.work_rank),
                        encode_counts(series.first_token), encode_counts(series.between_tokens),
                        encode_window(series.since_start), encode_window(series.short_window),
                        encode_window(series.long_window), series.completed, series.failed,
                        series.canceled, series.prefill_tokens, series.wasted_prefill_tokens,
                        series.output_tokens, std::move(refused)});
}

/// Reads typed values from decoded CBOR; the first one that does not fit makes it fail.
class reader {
public:
    [[nodiscard]] bool has_failed() const { return has_failed_; }

    const json& array(const json& value, std::size_t size) {
        static const json nothing = json::array();
        const bool fits = value.is_array() && value.size() == size;
        has_failed_ = has_failed_ || !fits;
        return fits ? value : nothing;
    }
    std::uint64_t number(const json& value) {
        const bool fits = value.is_number_unsigned();
        has_failed_ = has_failed_ || !fits;
        return fits ? value.get<std::uint64_t>() : 0;
    }
    std::string name(const json& value) {
        const bool fits =
            value.is_string() && value.get_ref<const std::string&>().size() <= max_name_bytes;
        has_failed_ = has_failed_ || !fits;
        return fits ? value.get<std::string>() : std::string{};
    }

    latency_counts counts(const json& value) {
        latency_counts read;
        read.bins.resize(latency_bin_count());
        const json& fields = array(value, 2);
        if (has_failed_ || !fields[1].is_array() || fields[1].size() % 2 != 0) {
            has_failed_ = true;
            return read;
        }
        read.sum_microseconds = number(fields[0]);
        for (std::size_t at = 0; at < fields[1].size(); at += 2) {
            const std::uint64_t bin = number(fields[1][at]);
            if (bin >= read.bins.size()) {
                has_failed_ = true;
                return read;
            }
            read.bins[bin] = number(fields[1][at + 1]);
        }
        return read;
    }
    window_count window(const json& value) {
        const json& fields = array(value, 2);
        if (has_failed_) {
            return {};
        }
        const window_count read{number(fields[0]), number(fields[1])};
        has_failed_ = has_failed_ || read.good > read.requests;
        return read;
    }
    std::map<refusal_reason, std::uint64_t> refused(const json& value) {
        std::map<refusal_reason, std::uint64_t> read;
        if (!value.is_object()) {
            has_failed_ = true;
            return read;
        }
        for (const auto& [reason, count] : value.items()) {
            read[refusal_reason{reason}] = number(count);
        }
        return read;
    }

private:
    bool has_failed_ = false;
};

result<series_snapshot> decode_series(const json& value) {
    constexpr std::size_t field_count = 14;
    reader from;
    const json& fields = from.array(value, field_count);
    if (from.has_failed()) {
        return failure(errc::malformed);
    }
    series_snapshot series;
    series.service = service_id{from.name(fields[0])};
    const std::uint64_t work_rank = from.number(fields[1]);
    series.work_rank = work_rank == 0 ? rank::urgent : rank::deferrable;
    series.first_token = from.counts(fields[2]);
    series.between_tokens = from.counts(fields[3]);
    series.since_start = from.window(fields[4]);
    series.short_window = from.window(fields[5]);
    series.long_window = from.window(fields[6]);
    series.completed = from.number(fields[7]);
    series.failed = from.number(fields[8]);
    series.canceled = from.number(fields[9]);
    series.prefill_tokens = from.number(fields[10]);
    series.wasted_prefill_tokens = from.number(fields[11]);
    series.output_tokens = from.number(fields[12]);
    series.refused = from.refused(fields[13]);
    if (from.has_failed() || work_rank > 1) {
        return failure(errc::malformed);
    }
    return series;
}

} // namespace

void merge(snapshot& into, const snapshot& from) {
    into.daemons += from.daemons;
    for (const series_snapshot& series : from.series) {
        const auto place =
            std::lower_bound(into.series.begin(), into.series.end(), series, is_before);
        if (place != into.series.end() && !is_before(series, *place)) {
            merge(*place, series);
        } else {
            into.series.insert(place, series);
        }
    }
}

std::string encode(const snapshot& taken) {
    json series = json::array();
    for (const series_snapshot& each : taken.series) {
        series.push_back(encode_series(each));
    }
    const json whole = json::array({snapshot_version, taken.daemons, std::move(series)});
    return encode_cbor(whole);
}

result<snapshot> decode_snapshot(std::string_view bytes) {
    if (bytes.size() > max_snapshot_bytes) {
        return failure(errc::too_large);
    }
    const auto decoded = decode_cbor(bytes);
    const json whole = decoded.value_or(json{});
    if (!whole.is_array() || whole.empty() || !whole[0].is_number_unsigned()) {
        return failure(errc::malformed);
    }
    if (whole[0] != snapshot_version) {
        return failure(errc::unsupported_version);
    }
    if (whole.size() != 3 || !whole[1].is_number_unsigned() || !whole[2].is_array()) {
        return failure(errc::malformed);
    }
    snapshot taken;
    taken.daemons = 0;
    for (const json& each : whole[2]) {
        auto series = decode_series(each);
        if (!series) {
            return tl::unexpected(series.error());
        }
        // Merging sorts the series and adds up any that stands twice.
        merge(taken, snapshot{0, {*std::move(series)}});
    }
    taken.daemons = whole[1].get<std::uint64_t>();
    return taken;
}

} // namespace cicadahatch::metrics
