#include "bench/common/line_fit.hpp"
#include "bench/daemon_cost_bench/deployment.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>
#include <thread>

/// \file
/// \brief What real daemons, two engine stand-ins for each, and the platform stand-in spend on
/// loopback at growing sizes, at rest and with requests; how soon a change is in force; what 3,400
/// teams cost; and the calls at the platform around an outage. Arguments: numbers of daemons.

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using daemon_cost_bench::daemon_counts;
using daemon_cost_bench::deployment;
using daemon_cost_bench::platform_counts;

constexpr double nodes_in_two_years = 410;
constexpr double members_in_two_years = 68; ///< of a failure domain
constexpr double domains_in_two_years = 6;
constexpr double requests_in_two_years = 13.7; ///< a second and node
constexpr std::size_t teams_in_two_years = 3'400;
constexpr std::size_t large_service_bytes = 25'000; ///< 250 callers; a file takes 256
constexpr double request_rate = 4;                  ///< a second and daemon
constexpr auto settle_time = 4s;
constexpr auto measured_time = 10s;
constexpr auto outage_time = 12s;
constexpr auto return_time = 12s;
constexpr int publishes = 5;

/// What a daemon, and the platform with all daemons, have a second.
struct sample {
    double nodes = 0;
    double rate = 0;
    double sent = 0;
    double received = 0;
    double cpu_percent = 0;
    double resident_mb = 0;
    double reads = 0;
    double writes = 0;
    double watches = 0;
};

double seconds_of(duration time) {
    return std::chrono::duration<double>(time).count();
}

sample measure(deployment& running, double rate) {
    static_cast<void>(running.run_requests(rate, settle_time));
    const daemon_counts before = running.used();
    const platform_counts platform_before = running.platform();
    const std::size_t answered = running.run_requests(rate, measured_time);
    const daemon_counts after = running.used();
    const platform_counts platform_after = running.platform();
    const double seconds = seconds_of(measured_time);
    const auto count = static_cast<double>(running.daemons());
    const double share = 1 / (seconds * count);
    sample row{count,
               static_cast<double>(answered) * share,
               (after.bytes_sent - before.bytes_sent) * share,
               (after.bytes_received - before.bytes_received) * share,
               (after.processor_seconds - before.processor_seconds) * share * 100,
               after.resident_mb / count,
               (platform_after.reads - platform_before.reads) / seconds,
               (platform_after.writes - platform_before.writes) / seconds,
               platform_after.open_watches};
    std::printf("%6.0f %8zu %8.2f %9.0f %9.0f %7.2f %7.1f %9.2f %9.2f %8.0f\n", row.nodes,
                running.engines(), row.rate, row.sent, row.received, row.cpu_percent,
                row.resident_mb, row.reads, row.writes, row.watches);
    return row;
}

/// Seconds from acceptance until the middle and the last daemon have a change in force.
struct in_force_times {
    double p50 = 0;
    double last = 0;
};

in_force_times measure_in_force(deployment& running) {
    std::vector<double> all;
    for (int number = 0; number < publishes; ++number) {
        for (const duration time : running.publish_change()) {
            all.push_back(seconds_of(time));
        }
    }
    std::sort(all.begin(), all.end());
    const in_force_times times{all[all.size() / 2], all.back()};
    std::printf("in force: %zu daemons, %d changes: p50 %.2f s, last %.2f s\n", running.daemons(),
                publishes, times.p50, times.last);
    return times;
}

/// The size's rows at rest and with requests.
struct pair_of_samples {
    sample rest;
    sample loaded;
    in_force_times in_force;
};

double fit(const std::vector<pair_of_samples>& rows, double sample::*value) {
    std::vector<bench::sized_value> at_rest;
    double slopes = 0;
    for (const pair_of_samples& row : rows) {
        at_rest.push_back({row.rest.nodes, row.rest.*value});
        slopes += (row.loaded.*value - row.rest.*value) / (row.loaded.rate - row.rest.rate);
    }
    return bench::fit_line(at_rest).at(members_in_two_years) +
           slopes / static_cast<double>(rows.size()) * requests_in_two_years;
}

