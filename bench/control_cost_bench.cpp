// Runs daemons' control plane on loopback, agents with real sockets in one process, and prints
// what a node spends by kind of message, with a linear fit to the two-year size:
// control_cost_bench

#include "bench/control_cost_bench/node_group.hpp"

#include <cstdio>
#include <fstream>
#include <glog/logging.h>
#include <sys/resource.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using control_cost_bench::load;
using control_cost_bench::node_group;

constexpr double members_in_two_years = 68;    ///< of a failure domain
constexpr double requests_in_two_years = 13.7; ///< a second and node
constexpr std::size_t small_group = 8;
constexpr std::size_t large_group = 24;
constexpr auto rest_settle_time = 4s;
constexpr auto load_settle_time = 12s; ///< longer than a request lasts
constexpr auto measured_time = 10s;    ///< holds a whole copy of the grants of each home

/// What a node spends a second.
struct sample {
    double nodes = 0;
    double sent = 0; ///< bytes
    double received = 0;
    double batches = 0;
    double messages = 0;
    double cpu_percent = 0;
    double resident_mb = 0;
};

double cpu_seconds() {
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
           static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) / 1e6;
}

double resident_megabytes() {
    std::ifstream status{"/proc/self/statm"};
    double total = 0;
    double resident = 0;
    status >> total >> resident;
    return resident * 4096 / 1e6;
}

sample measure(node_group& group, const char* name, const load& carried, double resident_before) {
    group.run(carried, carried.requests > 0 ? load_settle_time : rest_settle_time);
    const rpc::traffic before = group.carried();
    const double cpu = cpu_seconds();
    group.run(carried, measured_time);
    const rpc::traffic after = group.carried();
    const double count = static_cast<double>(group.size());
    const double share = 1 / (std::chrono::duration<double>(measured_time).count() * count);
    // Links and listeners both count a batch and its messages.
    sample row{count,
               static_cast<double>(after.bytes_sent - before.bytes_sent) * share,
               static_cast<double>(after.bytes_received - before.bytes_received) * share,
               static_cast<double>(after.batches - before.batches) * share / 2,
               static_cast<double>(after.messages - before.messages) * share / 2,
               (cpu_seconds() - cpu) * share * 100,
               (resident_megabytes() - resident_before) / count};
    std::printf("%-34s %6.0f %8.1f %9.0f %9.0f %10.1f %10.1f %7.2f %7.2f\n", name, row.nodes,
                carried.requests, row.sent, row.received, row.batches, row.messages,
                row.cpu_percent, row.resident_mb);
    return row;
}

/// Value at the two-year size by the line through two sizes.
double extrapolate(const sample& small, const sample& large, double sample::*value) {
    const double slope = (large.*value - small.*value) / (large.nodes - small.nodes);
    return large.*value + slope * (members_in_two_years - large.nodes);
}

struct load_rows {
    sample rest;
    sample digests;
    sample requests;
    sample all;
};

void print_fit(const sample& small, const load_rows& rows) {
    const auto at_size = [&](double sample::*value) {
        return extrapolate(small, rows.digests, value) + rows.all.*value - rows.digests.*value;
    };
    const double sent = at_size(&sample::sent);
    const double received = at_size(&sample::received);
    std::printf("fit to %.0f nodes a domain and %.1f requests/s a node: sent %.0f + received %.0f "
                "= %.0f B/s, %.0f batches/s sent, CPU %.2f %%\n",
                members_in_two_years, requests_in_two_years, sent, received, sent + received,
                at_size(&sample::batches), at_size(&sample::cpu_percent));
    std::printf("of the sent bytes at 24 nodes: heartbeats %.0f, digests %.0f, requests %.0f, "
                "copies of grants %.0f\n",
                rows.rest.sent, rows.digests.sent - rows.rest.sent,
                rows.requests.sent - rows.digests.sent, rows.all.sent - rows.requests.sent);
}

} // namespace

int main() {
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    FLAGS_minloglevel = google::GLOG_WARNING;
    std::printf("%-34s %6s %8s %9s %9s %10s %10s %7s %7s\n", "load", "nodes", "req/s", "sent B/s",
                "recv B/s", "batches/s", "messages/s", "CPU %", "MB");
    sample small;
    {
        const double resident_before = resident_megabytes();
        node_group group{small_group};
        small = measure(group, "heartbeats, digests", {0, true, false}, resident_before);
    }
    const double resident_before = resident_megabytes();
    node_group group{large_group};
    load_rows rows;
    rows.rest = measure(group, "heartbeats", {}, resident_before);
    rows.digests = measure(group, "heartbeats, digests", {0, true, false}, resident_before);
    rows.requests = measure(group, "heartbeats, digests, requests",
                            {requests_in_two_years, true, false}, resident_before);
    rows.all = measure(group, "heartbeats, digests, req., copies",
                       {requests_in_two_years, true, true}, resident_before);
    print_fit(small, rows);
    return 0;
}
