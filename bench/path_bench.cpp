#include "bench/common/process_usage.hpp"
#include "bench/path_bench/event_client.hpp"
#include "src/engines/calls.hpp"
#include "src/engines/internal/requests.hpp"
#include "test/support/cluster.hpp"
#include "test/support/http_calls.hpp"
#include "test/support/raw_caller.hpp"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

/// \file
/// \brief Times of a token stream through the daemon beside the same stream read from the engines
/// directly, in turns within one run. Arguments: numbers of streams; default 1 20 200.

namespace {

using namespace cicadahatch;
using namespace cicadahatch::test_support;
using path_bench::stream_times;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int decode_engines = 4;
constexpr int prefill_engines = 2;
constexpr int rounds = 3;
constexpr int tokens_per_stream = 100;
constexpr int idle_connections = 200;
constexpr milliseconds start_interval{10};
constexpr milliseconds prefill_timeout{5000};
constexpr double p50 = 0.5;
constexpr double p99 = 0.99;

/// What the streams of one path gave, over all rounds.
struct samples {
    std::vector<double> first_ms;
    std::vector<double> gap_ms;
    int broken = 0;
    std::chrono::microseconds processor{0};
};

double to_ms(duration time) {
    return std::chrono::duration<double, std::milli>(time).count();
}

double quantile(std::vector<double> values, double wanted) {
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(static_cast<double>(values.size() - 1) * wanted);
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

std::string name_of(const char* kind, int number) {
    return kind + std::to_string(number);
}

std::string prompt_of(int stream) {
    static std::atomic<int> count{0};
    return "lace edge " + std::to_string(stream) + " of sheet " + std::to_string(++count);
}

stream_times through_daemon(cluster& running, int stream) {
    const nlohmann::json body{{"model", "pattern"},
                              {"prompt", prompt_of(stream)},
                              {"max_tokens", tokens_per_stream},
                              {"stream", true}};
    const http::request sent{
        "POST", "/v1/completions", "", {{"Prefer", "no-interim"}}, body.dump()};
    return path_bench::read_events(running.callers("entry-1"), sent, steady_clock::now());
}

stream_times from_engines(cluster& running, int stream) {
    const auto began = steady_clock::now();
    const auto& prefill = running.backend(name_of("p", stream % prefill_engines)).place();
    const auto& decode = running.backend(name_of("d", stream % decode_engines)).place();
    engines::prefill_request asked;
    asked.prompt = prompt_of(stream);
    asked.attempt = {request_id{"direct " + asked.prompt}, attempt_number{1}};
    asked.model = model_id{"model"};
    const auto kept = engines::prefill(prefill, asked, prefill_timeout);
    if (!kept) {
        return {};
    }
    engines::decode_request wanted;
    wanted.attempt = asked.attempt;
    wanted.model = asked.model;
    wanted.kv_source = prefill;
    wanted.kv_handle = kept->kv_handle;
    wanted.max_tokens = tokens_per_stream;
    return path_bench::read_events(decode, engines::internal::to_http(wanted), began);
}

template <class Path>
void run_round(int streams, Path path, samples& into) {
    std::vector<stream_times> seen(static_cast<std::size_t>(streams));
    std::vector<std::thread> callers;
    for (int stream = 0; stream < streams; ++stream) {
        callers.emplace_back(
            [&, stream] { seen[static_cast<std::size_t>(stream)] = path(stream); });
        std::this_thread::sleep_for(start_interval);
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    for (const stream_times& times : seen) {
        if (!times.is_whole) {
            ++into.broken;
            continue;
        }
        into.first_ms.push_back(to_ms(times.first_token));
        for (const duration gap : times.gaps) {
            into.gap_ms.push_back(to_ms(gap));
        }
    }
}

void print_line(const char* what, int streams, const std::vector<double>& direct,
                const std::vector<double>& daemon, double wanted, const char* label) {
    const double without = quantile(direct, wanted);
    const double with = quantile(daemon, wanted);
    std::printf("%-14s %4d streams %s: direct %8.3f ms, daemon %8.3f ms, added %7.3f ms, "
                "ratio %.3f\n",
                what, streams, label, without, with, with - without, with / without);
}

void compare(cluster& running, int streams) {
    const pid_t daemon = running.daemon("entry-1").id();
    samples direct;
    samples through;
    for (int round = 0; round < rounds; ++round) {
        run_round(
            streams, [&](int stream) { return from_engines(running, stream); }, direct);
        const auto before = bench::processor_time(daemon);
        run_round(
            streams, [&](int stream) { return through_daemon(running, stream); }, through);
        through.processor += bench::processor_time(daemon) - before;
    }
    print_line("first token", streams, direct.first_ms, through.first_ms, p50, "p50");
    print_line("first token", streams, direct.first_ms, through.first_ms, p99, "p99");
    print_line("between tokens", streams, direct.gap_ms, through.gap_ms, p50, "p50");
    print_line("between tokens", streams, direct.gap_ms, through.gap_ms, p99, "p99");
    const auto tokens = static_cast<double>(through.gap_ms.size() + through.first_ms.size());
    std::printf("processor time of the daemon %.1f us a token; not whole: direct %d, daemon %d\n",
                static_cast<double>(through.processor.count()) / std::max(tokens, 1.0),
                direct.broken, through.broken);
    std::fflush(stdout);
}

void start(cluster& running) {
    for (int number = 0; number < prefill_engines; ++number) {
        running.start_backend("pattern", name_of("p", number), backend_role::prefill,
                              "port-louis-1");
    }
    for (int number = 0; number < decode_engines; ++number) {
        running.start_backend("pattern", name_of("d", number), backend_role::decode, "port-louis-1",
                              {"--slots", "60"});
    }
    running.publish(model_service("pattern"));
    running.start_daemon("entry-1", "port-louis-1");
    if (!running.wait_until_ready()) {
        std::fprintf(stderr, "path_bench: the daemon is not ready\n");
        std::exit(1);
    }
}

void measure_idle(cluster& running) {
    const pid_t daemon = running.daemon("entry-1").id();
    const long before = bench::resident_kib(daemon);
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (int number = 0; number < idle_connections; ++number) {
        callers.push_back(std::make_unique<raw_caller>(running.callers("entry-1")));
        callers.back()->send("GET /live HTTP/1.1\r\nHost: bench\r\n\r\n");
        static_cast<void>(callers.back()->receive_until("true"));
    }
    const long with = bench::resident_kib(daemon);
    std::printf("resident: %ld KiB at rest, %.1f KiB more an idle connection\n", before,
                static_cast<double>(with - before) / idle_connections);
}

void measure_active(cluster& running) {
    const pid_t daemon = running.daemon("entry-1").id();
    const long before = bench::resident_kib(daemon);
    std::atomic<bool> is_over{false};
    long highest = before;
    std::thread watcher{[&] {
        while (!is_over) {
            highest = std::max(highest, bench::resident_kib(daemon));
            std::this_thread::sleep_for(start_interval);
        }
    }};
    samples unused;
    run_round(
        idle_connections, [&](int stream) { return through_daemon(running, stream); }, unused);
    is_over = true;
    watcher.join();
    std::printf("resident: %.1f KiB more an active stream\n",
                static_cast<double>(highest - before) / idle_connections);
}

} // namespace

int main(int argc, char** argv) {
    std::vector<int> counts;
    for (int index = 1; index < argc; ++index) {
        counts.push_back(std::stoi(argv[index]));
    }
    if (counts.empty()) {
        counts = {1, 20, 200};
    }
    cluster running;
    start(running);
    measure_idle(running);
    measure_active(running);
    for (const int streams : counts) {
        compare(running, streams);
    }
    return 0;
}
