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

/// Ours may lose this part of what the naive way serves well.
constexpr double tolerance = 0.02;
constexpr double least_floor_part = 0.9;
constexpr double least_urgent_part = 0.95;
constexpr double most_wasted = 0.01;
constexpr double most_wasted_by_death = 0.03;
constexpr double least_of_bound = 0.9;

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

bool has_death(const scenario& played) {
    return played.dead_decode_engine >= 0 || played.dead_prefill_engine >= 0;
}

} // namespace

TEST_CASE_FIXTURE(replay_fixture, "replay, every case, limits hold at every tick, none is lost") {
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

TEST_CASE_FIXTURE(replay_fixture, "replay, every case, never worse than naive, little is wasted") {
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
                if (played.cancelled_part <= 0) { // these have their own test
                    CHECK(ours.wasted <= (has_death(played) ? most_wasted_by_death : most_wasted));
                }
            }
        }
    }
}

TEST_CASE_FIXTURE(replay_fixture,
                  "replay, floods, urgent is on time and the rest keeps its floor") {
    for (const deployment& fleet : fleets) {
        for (const scenario& played : all_scenarios()) {
            if (played.floods.empty() || has_death(played)) {
                continue;
            }
            CAPTURE(fleet.name);
            CAPTURE(played.name);
            const summary ours =
                run(fleet, played, seeds.front(), cell_router(fleet, policy_of(fleet)));
            const bool least_floods = played.floods.front().rank == rank::deferrable;
            const bool most_floods = played.floods.back().rank == rank::urgent;
            CHECK((!least_floods || ours.urgent_good >= least_urgent_part));
            CHECK((!most_floods || ours.rest_kept >= least_floor_part));
        }
    }
}

TEST_CASE_FIXTURE(replay_fixture, "replay, no engine dies, goodput is near the ideal cell's") {
    for (const deployment& fleet : fleets) {
        for (const scenario& played : all_scenarios()) {
            if (has_death(played)) {
                continue;
            }
            CAPTURE(fleet.name);
            CAPTURE(played.name);
            const std::uint64_t seed = seeds.front();
            const summary ours = run(fleet, played, seed, cell_router(fleet, policy_of(fleet)));
            const upper_bound bound = bound_of(fleet, played, make_trace(fleet, played, seed));
            CHECK(static_cast<double>(ours.good) >=
                  least_of_bound * static_cast<double>(bound.ideal));
        }
    }
}

TEST_CASE_FIXTURE(replay_fixture,
                  "replay, only prefill engine dies, a change of role serves more") {
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
            CHECK(changed.urgent_good >= least_urgent_part);
        }
    }
}
