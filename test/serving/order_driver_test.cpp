#include "cicadahatch/orders"
#include "src/serving/order_driver.hpp"
#include "src/serving/order_wishes.hpp"
#include "test/support/http_calls.hpp"
#include "test/support/memory_store.hpp"
#include "test/support/sample_settings.hpp"

#include <atomic>
#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace serving;

struct counting_sender final : orders::order_sender {
    std::atomic<int> sent{0};

    result<void> send(const orders::order&, fencing_number, time_point) override {
        ++sent;
        return {};
    }
};

/// One cell with two prefill engines and a decode engine.
struct driver_fixture {
    manual_clock time;
    test_support::memory_store kept{time};
    counting_sender sender;
    settings::order_rules rules;
    service_map services;
    order_cell cell;

    driver_fixture() {
        settings::service described = test_support::sample_model_service("s");
        described.backends.clear();
        cell.plan.id = cell_id{"cell"};
        cell.plan.model = described.model;
        for (const std::string name : {"p1", "p2", "d1"}) {
            add_engine(described, name,
                       name == "d1" ? backend_role::decode : backend_role::prefill);
        }
        services[described.name] = described;
        report();
    }

    void add_engine(settings::service& described, const std::string& name, backend_role role) {
        described.backends.push_back({backend_id{name}, "127.0.0.1:1", role, domain_id{"a"}});
        backend_row row;
        row.id = backend_id{name};
        row.place = {"127.0.0.1", 1};
        row.role = role;
        row.started = incarnation{1};
        row.load.role = role == backend_role::prefill ? "prefill" : "decode";
        row.load.models.emplace().push_back({described.model, "1", {}});
        cell.plan.engines.push_back(row);
    }

    settings::service& service() { return services.begin()->second; }
    void report() {
        for (backend_row& row : cell.plan.engines) {
            row.reported = time.now();
        }
    }
    void load_version(const std::string& version) {
        for (backend_row& row : cell.plan.engines) {
            row.load.models->front().version = version;
        }
    }
    bool is_leased() { return kept.get("cicadahatch/orders/cell").value().has_value(); }
};

} // namespace

TEST_CASE_FIXTURE(driver_fixture, "driver, engines as wanted, store is not asked") {
    order_driver driver{kept, time, daemon_id{"a"}, rules, sender};
    for (int second = 0; second < 100; ++second) {
        driver.tick({cell}, services, 1);
        time.advance(1s);
    }
    CHECK(kept.calls() == 0);
}

TEST_CASE_FIXTURE(driver_fixture, "driver, orders due, lease is taken and given up when idle") {
    order_driver driver{kept, time, daemon_id{"a"}, rules, sender};
    service().version = "2";
    driver.tick({cell}, services, 1);
    CHECK(is_leased());
    REQUIRE(test_support::eventually([&] { return sender.sent == 1; }));
    load_version("2");
    time.advance(rules.lease_idle / 2);
    driver.tick({cell}, services, 1);
    time.advance(rules.lease / 2);
    driver.tick({cell}, services, 1);
    CHECK(is_leased());
    // The key goes before its lease would have ended.
    time.advance(rules.lease_idle);
    CHECK(test_support::eventually([&] {
        driver.tick({cell}, services, 1);
        time.advance(1s);
        return !is_leased();
    }));
}

TEST_CASE_FIXTURE(driver_fixture, "driver, cell hosted no longer or stopped, gives its lease up") {
    rules.lease = 600s;
    order_driver driver{kept, time, daemon_id{"a"}, rules, sender};
    service().version = "2";
    driver.tick({cell}, services, 1);
    REQUIRE(is_leased());
    driver.tick({}, services, 1);
    CHECK_FALSE(is_leased());
    driver.tick({cell}, services, 1);
    REQUIRE(is_leased());
    driver.stop();
    CHECK_FALSE(is_leased());
    driver.tick({cell}, services, 1);
    CHECK_FALSE(is_leased());
}

TEST_CASE_FIXTURE(driver_fixture, "driver, many cells, weight store's rate is shared") {
    rules.loads_per_minute = 60;
    rules.lease = 600s;
    order_driver driver{kept, time, daemon_id{"a"}, rules, sender};
    service().version = "2";
    constexpr std::size_t cells = 30;
    for (int second = 0; second < 60; ++second) {
        driver.tick({cell}, services, cells);
        time.advance(1s);
        report();
    }
    // Two a minute are this cell's part; the first goes out at once.
    CHECK(test_support::eventually([&] { return sender.sent >= 2; }));
    CHECK(sender.sent <= 3);
}

