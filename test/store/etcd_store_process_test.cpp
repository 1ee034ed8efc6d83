#include "cicadahatch/store"
#include "test/support/paths.hpp"
#include "test/support/process.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using nlohmann::json;
using store::errc;

test_support::process start_platform() {
    return test_support::process{
        {test_support::binary_dir() + "/test/fake_platform", "--listen", "127.0.0.1:0"}};
}

struct platform_fixture {
    test_support::process fake = start_platform();
    std::unique_ptr<store::etcd_store> store =
        store::etcd_store_builder{}.add_endpoint(fake.place()).timeout(500ms).build();

    void control(const json& order) const {
        const auto answer =
            http::call(fake.place(), {"POST", "/control", "", {}, order.dump()}, 2s);
        REQUIRE(answer);
        REQUIRE(answer->status == http::status_ok);
    }

    [[nodiscard]] json counters() const {
        const auto answer = http::call(fake.place(), {"GET", "/control/counters", "", {}, ""}, 2s);
        REQUIRE(answer);
        return json::parse(answer->body);
    }
};

} // namespace

TEST_CASE_FIXTURE(platform_fixture,
                  "etcd_store, swap on the right and a wrong revision, one wins") {
    const std::string value{"bytes \0 and \xff", 12};
    const auto created = store->swap("a/1", {}, value, {});
    REQUIRE(created);
    CHECK(created->is_swapped);
    const auto again = store->swap("a/1", {}, "other", {});
    REQUIRE(again);
    CHECK_FALSE(again->is_swapped);
    REQUIRE(again->current);
    CHECK(again->current->value == value);
    CHECK(again->current->modified == created->at);
    const auto read = store->get("a/1");
    REQUIRE(read);
    CHECK((*read)->value == value);
    CHECK((*read)->created == created->at);
    CHECK_FALSE(store->get("absent").value().has_value());
}

TEST_CASE_FIXTURE(platform_fixture, "etcd_store, listing a prefix, holds its keys alone") {
    REQUIRE(store->swap("a/1", {}, "1", {}));
    REQUIRE(store->swap("a/2", {}, "", {}));
    REQUIRE(store->swap("b/1", {}, "3", {}));
    const auto listed = store->list("a/");
    REQUIRE(listed);
    REQUIRE(listed->entries.size() == 2);
    CHECK(listed->entries[1].key == "a/2");
    CHECK(listed->entries[1].value.empty());
}

TEST_CASE_FIXTURE(platform_fixture, "etcd_store, erased at its revision, absent afterwards") {
    const auto created = store->swap("a", {}, "1", {});
    REQUIRE(created);
    CHECK_FALSE(store->erase("a", revision{created->at.value() + 7})->is_swapped);
    CHECK(store->erase("a", created->at)->is_swapped);
    CHECK_FALSE(store->get("a").value().has_value());
}

TEST_CASE_FIXTURE(platform_fixture, "etcd_store, lease revoked, its keys are gone") {
    const auto lease = store->grant_lease(60s);
    REQUIRE(lease);
    REQUIRE(store->swap("held", {}, "1", *lease)->is_swapped);
    CHECK(store->get("held").value()->lease == *lease);
    CHECK(store->keep_alive(*lease).value() == 60s);
    CHECK(store->revoke_lease(*lease));
    CHECK_FALSE(store->get("held").value().has_value());
    CHECK(store->keep_alive(*lease).error() == errc::lease_expired);
    CHECK(store->swap("held", {}, "1", *lease).error() == errc::lease_expired);
}

TEST_CASE_FIXTURE(platform_fixture, "etcd_store, value over the bound, refused unsent") {
    const std::string value(store::max_value_bytes + 1, 'x');
    CHECK(store->swap("a", {}, value, {}).error() == errc::value_too_large);
    CHECK(counters().at("calls") == 0);
}

TEST_CASE_FIXTURE(platform_fixture, "etcd_store, value at the bound, comes back whole") {
    const std::string value(store::max_value_bytes, 'x');
    REQUIRE(store->swap("a", {}, value, {})->is_swapped);
    CHECK(store->get("a").value()->value == value);
}

TEST_CASE_FIXTURE(platform_fixture, "etcd_store, reply lost after the write, outcome unknown") {
    control({{"mode", "lose_reply"}, {"count", 1}});
    const auto outcome = store->swap("a", {}, "1", {});
    REQUIRE_FALSE(outcome);
    CHECK(outcome.error() == errc::outcome_unknown);
    CHECK(store->get("a").value()->value == "1");
    CHECK(counters().at("writes") == 1);
}

