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
    std::error_code answer;

    result<void> send(const order& carried, fencing_number number, time_point) override {
        sent.emplace_back(carried, number);
        return answer ? result<void>{tl::unexpected(answer)} : result<void>{};
    }
};

struct issuer_fixture {
    manual_clock time;
    test_support::memory_store kept{time};
    issuer first{kept, time, cell_id{"cell"}, daemon_id{"a"}, {}};
    issuer second{kept, time, cell_id{"cell"}, daemon_id{"b"}, {}};
    recording_sender sender;

    /// Sends the admitted ones of some orders in turn.
    /// \returns how many were carried out
    std::size_t issue(issuer& by, const std::vector<order>& due) {
        std::size_t carried_out = 0;
        for (const order& next : due) {
            const auto permit = by.admit(next);
            if (!permit) {
                continue;
            }
            const auto answer = sender.send(next, permit->number, permit->not_after);
            by.record_outcome(*permit, answer ? std::error_code{} : answer.error());
            carried_out += answer ? 1 : 0;
        }
        return carried_out;
    }

    static order load(const std::string& engine) {
        order made;
        made.engine = backend_id{engine};
        return made;
    }
};

} // namespace

TEST_CASE_FIXTURE(issuer_fixture,
                  "issuer, cell held by another, takes it only once the lease ended") {
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

TEST_CASE_FIXTURE(issuer_fixture, "issuer, ticking on, keeps the cell and the number") {
    REQUIRE_FALSE(first.tick());
    const fencing_number number = first.lease()->number;
    for (int second_passed = 0; second_passed < 120; ++second_passed) {
        time.advance(1s);
        REQUIRE_FALSE(first.tick());
        REQUIRE_FALSE(second.tick());
    }
    CHECK(first.lease()->number == number);
    CHECK_FALSE(second.lease());
}

TEST_CASE_FIXTURE(issuer_fixture, "issuer, store down longer than the lease, stops by itself") {
    REQUIRE_FALSE(first.tick());
    kept.set_fault(store_fault::unavailable);
    time.advance(14s);
    CHECK(first.tick());
    CHECK(issue(first, {load("e")}) == 0);
    time.advance(2s);
    CHECK(first.tick());
    CHECK_FALSE(first.lease());
}

TEST_CASE_FIXTURE(issuer_fixture, "issuer, reply of the taking lost, finds its own number") {
    const std::uint64_t swap_call = 3;
    kept.set_faults([](std::uint64_t call) {
        return call == swap_call ? store_fault::lose_reply : store_fault::none;
    });
    REQUIRE_FALSE(first.tick());
    REQUIRE(first.lease());
    const auto stored = kept.get("cicadahatch/orders/cell").value();
    CHECK(first.lease()->number.value() == stored->created.value());
}

TEST_CASE_FIXTURE(issuer_fixture, "issuer, released, the next takes the cell at once") {
    REQUIRE_FALSE(first.tick());
    first.release();
    REQUIRE_FALSE(second.tick());
    CHECK(second.lease());
}

TEST_CASE_FIXTURE(issuer_fixture, "issuer, many loads due, the weight store's rate is kept") {
    REQUIRE_FALSE(first.tick());
    const std::vector<order> due(10, load("e"));
    CHECK(issue(first, due) == 1);
    for (int second_passed = 0; second_passed < 60; ++second_passed) {
        time.advance(1s);
        REQUIRE_FALSE(first.tick());
        issue(first, due);
    }
    CHECK(sender.sent.size() <= 7);
    CHECK(sender.sent.size() >= 6);
}

TEST_CASE_FIXTURE(issuer_fixture, "issuer, engine has seen a higher number, gives the cell up") {
    REQUIRE_FALSE(first.tick());
    sender.answer = errc::stale_fencing;
    CHECK(issue(first, {load("e"), load("f")}) == 0);
    CHECK(sender.sent.size() == 1);
    CHECK_FALSE(first.lease());
}

TEST_CASE_FIXTURE(issuer_fixture, "issuer, engine ignores numbers, waits before the first order") {
    REQUIRE_FALSE(first.tick());
    order unfenced = load("e");
    unfenced.checks_fencing = false;
    unfenced.kind = order_kind::set_role;
    CHECK(issue(first, {unfenced}) == 0);
    for (int second_passed = 0; second_passed < 145; ++second_passed) {
        time.advance(1s);
        REQUIRE_FALSE(first.tick());
    }
    CHECK(issue(first, {unfenced}) == 1);
}

TEST_CASE("reconcile, engine without its model, model first, then role, then adapter") {
    settings::service wanted = test_support::sample_model_service("s");
    wanted.version = "2";
    wanted.adapter = "lace";
    wanted.backends.resize(1);
    const auto desired = desired_engines({wanted});
    REQUIRE(desired.size() == 1);
    observed_engine seen{desired[0].id, backend_role::decode, wanted.model, "1", {}, false};
    CHECK(reconcile(desired, {seen}).at(0).kind == order_kind::load_model);
    seen.version = "2";
    CHECK(reconcile(desired, {seen}).at(0).kind == order_kind::set_role);
    seen.role = backend_role::prefill;
    CHECK(reconcile(desired, {seen}).at(0).kind == order_kind::load_adapter);
    seen.adapters = {"lace"};
    CHECK(reconcile(desired, {seen}).empty());
}

TEST_CASE("reconcile, engine leaving or silent, no order") {
    const auto desired = desired_engines({test_support::sample_model_service("s")});
    CHECK(reconcile(desired, {}).empty());
    CHECK(reconcile(desired, {{desired[0].id, backend_role::decode, {}, "", {}, true}}).empty());
}
