#include "cicadahatch/scheduling"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace scheduling;

struct pools_fixture {
    role_balance pools;
    role_change_policy rule;
    time_point now{1h};

    pools_fixture() {
        rule.balances_pools = true;
        rule.smoothing = 1s;
        rule.min_overload_time = 1s;
        rule.min_prefill_overload_time = 12s;
        rule.min_change_interval = 12s;
    }
    void set_engines(std::uint32_t prefill, std::uint32_t decode) {
        pools.prefill_engines = prefill;
        pools.decode_engines = decode;
    }
    /// Applies constant load, given in engines kept busy; utilization falls with the pool's size.
    void apply_load(double prefill_engines_busy, double decode_engines_busy, duration length) {
        constexpr auto period = 500ms;
        for (const time_point until = now + length; now < until; now += period) {
            observe_utilization(pools, rule, prefill_engines_busy / pools.prefill_engines,
                                decode_engines_busy / pools.decode_engines, period, now);
        }
    }
    [[nodiscard]] std::optional<backend_role> decision() const {
        return decide_role_change(pools, rule, now);
    }
    /// Applies role changes until the policy requests none.
    /// \returns the number of moves, at most max_moves
    int converge(double prefill_engines_busy, double decode_engines_busy, int max_moves) {
        for (int moves = 0; moves < max_moves; ++moves) {
            apply_load(prefill_engines_busy, decode_engines_busy, 30s);
            const auto next = decision();
            if (!next) {
                return moves;
            }
            const int to_decode = *next == backend_role::decode ? 1 : -1;
            set_engines(
                static_cast<std::uint32_t>(static_cast<int>(pools.prefill_engines) - to_decode),
                static_cast<std::uint32_t>(static_cast<int>(pools.decode_engines) + to_decode));
            pools.changed_at = now;
        }
        return max_moves;
    }
};

TEST_CASE_FIXTURE(pools_fixture, "pools, decode busier by more than one engine, gains one early") {
    set_engines(4, 5);
    apply_load(1.2, 3.0, 500ms);
    CHECK_FALSE(decision());
    apply_load(1.2, 3.0, 2s);
    CHECK(decision() == backend_role::decode);
}

TEST_CASE_FIXTURE(pools_fixture, "pools, as balanced as possible, no change") {
    set_engines(3, 6);
    apply_load(1.6, 3.2, 60s);
    CHECK_FALSE(decision());
}

TEST_CASE_FIXTURE(pools_fixture, "pools, low utilization, no change") {
    set_engines(4, 5);
    apply_load(0.2, 1.0, 60s);
    CHECK_FALSE(decision());
}

TEST_CASE_FIXTURE(pools_fixture,
                  "pools, prefill engine lost for seconds, decode keeps its engines") {
    set_engines(2, 6);
    apply_load(1.7, 3.0, 8s);
    CHECK_FALSE(decision());
    SUBCASE("the engine returns") {
        set_engines(3, 6);
        apply_load(1.7, 3.0, 30s);
        CHECK_FALSE(decision());
    }
    SUBCASE("the engine stays away") {
        apply_load(1.7, 3.0, 10s);
        CHECK(decision() == backend_role::prefill);
    }
}

TEST_CASE_FIXTURE(pools_fixture, "pools, recent change, wait for the minimum interval") {
    set_engines(5, 4);
    pools.changed_at = now;
    apply_load(1.0, 3.5, 10s);
    CHECK_FALSE(decision());
    apply_load(1.0, 3.5, 5s);
    CHECK(decision() == backend_role::decode);
}

TEST_CASE_FIXTURE(pools_fixture, "pools, two engines left in a pool, it donates none") {
    set_engines(2, 7);
    apply_load(0.1, 6.9, 60s);
    CHECK_FALSE(decision());
}

TEST_CASE("pools, any constant load and initial sizes, moves converge") {
    for (int prefill = 2; prefill <= 9; ++prefill) {
        for (int decode = 2; decode <= 9; ++decode) {
            for (double prefill_load = 0.1; prefill_load < 6; prefill_load += 0.7) {
                for (double decode_load = 0.1; decode_load < 9; decode_load += 0.9) {
                    CAPTURE(prefill);
                    CAPTURE(decode);
                    CAPTURE(prefill_load);
                    CAPTURE(decode_load);
                    pools_fixture cell;
                    cell.set_engines(static_cast<std::uint32_t>(prefill),
                                     static_cast<std::uint32_t>(decode));
                    // More moves than engines would mean oscillation.
                    REQUIRE(cell.converge(prefill_load, decode_load, prefill + decode) <
                            std::max(prefill, decode));
                    REQUIRE(cell.pools.prefill_engines >= 2);
                    REQUIRE(cell.pools.decode_engines >= 2);
                }
            }
        }
    }
}

TEST_CASE("utilization_between, work of two samples, counts for both pools") {
    cell_capacity capacity;
    capacity.prefill_engines = 4;
    capacity.slots = 50;
    const offered_work before{10, 100};
    const offered_work after{12, 150};
    const pool_utilization use = utilization_between(before, after, capacity, 2s);
    CHECK(use.prefill == doctest::Approx(0.25));
    CHECK(use.decode == doctest::Approx(0.5));
    CHECK(utilization_between(before, after, cell_capacity{}, 2s).decode == 0);
}

} // namespace