TEST_CASE_FIXTURE(platform_fixture,
                  "etcd_store, request dropped, outcome unknown, never sent again") {
    control({{"mode", "drop_request"}, {"count", 1}});
    CHECK(store->swap("a", {}, "1", {}).error() == errc::outcome_unknown);
    CHECK_FALSE(store->get("a").value().has_value());
    CHECK(counters().at("writes") == 1);
}

TEST_CASE_FIXTURE(platform_fixture, "etcd_store, no reply within the timeout, outcome unknown") {
    control({{"mode", "slow"}, {"delay_ms", 1500}, {"count", 1}});
    CHECK(store->swap("a", {}, "1", {}).error() == errc::outcome_unknown);
}

TEST_CASE_FIXTURE(platform_fixture, "etcd_store, server says no leader, surely not applied") {
    control({{"mode", "unavailable"}});
    CHECK(store->swap("a", {}, "1", {}).error() == errc::unavailable);
    CHECK(store->get("a").error() == errc::unavailable);
    CHECK(store->watch("a", revision{1}, 5s).error() == errc::unavailable);
}

TEST_CASE_FIXTURE(platform_fixture, "etcd_store, frozen server, write is unknown and read fails") {
    REQUIRE(store->get("a"));
    fake.send_signal(SIGSTOP);
    CHECK(store->swap("a", {}, "1", {}).error() == errc::outcome_unknown);
    CHECK(store->get("a").error() == errc::unavailable);
    fake.send_signal(SIGCONT);
}

TEST_CASE_FIXTURE(platform_fixture,
                  "etcd_store, server killed, unavailable and surely not applied") {
    REQUIRE(store->get("a"));
    fake.kill();
    const auto outcome = store->swap("a", {}, "1", {});
    CHECK(outcome.error() == errc::unavailable);
    CHECK(store::is_surely_not_applied(outcome.error()));
}

TEST_CASE_FIXTURE(platform_fixture, "etcd_store, first endpoint dead, the next one serves") {
    http::endpoint dead;
    {
        const test_support::process gone = start_platform();
        dead = gone.place();
    }
    const auto both =
        store::etcd_store_builder{}.add_endpoint(dead).add_endpoint(fake.place()).build();
    CHECK(both->swap("a", {}, "1", {})->is_swapped);
    CHECK(both->get("a").value()->value == "1");
    CHECK(both->watch("a", revision{1}, 5s)->changes.size() == 1);
}

TEST_CASE_FIXTURE(platform_fixture, "etcd_store, watch, gets each change once over one stream") {
    const revision first{store->list("w/")->at.value() + 1};
    auto batch = store->watch("w/", first, 0ms);
    REQUIRE(batch);
    CHECK(batch->changes.empty());
    for (int turn = 0; turn < 5; ++turn) {
        const auto written = store->swap("w/" + std::to_string(turn), {}, "v", {});
        REQUIRE(written);
        batch = store->watch("w/", batch->next, 10s);
        REQUIRE(batch);
        REQUIRE(batch->changes.size() == 1);
        CHECK(batch->changes.front().changed.modified == written->at);
    }
    const auto erased = store->erase("w/0", store->get("w/0").value()->modified);
    REQUIRE(erased);
    batch = store->watch("w/", batch->next, 10s);
    REQUIRE(batch);
    CHECK(batch->changes.at(0).is_erased);
    CHECK(counters().at("by_path").at("/v3/watch") == 1);
}

TEST_CASE_FIXTURE(platform_fixture, "etcd_store, watch from a compacted revision, says so") {
    REQUIRE(store->swap("w/1", {}, "v", {}));
    control({{"compact", true}});
    CHECK(store->watch("w/", revision{1}, 10s).error() == errc::compacted);
}

TEST_CASE_FIXTURE(platform_fixture, "vm_list, set at the platform, comes back typed") {
    control({{"vms", json::array({{{"id", "vm-1"},
                                   {"address", "127.0.0.1:7000"},
                                   {"domain", "north"},
                                   {"state", "leaving"}}})}});
    store::vm_list_client client{{fake.place()}};
    const auto machines = client.fetch();
    REQUIRE(machines);
    REQUIRE(machines->size() == 1);
    CHECK(machines->front().id == "vm-1");
    CHECK(machines->front().domain == domain_id{"north"});
    CHECK(machines->front().state == store::vm_state::leaving);
}

TEST_CASE("vm_list, unknown state or missing field, refused") {
    const std::string machine = R"([{"id":"a","address":"b","domain":"c","state":"gone"}])";
    CHECK(store::parse_vm_list(machine).error() == errc::protocol);
    CHECK(store::parse_vm_list(R"([{"id":"a"}])").error() == errc::protocol);
    CHECK(store::parse_vm_list("{}").error() == errc::protocol);
}
