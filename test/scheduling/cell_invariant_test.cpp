#include "cicadahatch/core"
#include "cicadahatch/scheduling"
#include "test/support/scheduling_cell.hpp"
#include "test/support/scheduling_invariants.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::scheduling;
using test_support::cell_fault;
using test_support::find_fault;

constexpr int steps = 1'500;

/// Drives a cell with random inputs of every kind. Each request must end exactly once.
struct random_cell {
    explicit random_cell(std::uint64_t seed) : random(seed) {
        for (engine& instance : state.engines.rows()) {
            // Few slots and little memory, so that both limits are reached often.
            instance.spec.pieces = instance.spec.pieces == 0 ? 0 : 1'500;
            instance.spec.slots = std::min<std::uint32_t>(instance.spec.slots, 3);
        }
    }

    void submit_one() {
        const rank work_rank = random.chance(0.4) ? rank::urgent : rank::deferrable;
        request_spec spec =
            test_support::request("r" + std::to_string(next++), work_rank, time.now());
        spec.owner = daemon_id{"daemon-" + std::to_string(random.below(3))};
        spec.team = team_id{"team-" + std::to_string(random.below(4))};
        spec.prompt_tokens = static_cast<std::uint32_t>(50 + random.below(20'000));
        spec.prefix_hashes = {random.below(5), 100 + random.below(5)};
        if (submit(state, policy, spec, time.now())) {
            pending.insert(spec.id);
        }
    }

    request_id any_grant() {
        const auto& rows = state.grants.rows();
        return rows.empty() ? request_id{"none"} : rows[random.below(rows.size())].id;
    }

    request_id any_waiting() {
        const auto& rows = state.waiting.rows();
        return rows.empty() ? request_id{"none"} : rows[random.below(rows.size())].id;
    }

    void advance_grant() {
        const request_id request = any_grant();
        const live_grant* held = state.grants.find(request);
        if (held == nullptr) {
            return;
        }
        if (held->stage == stage::prefill) {
            prefill_finished(state, request, static_cast<std::uint32_t>(random.below(600)),
                             time.now());
        } else if (held->stage == stage::transfer) {
            first_token(state, request, time.now());
        } else {
            release(state, policy, request, outcome::completed, 200, time.now());
            pending.erase(request);
        }
    }

    void lose(const std::vector<request_id>& gone) {
        for (const request_id& request : gone) {
            pending.erase(request);
        }
    }

    void inject_event() {
        const backend_id backend{random.chance(0.5) ? "decode-0" : "prefill-1"};
        switch (random.below(7)) {
        case 0: {
            const request_id request = random.chance(0.5) ? any_grant() : any_waiting();
            withdraw(state, request, time.now());
            pending.erase(request);
            break;
        }
        case 1: {
            const request_id request = any_grant();
            release(state, policy, request, outcome::prefill_failed, 0, time.now());
            pending.erase(request);
            break;
        }
        case 2: {
            load_report report;
            report.backend = backend;
            report.sequence = random.below(1'000);
            report.taken_at = time.now() - 300ms;
            report.running = static_cast<std::uint32_t>(random.below(25));
            ingest_load(state, report, time.now());
            break;
        }
        case 3:
            ingest_cache_events(state, policy,
                                {backend,
                                 incarnation{},
                                 random.below(50),
                                 random.chance(0.2),
                                 {{random.below(5), true}, {random.below(5), false}}});
            break;
        case 4:
            if (random.chance(0.02)) {
                withdraw_owner(state, daemon_id{"daemon-1"}, time.now());
                erase_unknown();
            }
            break;
        case 5:
            if (random.chance(0.02)) {
                restart(backend);
            }
            break;
        default:
            release(state, policy, any_grant(), outcome::superseded, 0, time.now());
            erase_unknown();
        }
    }

    void restart(const backend_id& backend) {
        std::vector<engine_spec> specs;
        for (const engine& instance : state.engines.rows()) {
            specs.push_back(instance.spec);
            if (instance.id == backend) {
                specs.back().started = incarnation{++incarnations};
            }
        }
        set_engines(state, specs, time.now());
        erase_unknown();
    }

    void erase_unknown() {
        std::erase_if(pending, [&](const request_id& request) {
            return !state.waiting.contains(request) && !state.grants.contains(request);
        });
    }

    void step() {
        time.advance(tick_period);
        for (int count = 0; count < 2; ++count) {
            if (random.chance(0.2)) {
                submit_one();
            }
            advance_grant();
        }
        if (random.chance(0.1)) {
            inject_event();
        }
        last = tick(state, policy, time.now());
    }

    manual_clock time;
    cell_policy policy;
    cell_state state = test_support::small_cell(time.now(), 2, 3);
    random_source random;
    std::set<request_id> pending;
    tick_output last;
    std::uint64_t next = 0;
    std::uint64_t incarnations = 0;
};

struct seeded_fixture {
    std::vector<std::uint64_t> seeds{1, 2, 3, 4, 5, 6, 7, 8};
};

} // namespace

TEST_CASE_FIXTURE(seeded_fixture, "cell, random inputs, invariants hold after every tick") {
    for (const std::uint64_t seed : seeds) {
        CAPTURE(seed);
        random_cell cell(seed);
        for (int count = 0; count < steps; ++count) {
            CAPTURE(count);
            cell.step();
            REQUIRE(find_fault(cell.state) == cell_fault::none);
        }
    }
}

TEST_CASE_FIXTURE(seeded_fixture, "cell, random inputs, no request is granted twice or lost") {
    for (const std::uint64_t seed : seeds) {
        CAPTURE(seed);
        random_cell cell(seed);
        std::set<request_id> answered;
        std::size_t granted = 0;
        for (int count = 0; count < steps; ++count) {
            cell.step();
            for (const grant& issued : cell.last.grants) {
                REQUIRE(answered.insert(issued.request).second);
                ++granted;
            }
            for (const refusal& refused : cell.last.refusals) {
                REQUIRE(answered.insert(refused.request).second);
                cell.pending.erase(refused.request);
            }
            for (const grant& reaped : cell.last.reaped) {
                cell.pending.erase(reaped.request);
            }
            for (const request_id& request : cell.pending) {
                const bool is_kept =
                    cell.state.waiting.contains(request) || cell.state.grants.contains(request);
                REQUIRE(is_kept);
            }
        }
        CHECK(granted > 50);
    }
}
