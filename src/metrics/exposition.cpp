#include "src/metrics/exposition.hpp"

#include <array>
#include <chrono>
#include <sstream>

namespace cicadahatch::metrics {

namespace {

constexpr std::array<double, 14> bucket_seconds = {0.005, 0.01, 0.02, 0.043, 0.1, 0.2, 0.4,
                                                   0.73,  1,    2,    5,     10,  30,  60};

std::string escaped(const std::string& text) {
    std::string safe;
    for (const char letter : text) {
        if (letter == '\\' || letter == '"') {
            safe.push_back('\\');
        }
        if (letter == '\n') {
            safe.append("\\n");
        } else {
            safe.push_back(letter);
        }
    }
    return safe;
}

std::string labels_of(const series_snapshot& series) {
    const char* rank_name = series.work_rank == rank::urgent ? "urgent" : "deferrable";
    return "service=\"" + escaped(series.service.str()) + "\",rank=\"" + rank_name + "\"";
}

void write_head(std::ostream& out, const std::string& name, const char* type,
                const std::string& help) {
    out << "# HELP " << name << ' ' << escaped(help) << '\n';
    out << "# TYPE " << name << ' ' << type << '\n';
}

void write_registry(std::ostream& out, const registry& values) {
    for (const metric_reading& each : values.read()) {
        write_head(out, each.name.str(), each.is_counter ? "counter" : "gauge", each.help);
        out << each.name.str() << ' ' << each.value << '\n';
    }
}

std::uint64_t count_up_to(const latency_counts& counts, double seconds) {
    std::uint64_t sum = 0;
    for (std::size_t bin = 0; bin < counts.bins.size(); ++bin) {
        const std::chrono::duration<double> value = latency_of_bin(bin);
        if (value.count() > seconds) {
            break;
        }
        sum += counts.bins[bin];
    }
    return sum;
}

void write_histogram(std::ostream& out, const std::string& name, const std::string& labels,
                     const latency_counts& counts) {
    constexpr double microseconds_per_second = 1e6;
    const std::uint64_t counted = total(counts);
    for (const double limit : bucket_seconds) {
        out << name << "_bucket{" << labels << ",le=\"" << limit << "\"} "
            << count_up_to(counts, limit) << '\n';
    }
    out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << counted << '\n';
    out << name << "_sum{" << labels << "} "
        << static_cast<double>(counts.sum_microseconds) / microseconds_per_second << '\n';
    out << name << "_count{" << labels << "} " << counted << '\n';
}

void write_histograms(std::ostream& out, const snapshot& taken, const std::string& name,
                      const std::string& help, latency_counts series_snapshot::*member) {
    write_head(out, name, "histogram", help);
    for (const series_snapshot& series : taken.series) {
        write_histogram(out, name, labels_of(series), series.*member);
    }
}

void write_counter(std::ostream& out, const snapshot& taken, const std::string& name,
                   const std::string& help, std::uint64_t series_snapshot::*member) {
    write_head(out, name, "counter", help);
    for (const series_snapshot& series : taken.series) {
        out << name << '{' << labels_of(series) << "} " << series.*member << '\n';
    }
}

void write_refusals(std::ostream& out, const snapshot& taken) {
    const std::string name = "cicadahatch_requests_refused_total";
    write_head(out, name, "counter", "Requests refused, by reason.");
    for (const series_snapshot& series : taken.series) {
        for (const auto& [reason, count] : series.refused) {
            out << name << '{' << labels_of(series) << ",reason=\"" << escaped(reason.str())
                << "\"} " << count << '\n';
        }
    }
}

void write_goodput(std::ostream& out, const snapshot& taken) {
    const std::string name = "cicadahatch_requests_good_total";
    write_head(out, name, "counter", "Requests that met both targets.");
    for (const series_snapshot& series : taken.series) {
        out << name << '{' << labels_of(series) << "} " << series.since_start.good << '\n';
    }
}

} // namespace

std::string render_prometheus(const registry& values, const snapshot& taken) {
    std::ostringstream out;
    write_registry(out, values);
    write_histograms(out, taken, "cicadahatch_first_token_seconds", "Time to the first token.",
                     &series_snapshot::first_token);
    write_histograms(out, taken, "cicadahatch_between_tokens_seconds", "Time between tokens.",
                     &series_snapshot::between_tokens);
    write_goodput(out, taken);
    write_counter(out, taken, "cicadahatch_requests_completed_total", "Requests answered whole.",
                  &series_snapshot::completed);
    write_counter(out, taken, "cicadahatch_requests_failed_total", "Requests that failed.",
                  &series_snapshot::failed);
    write_counter(out, taken, "cicadahatch_requests_canceled_total", "Requests canceled.",
                  &series_snapshot::canceled);
    write_counter(out, taken, "cicadahatch_prefill_tokens_total", "Prompt tokens prefilled.",
                  &series_snapshot::prefill_tokens);
    write_counter(out, taken, "cicadahatch_wasted_prefill_tokens_total",
                  "Prompt tokens whose prefill was thrown away.",
                  &series_snapshot::wasted_prefill_tokens);
    write_counter(out, taken, "cicadahatch_output_tokens_total", "Tokens generated.",
                  &series_snapshot::output_tokens);
    write_refusals(out, taken);
    return out.str();
}

} // namespace cicadahatch::metrics
