#include "bench/replay/routers.hpp"
#include "bench/replay/summary.hpp"
#include "test/support/scheduling_invariants.hpp"

#include <doctest/doctest.h>
#include <set>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::replay;
using test_support::cell_fault;

/// Allowed loss of goodput relative to the naive router.
constexpr double tolerance = 0.02;
constexpr double min_floor_fraction = 0.9;
constexpr double min_urgent_fraction = 0.95;
constexpr double max_wasted = 0.01;
constexpr double max_wasted_by_failure = 0.03;
constexpr double min_bound_fraction = 0.9;

struct replay_fixture {
    std::vector<deployment> fleets{association(), utility()};
    std::vector<std::uint64_t> seeds{11, 12};

    static void check_all_ended(const world& in) {
        for (const request_row& request : in.requests) {
            REQUIRE(request.state >= progress::finished);
        }
    }

    static summary run(const deployment& fleet, const scenario& played, std::uint64_t seed,
                       router routes) {
        world in(fleet, played, seed + 1'000);
        play(in, routes, make_trace(fleet, played, seed));
        if (routes.name == "cells") {
            check_all_ended(in);
        }
        return summarize(in);
    }
};

bool has_engine_failure(const scenario& played) {
    return played.dead_decode_engine >= 0 || played.dead_prefill_engine >= 0;
}

} // namespace

TEST_CASE_FIXTURE(replay_fixture, "replay, all scenarios, invariants hold and no request is lost") {
    for (const deployment& fleet : fleets) {
        for (const scenario& played : all_scenarios()) {
            CAPTURE(fleet.name);
            CAPTURE(played.name);
            const auto observe = [](const scheduling::cell_state& state,
                                    const scheduling::cell_policy&, const scheduling::tick_output&,
                                    time_point) {
                REQUIRE(test_support::find_fault(state) == cell_fault::none);
            };
            run(fleet, played, seeds.front(), cell_router(fleet, policy_of(fleet), observe));
        }
    }
}

TEST_CASE_FIXTURE(replay_fixture,
                  "replay, all scenarios, not worse than naive routing and little waste") {
    for (const deployment& fleet : fleets) {
        for (const scenario& played : all_scenarios()) {
            for (const std::uint64_t seed : seeds) {
                CAPTURE(fleet.name);
                CAPTURE(played.name);
                CAPTURE(seed);
                const summary naive = run(fleet, played, seed, naive_router());
                const summary ours = run(fleet, played, seed, cell_router(fleet, policy_of(fleet)));
                CHECK(static_cast<double>(ours.good) >=
                      (1 - tolerance) * static_cast<double>(naive.good));
                CHECK(ours.urgent_good >= naive.urgent_good - tolerance);
                if (played.cancelled_part <= 0) { // cancellations have their own test
                    CHECK(ours.wasted <=
                          (has_engine_failure(played) ? max_wasted_by_failure : max_wasted));
                }
            }
        }
    }
}

TEST_CASE_FIXTURE(replay_fixture,
                  "replay, overload, urgent meets its targets and the rest keeps its floor") {
    for (const deployment& fleet : fleets) {
        for (const scenario& played : all_scenarios()) {
            if (played.floods.empty() || has_engine_failure(played)) {
                continue;
            }
            CAPTURE(fleet.name);
            CAPTURE(played.name);
            const summary ours =
                run(fleet, played, seeds.front(), cell_router(fleet, policy_of(fleet)));
            const bool is_deferrable_overload = played.floods.front().rank == rank::deferrable;
            const bool is_urgent_overload = played.floods.back().rank == rank::urgent;
            CHECK((!is_deferrable_overload || ours.urgent_good >= min_urgent_fraction));
            CHECK((!is_urgent_overload || ours.rest_kept >= min_floor_fraction));
        }
    }
}

TEST_CASE_FIXTURE(replay_fixture, "replay, no engine fails, goodput is close to the upper bound") {
    for (const deployment& fleet : fleets) {
        for (const scenario& played : all_scenarios()) {
            if (has_engine_failure(played)) {
                continue;
            }
            CAPTURE(fleet.name);
            CAPTURE(played.name);
            const std::uint64_t seed = seeds.front();
            const summary ours = run(fleet, played, seed, cell_router(fleet, policy_of(fleet)));
            const upper_bound bound = bound_of(fleet, played, make_trace(fleet, played, seed));
            CHECK(static_cast<double>(ours.good) >=
                  min_bound_fraction * static_cast<double>(bound.ideal));
        }
    }
}

TEST_CASE_FIXTURE(replay_fixture,
                  "replay, only prefill engine fails, role change increases goodput") {
    for (const deployment& fleet : fleets) {
        for (const scenario& played : all_scenarios()) {
            if (played.dead_prefill_engine < 0) {
                continue;
            }
            CAPTURE(fleet.name);
            const std::uint64_t seed = seeds.front();
            const scheduling::cell_policy policy = policy_of(fleet);
            const summary changed = run(fleet, played, seed, cell_router(fleet, policy));
            const summary fixed =
                run(fleet, played, seed, cell_router(fleet, policy, {}, fixed_roles()));
            CHECK(static_cast<double>(changed.good) >=
                  (1 + tolerance) * static_cast<double>(fixed.good));
            CHECK(changed.urgent_good >= min_urgent_fraction);
        }
    }
}
