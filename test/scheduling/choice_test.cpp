#include "cicadahatch/core"
#include "cicadahatch/scheduling"

#include <doctest/doctest.h>
#include <map>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::scheduling;

struct choice_fixture {
    domain_id own_domain{"a"};
    random_source random{3};
    choice_request request{model_id{"m"}, rank::urgent, 1s, 0ms, 2ms};

    static cell_digest cell(const std::string& id, const std::string& domain, duration wait) {
        cell_digest digest;
        digest.id = cell_id{id};
        digest.domain = domain_id{domain};
        digest.model = model_id{"m"};
        digest.predicted_wait = {wait, wait};
        digest.typical_first_token = 200ms;
        return digest;
    }
};

struct role_fixture {
    manual_clock time;
    role_change_policy rule;
    role_balance balance;

    role_fixture() {
        balance.prefill_engines = 3;
        balance.decode_engines = 7;
    }
    std::optional<backend_role> decide_after(double prefill_utilization, double decode_utilization,
                                             duration length) {
        for (duration passed{0}; passed < length; passed += 1s) {
            time.advance(1s);
            observe_utilization(balance, rule, prefill_utilization, decode_utilization, 1s,
                                time.now());
        }
        return decide_role_change(balance, rule, time.now());
    }
};

} // namespace

TEST_CASE_FIXTURE(choice_fixture, "choose_cell, local cell has capacity, request is not spilled") {
    const auto target =
        choose_cell({cell("c1", "a", 100ms), cell("c2", "b", 0ms)}, own_domain, request, random);
    REQUIRE(target);
    CHECK(target->cell == cell_id{"c1"});
    CHECK_FALSE(target->is_spilled);
}

TEST_CASE_FIXTURE(choice_fixture,
                  "choose_cell, local cell is full, spilled to a cell that meets the target") {
    const auto target =
        choose_cell({cell("c1", "a", 2s), cell("c2", "b", 100ms)}, own_domain, request, random);
    REQUIRE(target);
    CHECK(target->cell == cell_id{"c2"});
    CHECK(target->is_spilled);
}

TEST_CASE_FIXTURE(choice_fixture,
                  "choose_cell, no cell meets the target, stays in its own domain") {
    const auto target =
        choose_cell({cell("c1", "a", 2s), cell("c2", "b", 900ms)}, own_domain, request, random);
    REQUIRE(target);
    CHECK(target->cell == cell_id{"c1"});
}

TEST_CASE_FIXTURE(choice_fixture, "choose_cell, no cell takes work, returns nothing") {
    cell_digest closed = cell("c1", "a", 0ms);
    closed.takes_work = false;
    CHECK_FALSE(choose_cell({closed}, own_domain, request, random));
}

TEST_CASE_FIXTURE(choice_fixture, "choose_cell, twenty cells, never chooses the longest wait") {
    std::vector<cell_digest> digests;
    digests.reserve(20);
    for (int number = 0; number < 20; ++number) {
        digests.push_back(cell("c" + std::to_string(number), "a", number * 10ms));
    }
    std::map<cell_id, int> chosen;
    for (int count = 0; count < 2'000; ++count) {
        ++chosen[choose_cell(digests, own_domain, request, random)->cell];
    }
    CHECK(chosen[cell_id{"c19"}] == 0);
    CHECK(chosen[cell_id{"c0"}] > 100);
    CHECK(chosen[cell_id{"c0"}] < 400);
}

TEST_CASE("retry_budget, all attempts fail, retries are limited to a tenth of requests") {
    retry_budget budget;
    int retries = 0;
    for (int count = 0; count < 1'000; ++count) {
        record_request(budget);
        while (take_retry(budget)) {
            ++retries;
        }
    }
    CHECK(retries <= 111);
    CHECK(retries >= 100);
}

TEST_CASE_FIXTURE(role_fixture, "role change, short overload, no change") {
    CHECK_FALSE(decide_after(1.2, 0.3, 20s));
}

TEST_CASE_FIXTURE(role_fixture, "role change, lasting overload and an idle pool, engine is moved") {
    CHECK(decide_after(1.2, 0.3, 60s) == backend_role::prefill);
}

TEST_CASE_FIXTURE(role_fixture, "role change, other pool is in use, no change") {
    CHECK_FALSE(decide_after(1.2, 0.8, 120s));
}

TEST_CASE_FIXTURE(role_fixture,
                  "role change, shortly after another, waits for the minimum interval") {
    CHECK(decide_after(1.2, 0.3, 60s) == backend_role::prefill);
    balance.changed_at = time.now();
    CHECK_FALSE(decide_after(1.2, 0.3, 60s));
    CHECK(decide_after(1.2, 0.3, 90s) == backend_role::prefill);
}

TEST_CASE_FIXTURE(role_fixture,
                  "role change, utilization oscillates around the threshold, no change") {
    for (int count = 0; count < 20; ++count) {
        CHECK_FALSE(decide_after(1.1, 0.3, 12s));
        CHECK_FALSE(decide_after(0.5, 0.3, 12s));
    }
}

TEST_CASE_FIXTURE(role_fixture,
                  "role change, pool without engines, engine is moved at any utilization") {
    balance.prefill_engines = 0;
    CHECK_FALSE(decide_after(0, 0.9, 2s));
    CHECK(decide_after(0, 0.9, 3s) == backend_role::prefill);
}

TEST_CASE_FIXTURE(role_fixture, "role change, empty pool and a single other engine, no change") {
    balance.prefill_engines = 0;
    balance.decode_engines = 1;
    CHECK_FALSE(decide_after(0, 0.1, 60s));
}

TEST_CASE_FIXTURE(role_fixture, "role change, only engine returns within the delay, no change") {
    balance.prefill_engines = 0;
    CHECK_FALSE(decide_after(0, 0.9, 2s));
    balance.prefill_engines = 1;
    CHECK_FALSE(decide_after(0.5, 0.9, 10s));
}
