#include "cicadahatch/orders"
#include "test/support/memory_store.hpp"
#include "test/support/sample_settings.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace orders;
using test_support::store_fault;

struct recording_sender final : order_sender {
    std::vector<std::pair<order, fencing_number>> sent;
    std::error_code error;

    result<void> send(const order& order, fencing_number number, time_point) override {
        sent.emplace_back(order, number);
        return error ? result<void>{tl::unexpected(error)} : result<void>{};
    }
};

struct issuer_fixture {
    manual_clock time;
    test_support::memory_store store{time};
    issuer first{store, time, cell_id{"cell"}, daemon_id{"a"}, {}};
    issuer second{store, time, cell_id{"cell"}, daemon_id{"b"}, {}};
    recording_sender sender;

    /// Sends the orders that the issuer admits, in sequence.
    /// \returns the number of orders executed
    std::size_t issue(issuer& issuing, const std::vector<order>& orders) {
        std::size_t executed = 0;
        for (const order& next : orders) {
            const auto permit = issuing.admit(next);
            if (!permit) {
                continue;
            }
            const auto answer = sender.send(next, permit->number, permit->not_after);
            issuing.record_outcome(*permit, answer ? std::error_code{} : answer.error());
            executed += answer ? 1 : 0;
        }
        return executed;
    }

    static order load(const std::string& engine) {
        order load_model;
        load_model.engine = backend_id{engine};
        return load_model;
    }
};

/// The first issuer holds the lease; a copy of the store is of before.
struct restore_fixture : issuer_fixture {
    const issuer_limits limits{};
    test_support::memory_store::store_copy copied = store.copy();

    restore_fixture() {
        REQUIRE_FALSE(first.tick());
        REQUIRE(first.lease());
        REQUIRE(first.admit(load("e")));
    }
};

} // namespace

TEST_CASE_FIXTURE(issuer_fixture,
                  "issuer, lease held by another daemon, acquires it only after expiry") {
    REQUIRE_FALSE(first.tick());
    REQUIRE_FALSE(second.tick());
    REQUIRE(first.lease());
    CHECK_FALSE(second.lease());
    time.advance(16s);
    REQUIRE_FALSE(second.tick());
    REQUIRE(second.lease());
    CHECK(second.lease()->number > first.lease()->number);
    CHECK_FALSE(may_send(*first.lease(), {}, true, time.now()));
}

TEST_CASE_FIXTURE(issuer_fixture,
                  "issuer, ticked regularly, keeps the lease and its fencing number") {
    REQUIRE_FALSE(first.tick());
    const fencing_number number = first.lease()->number;
    for (int elapsed_seconds = 0; elapsed_seconds < 120; ++elapsed_seconds) {
        time.advance(1s);
        REQUIRE_FALSE(first.tick());
        REQUIRE_FALSE(second.tick());
    }
    CHECK(first.lease()->number == number);
    CHECK_FALSE(second.lease());
}

TEST_CASE_FIXTURE(issuer_fixture,
                  "issuer, store unavailable longer than the lease, drops the lease") {
    REQUIRE_FALSE(first.tick());
    store.set_fault(store_fault::unavailable);
    time.advance(14s);
    CHECK(first.tick());
    CHECK(issue(first, {load("e")}) == 0);
    time.advance(2s);
    CHECK(first.tick());
    CHECK_FALSE(first.lease());
}

TEST_CASE_FIXTURE(issuer_fixture,
                  "issuer, reply to the acquiring swap is lost, reads back its fencing number") {
    const std::uint64_t swap_call = 3;
    store.set_faults([](std::uint64_t call) {
        return call == swap_call ? store_fault::lose_reply : store_fault::none;
    });
    REQUIRE_FALSE(first.tick());
    REQUIRE(first.lease());
    const auto stored = store.get("cicadahatch/orders/cell").value();
    CHECK(first.lease()->number.value() == stored->created.value());
}

TEST_CASE_FIXTURE(issuer_fixture, "issuer, lease released, another daemon acquires it at once") {
    REQUIRE_FALSE(first.tick());
    first.release();
    REQUIRE_FALSE(second.tick());
    CHECK(second.lease());
}

TEST_CASE_FIXTURE(issuer_fixture, "issuer, many load orders, weight store's rate is not exceeded") {
    REQUIRE_FALSE(first.tick());
    const std::vector<order> loads(10, load("e"));
    CHECK(issue(first, loads) == 1);
    for (int elapsed_seconds = 0; elapsed_seconds < 60; ++elapsed_seconds) {
        time.advance(1s);
        REQUIRE_FALSE(first.tick());
        issue(first, loads);
    }
    CHECK(sender.sent.size() <= 7);
    CHECK(sender.sent.size() >= 6);
}

