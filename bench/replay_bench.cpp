/// Replays both deployments' cases through the scheduling module and the ways it was weighed
/// against. `--quick`: one seed and three cases.

#include "bench/replay/routers.hpp"
#include "bench/replay/summary.hpp"

#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <functional>
#include <vector>

namespace {

using namespace cicadahatch;
using namespace cicadahatch::replay;

/// Sums over seeds.
struct row {
    std::string name;
    double good = 0;
    double ideal = 0;
    double smallest = 0;
    double asked = 0;
    double wasted = 0;
    double worst_wasted = 0;
    double urgent_good = 0;
    double rest_kept = 0;
    double late = 0;
    double urgent_p99_ms = 0;
};

using router_factory = std::function<router()>;

void add_run(row& sums, const deployment& fleet, const scenario& played, std::uint64_t seed,
             const router_factory& make) {
    const std::vector<arrival> trace = make_trace(fleet, played, seed);
    world run(fleet, played, seed + 1'000);
    router routes = make();
    play(run, routes, trace);
    const summary result = summarize(run);
    const upper_bound bound = bound_of(fleet, played, trace);
    sums.name = routes.name;
    sums.good += static_cast<double>(result.good);
    sums.asked += static_cast<double>(result.asked);
    sums.ideal += static_cast<double>(bound.ideal);
    sums.smallest += static_cast<double>(bound.smallest_first);
    sums.wasted += result.wasted;
    sums.worst_wasted = std::max(sums.worst_wasted, result.wasted);
    sums.urgent_good += result.urgent_good;
    sums.rest_kept += result.rest_kept;
    sums.late += static_cast<double>(result.late);
    sums.urgent_p99_ms +=
        std::chrono::duration<double, std::milli>(result.urgent_first_p99).count();
}

void print_row(const row& sums, double naive_good, double seeds) {
    std::printf("  %-12s %6.0f %6.0f %7.3f %7.3f %7.2f %7.2f%% %7.2f%% %7.1f%% %7.2f %6.0f %7.0f\n",
                sums.name.c_str(), sums.asked / seeds, sums.good / seeds, sums.good / sums.ideal,
                sums.good / sums.smallest, sums.good / naive_good, 100 * sums.wasted / seeds,
                100 * sums.worst_wasted, 100 * sums.urgent_good / seeds, sums.rest_kept / seeds,
                sums.late / seeds, sums.urgent_p99_ms / seeds);
}

std::vector<router_factory> ways_for(const deployment& fleet, const scenario& played) {
    std::vector<router_factory> ways = {naive_router, lone_router, two_choice_router, quota_router,
                                        [&] { return cell_router(fleet, policy_of(fleet)); }};
    if (played.dead_prefill_engine >= 0) {
        ways.emplace_back([&] {
            router routes = cell_router(fleet, policy_of(fleet), {}, fixed_roles());
            routes.name = "fixed roles";
            return routes;
        });
    }
    return ways;
}

void run_case(const deployment& fleet, const scenario& played,
              const std::vector<std::uint64_t>& seeds) {
    std::printf("%s, %s\n", fleet.name.c_str(), played.name.c_str());
    std::printf("  %-12s %6s %6s %7s %7s %7s %8s %8s %8s %7s %6s %7s\n", "way", "asked", "good",
                "/ideal", "/small", "/naive", "wasted", "worst", "urgent", "rest", "late", "u p99");
    double naive_good = 0;
    for (const router_factory& make : ways_for(fleet, played)) {
        row sums;
        for (const std::uint64_t seed : seeds) {
            add_run(sums, fleet, played, seed, make);
        }
        naive_good = naive_good > 0 ? naive_good : sums.good;
        print_row(sums, naive_good, static_cast<double>(seeds.size()));
    }
}

} // namespace

int main(int argc, char** argv) try {
    cxxopts::Options options("replay_bench", "Replays the cases of both deployments");
    options.add_options()("quick", "one seed, three cases")(
        "case", "only cases with this text", cxxopts::value<std::string>()->default_value(""));
    const auto chosen = options.parse(argc, argv);
    const bool is_quick = chosen.count("quick") > 0;
    const std::string wanted = chosen["case"].as<std::string>();
    const std::vector<std::uint64_t> seeds =
        is_quick ? std::vector<std::uint64_t>{1} : std::vector<std::uint64_t>{1, 2, 3};
    for (const deployment& fleet : {association(), utility()}) {
        std::size_t played = 0;
        for (const scenario& each : all_scenarios()) {
            const bool is_skipped = is_quick && played >= 3;
            if (!is_skipped && each.name.find(wanted) != std::string::npos) {
                run_case(fleet, each, seeds);
                ++played;
            }
        }
    }
    return 0;
} catch (const std::exception& error) {
    std::fprintf(stderr, "replay_bench: %s\n", error.what());
    return 1;
}