TEST_CASE_FIXTURE(driver_fixture, "wishes, no version stated, any version will do") {
    service().version = "";
    CHECK(orders_of(cell, services).empty());
    service().version = "2";
    CHECK(orders_of(cell, services).size() == 3);
    cell.plan.engines[0].load.models.reset();
    CHECK(orders_of(cell, services).size() == 2);
}

TEST_CASE_FIXTURE(driver_fixture, "wishes, reported role differs, stays only where allowed") {
    cell.plan.engines[0].load.role = "decode";
    REQUIRE(orders_of(cell, services).size() == 1);
    CHECK(orders_of(cell, services)[0].kind == orders::order_kind::set_role);
    CHECK(orders_of(cell, services)[0].role == backend_role::prefill);
    service().allows_role_change = true;
    CHECK(orders_of(cell, services).empty());
    settings::service other = service();
    other.name = service_id{"other"};
    other.allows_role_change = false;
    services[other.name] = other;
    CHECK(orders_of(cell, services).size() == 1);
}

TEST_CASE_FIXTURE(driver_fixture, "roles, new home of a pressed cell, waits for the spacing") {
    const auto rule = role_rule_of(rules);
    cell.use = {0.0, 1.0};
    cell.plan.engines[0].load.running = 1;
    role_memory memory = begin_roles(time.now());
    const time_point taken_over = time.now();
    std::optional<orders::order> wanted;
    while (!wanted && time.now() - taken_over < 10 * rule.min_change_interval) {
        time.advance(200ms);
        observe_roles(memory, rule, cell, time.now());
        wanted = role_order(memory, rule, cell, services, time.now());
    }
    REQUIRE(wanted);
    CHECK(time.now() - taken_over >= rule.min_change_interval);
    CHECK(time.now() - taken_over < rule.min_change_interval + 1s);
    CHECK(wanted->engine == backend_id{"p2"});
    CHECK(wanted->role == backend_role::decode);
}

TEST_CASE_FIXTURE(driver_fixture, "roles, changed by another's order, spacing begins anew") {
    const auto rule = role_rule_of(rules);
    cell.use = {0.0, 1.0};
    role_memory memory = begin_roles(time.now());
    const time_point changes = time.now() + rule.min_change_interval - 1s;
    while (time.now() < changes + rule.min_change_interval - 1s) {
        time.advance(200ms);
        if (time.now() >= changes) {
            cell.plan.engines[0].load.role = "decode";
        }
        observe_roles(memory, rule, cell, time.now());
        CHECK_FALSE(role_order(memory, rule, cell, services, time.now()));
    }
}

TEST_CASE("pace, order carried out, next waits for a report taken afterwards") {
    order_table sent;
    const backend_id engine{"e"};
    const time_point start{1h};
    CHECK(is_order_due(sent, engine, start, start));
    begin_order(sent, engine, start);
    CHECK_FALSE(is_order_due(sent, engine, start + 9s, start + 9s));
    end_order(sent, engine, {}, 120s, start + 5s);
    CHECK_FALSE(is_order_due(sent, engine, start + 5s + 900ms, start + 9s));
    CHECK(is_order_due(sent, engine, start + 7s, start + 9s));
}

TEST_CASE("pace, orders fail, pauses double; outcome unknown, longest order is waited for") {
    order_table sent;
    const backend_id engine{"e"};
    time_point now{1h};
    duration pause{0};
    for (int failure = 0; failure < 5; ++failure) {
        begin_order(sent, engine, now);
        end_order(sent, engine, orders::errc::refused, 120s, now);
        const duration next = sent.find(engine)->retry_at - now;
        CHECK(next > pause);
        pause = next;
        now += next;
    }
    begin_order(sent, engine, now);
    end_order(sent, engine, orders::errc::outcome_unknown, 120s, now + 1s);
    CHECK_FALSE(is_order_due(sent, engine, now + 119s, now + 119s));
    CHECK(is_order_due(sent, engine, now + 120s, now + 120s));
}