TEST_CASE_FIXTURE(issuer_fixture,
                  "issuer, engine has seen a higher fencing number, drops the lease") {
    REQUIRE_FALSE(first.tick());
    sender.error = errc::stale_fencing;
    CHECK(issue(first, {load("e"), load("f")}) == 0);
    CHECK(sender.sent.size() == 1);
    CHECK_FALSE(first.lease());
}

TEST_CASE_FIXTURE(issuer_fixture,
                  "issuer, engine ignores fencing numbers, delays the first order") {
    REQUIRE_FALSE(first.tick());
    order unfenced = load("e");
    unfenced.checks_fencing = false;
    unfenced.kind = order_kind::set_role;
    CHECK(issue(first, {unfenced}) == 0);
    for (int elapsed_seconds = 0; elapsed_seconds < 145; ++elapsed_seconds) {
        time.advance(1s);
        REQUIRE_FALSE(first.tick());
    }
    CHECK(issue(first, {unfenced}) == 1);
}

TEST_CASE("reconcile, several differences, orders model, then role, then adapter") {
    settings::service service = test_support::sample_model_service("s");
    service.version = "2";
    service.adapter = "lace";
    service.backends.resize(1);
    const auto desired = desired_engines({service});
    REQUIRE(desired.size() == 1);
    observed_engine observed{desired[0].id, backend_role::decode, service.model, "1", {}, false};
    CHECK(reconcile(desired, {observed}).at(0).kind == order_kind::load_model);
    observed.version = "2";
    CHECK(reconcile(desired, {observed}).at(0).kind == order_kind::set_role);
    observed.role = backend_role::prefill;
    CHECK(reconcile(desired, {observed}).at(0).kind == order_kind::load_adapter);
    observed.adapters = {"lace"};
    CHECK(reconcile(desired, {observed}).empty());
}

TEST_CASE("reconcile, engine is leaving or has not reported, gets no order") {
    const auto desired = desired_engines({test_support::sample_model_service("s")});
    CHECK(reconcile(desired, {}).empty());
    CHECK(reconcile(desired, {{desired[0].id, backend_role::decode, {}, "", {}, true}}).empty());
}

// Guards against two daemons that order under one number, or in turns, after a restore.
TEST_CASE_FIXTURE(restore_fixture, "issuer, lease won after a restore, has a greater number") {
    store.restore(copied);
    second.set_generation(store::generation{1}, time.now());
    REQUIRE_FALSE(second.tick());
    REQUIRE(second.lease());
    CHECK(second.lease()->number > first.lease()->number);
}

TEST_CASE_FIXTURE(restore_fixture,
                  "issuer, lease won after a restore, waits until a forgotten lease has ended") {
    store.restore(copied);
    second.set_generation(store::generation{1}, time.now());
    REQUIRE_FALSE(second.tick());
    // The holder of before the restore is cut off from the store and hears nothing.
    bool has_overlap = false;
    while (!second.admit(load("e"))) {
        has_overlap = has_overlap || !second.lease();
        time.advance(500ms);
        REQUIRE_FALSE(second.tick());
    }
    CHECK_FALSE(has_overlap);
    CHECK_FALSE(first.admit(load("e")));
}

TEST_CASE_FIXTURE(restore_fixture,
                  "issuer, generation not known before the lease is won, waits for a whole lease") {
    store.restore(copied);
    REQUIRE_FALSE(second.tick());
    time.advance(limits.lease - 1s);
    REQUIRE_FALSE(second.tick());
    CHECK_FALSE(second.admit(load("e")));
    time.advance(1s);
    REQUIRE_FALSE(second.tick());
    CHECK(second.admit(load("e")));
}

TEST_CASE_FIXTURE(restore_fixture, "issuer, generation known for a whole lease, orders at once") {
    store.restore(copied);
    const time_point restored_at = time.now();
    time.advance(limits.lease);
    second.set_generation(store::generation{1}, restored_at);
    REQUIRE_FALSE(second.tick());
    CHECK(second.admit(load("e")));
}

TEST_CASE_FIXTURE(restore_fixture, "issuer, lease lost in a restore, gives it up at its renewal") {
    store.restore(copied);
    time.advance(limits.lease / renewals_per_lease);
    CHECK(first.tick() == store::errc::lease_expired);
    CHECK_FALSE(first.lease());
    CHECK_FALSE(first.admit(load("e")));
}

TEST_CASE_FIXTURE(restore_fixture, "issuer, two restores in a row, numbers keep growing") {
    store.restore(copied);
    REQUIRE_FALSE(second.tick());
    REQUIRE(second.lease());
    const fencing_number middle = second.lease()->number;
    store.restore(copied);
    issuer third{store, time, cell_id{"cell"}, daemon_id{"c"}, limits};
    REQUIRE_FALSE(third.tick());
    REQUIRE(third.lease());
    CHECK(middle > first.lease()->number);
    CHECK(third.lease()->number > middle);
}