void print_fit(const std::vector<pair_of_samples>& rows) {
    const double sent = fit(rows, &sample::sent);
    const double received = fit(rows, &sample::received);
    std::printf("fit to %.0f nodes a domain, %.1f requests/s a node: sent %.0f + received %.0f = "
                "%.0f B/s, CPU %.2f %% (callers' streams included), %.1f MB\n",
                members_in_two_years, requests_in_two_years, sent, received, sent + received,
                fit(rows, &sample::cpu_percent), fit(rows, &sample::resident_mb));
    std::vector<bench::sized_value> reads;
    std::vector<bench::sized_value> last;
    for (const pair_of_samples& row : rows) {
        reads.push_back({row.rest.nodes, row.rest.reads});
        last.push_back({row.rest.nodes, row.in_force.last});
    }
    const sample& largest = rows.back().rest;
    std::printf("platform, %.0f domains of %.0f: reads %.1f/s, waiting watches %.0f\n",
                domains_in_two_years, members_in_two_years,
                bench::fit_line(reads).at(members_in_two_years) * domains_in_two_years,
                largest.watches * domains_in_two_years);
    std::printf("in force at the last daemon: line to %.0f nodes %.2f s, to %.0f nodes %.2f s\n",
                members_in_two_years, bench::fit_line(last).at(members_in_two_years),
                nodes_in_two_years, bench::fit_line(last).at(nodes_in_two_years));
}

double highest(const std::vector<double>& by_second, std::size_t from, std::size_t to) {
    double peak = 0;
    for (std::size_t second = from; second < std::min(to, by_second.size()); ++second) {
        peak = std::max(peak, by_second[second]);
    }
    return peak;
}

void measure_outage(deployment& running) {
    const std::size_t begun = running.platform().calls_by_second.size();
    running.set_outage(true);
    std::this_thread::sleep_for(outage_time);
    const std::size_t returned = running.platform().calls_by_second.size();
    running.set_outage(false);
    std::this_thread::sleep_for(return_time);
    const std::vector<double> calls = running.platform().calls_by_second;
    std::printf("outage of %.0f s, %zu daemons: most calls in one second before %.0f, during it "
                "%.0f, after the return %.0f\n",
                seconds_of(outage_time), running.daemons(),
                highest(calls, begun > 10 ? begun - 10 : 0, begun), highest(calls, begun, returned),
                highest(calls, returned, calls.size()));
}

void measure_teams(deployment& running) {
    const double before = running.used().resident_mb / static_cast<double>(running.daemons());
    running.publish_teams(teams_in_two_years, large_service_bytes);
    static_cast<void>(measure_in_force(running));
    const std::vector<std::size_t> sizes = running.stored_sizes();
    std::size_t sum = 0;
    for (const std::size_t bytes : sizes) {
        sum += bytes;
    }
    std::printf("%zu teams: %zu values in the store, %.2f MB in all, largest %zu B\n",
                teams_in_two_years, sizes.size(), static_cast<double>(sum) / 1e6, sizes.back());
    const double with = running.used().resident_mb / static_cast<double>(running.daemons());
    std::printf("a daemon's memory: %.1f MB before, %.1f MB with the teams\n", before, with);
    const double answered = running.platform().bytes_answered;
    const duration took = running.start_another("entry-mrs-new");
    std::printf("start of one more daemon: in force after %.2f s, %.2f MB from the store, %.1f MB "
                "resident\n",
                seconds_of(took), (running.platform().bytes_answered - answered) / 1e6,
                running.resident_mb_of("entry-mrs-new"));
}

std::vector<std::size_t> sizes_of(int argc, char** argv) {
    std::vector<std::size_t> sizes;
    for (int index = 1; index < argc; ++index) {
        sizes.push_back(std::strtoul(argv[index], nullptr, 10));
    }
    return sizes.empty() ? std::vector<std::size_t>{4, 8, 16, 24} : sizes;
}

void run(const std::vector<std::size_t>& sizes) {
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    std::printf("%6s %8s %8s %9s %9s %7s %7s %9s %9s %8s\n", "nodes", "engines", "req/s",
                "sent B/s", "recv B/s", "CPU %", "MB", "reads/s", "writes/s", "watches");
    deployment running;
    std::vector<pair_of_samples> rows;
    for (const std::size_t size : sizes) {
        running.grow_to(size);
        pair_of_samples row;
        row.rest = measure(running, 0);
        row.loaded = measure(running, request_rate);
        row.in_force = measure_in_force(running);
        rows.push_back(row);
    }
    if (rows.size() > 1) {
        print_fit(rows);
    }
    measure_outage(running);
    measure_teams(running);
}

} // namespace

int main(int argc, char** argv) {
    try {
        run(sizes_of(argc, argv));
    } catch (const std::exception& error) {
        // Unwinding has ended the processes that were started.
        std::fprintf(stderr, "%s\n", error.what());
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
