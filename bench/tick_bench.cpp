/// Measures what one tick costs against engines and waiting requests. In every tick some
/// streams end and as many requests come, so that the cell stays full and its queue long. The last
/// two columns are single worst ticks: as many arrivals as wait, all refused; all that waits
/// expires.

#include "cicadahatch/core"
#include "cicadahatch/scheduling"
#include "test/support/scheduling_cell.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::scheduling;

constexpr int warm_up_ticks = 100;
constexpr int measured_ticks = 200;
constexpr int teams = 50;

/// A full cell with a long queue.
struct loaded_cell {
    manual_clock time;
    cell_policy policy;
    cell_state state;
    std::vector<grant> running;
    std::size_t next = 0;
    random_source random{1};

    loaded_cell(int engines, std::size_t waiting)
        : state(test_support::small_cell(time.now(), engines * 3 / 10, engines * 7 / 10)),
          queue_length(waiting) {
        policy.max_waiting = 2 * waiting;
        for (engine& on : state.engines.rows()) {
            on.spec.kv_bytes_per_token = 0; // Prefills that end at once outrun any link.
        }
    }

    std::size_t queue_length;
};

void submit_one(loaded_cell& cell) {
    const rank of = cell.next % 4 == 0 ? rank::urgent : rank::deferrable;
    request_spec spec =
        test_support::request("request-" + std::to_string(cell.next++), of, cell.time.now());
    spec.team = team_id{"team-" + std::to_string(cell.random.below(teams))};
    spec.first_token = 24h; // Nothing is refused, so that the queue keeps its length.
    if (!submit(cell.state, cell.policy, spec, cell.time.now())) {
        std::abort();
    }
}

/// Ends as many streams as end in a tick when each lasts six seconds.
void end_some(loaded_cell& cell) {
    const std::size_t ending = cell.running.size() / 1'200 + 1;
    for (std::size_t count = 0; count < ending && !cell.running.empty(); ++count) {
        const std::size_t place = cell.random.below(cell.running.size());
        release(cell.state, cell.policy, cell.running[place].request, outcome::completed, 200,
                cell.time.now());
        cell.running[place] = cell.running.back();
        cell.running.pop_back();
    }
}

double tick_once(loaded_cell& cell) {
    cell.time.advance(tick_period);
    while (cell.state.waiting.size() < cell.queue_length) {
        submit_one(cell);
    }
    record_owner_heartbeat(cell.state, daemon_id{"daemon"}, cell.time.now());
    end_some(cell);
    const auto begin = std::chrono::steady_clock::now();
    const tick_output output = tick(cell.state, cell.policy, cell.time.now());
    const auto end = std::chrono::steady_clock::now();
    for (const grant& issued : output.grants) {
        // Prefills end at once, so that the decode slots fill up.
        first_token(cell.state, issued.request, cell.time.now());
        cell.running.push_back(issued);
    }
    return std::chrono::duration<double, std::micro>(end - begin).count();
}

void fill(loaded_cell& cell) {
    std::size_t before = 0;
    do {
        before = cell.running.size();
        tick_once(cell);
    } while (cell.running.size() > before);
}

double timed_tick(loaded_cell& cell) {
    const auto begin = std::chrono::steady_clock::now();
    const tick_output output = tick(cell.state, cell.policy, cell.time.now());
    const auto end = std::chrono::steady_clock::now();
    return std::chrono::duration<double, std::micro>(end - begin).count();
}

/// One tick in which as many requests come as wait, and all of them are refused.
double refuse_all(loaded_cell& cell) {
    for (std::size_t count = 0; count < cell.queue_length; ++count) {
        request_spec spec = test_support::request("late-" + std::to_string(count), rank::deferrable,
                                                  cell.time.now());
        spec.team = team_id{"team-" + std::to_string(cell.random.below(teams))};
        spec.first_token = 300ms;
        if (!submit(cell.state, cell.policy, spec, cell.time.now())) {
            std::abort();
        }
    }
    return timed_tick(cell);
}

/// One tick in which everything that waits has come to its end.
double expire_all(loaded_cell& cell) {
    cell.time.advance(49h);
    record_owner_heartbeat(cell.state, daemon_id{"daemon"}, cell.time.now());
    return timed_tick(cell);
}

void measure(int engines, std::size_t waiting) {
    loaded_cell cell(engines, waiting);
    fill(cell);
    for (int count = 0; count < warm_up_ticks; ++count) {
        tick_once(cell);
    }
    std::vector<double> times;
    times.reserve(measured_ticks);
    for (int count = 0; count < measured_ticks; ++count) {
        times.push_back(tick_once(cell));
    }
    std::sort(times.begin(), times.end());
    const double median = times[times.size() / 2];
    const double p99 = times[times.size() * 99 / 100];
    const double rows =
        static_cast<double>(cell.running.size()) + engines + static_cast<double>(waiting);
    const double refused = refuse_all(cell);
    const double expired = expire_all(cell);
    std::printf("%8d %8zu %8zu %10.1f %10.1f %12.2f %12.1f %12.1f\n", engines, waiting,
                cell.running.size(), median, p99, median * 1'000 / rows, refused, expired);
}

} // namespace

int main() {
    std::printf("%8s %8s %8s %10s %10s %12s %12s %12s\n", "engines", "waiting", "running",
                "median us", "p99 us", "ns per row", "refuse us", "expire us");
    for (const int engines : {10, 100, 1'000}) {
        for (const std::size_t waiting : {100UL, 1'000UL, 10'000UL}) {
            measure(engines, waiting);
        }
    }
    return 0;
}
