#include "cicadahatch/core"
#include "src/gateway/order_lease_manager.hpp"
#include "test/support/memory_store.hpp"

#include <atomic>
#include <doctest/doctest.h>
#include <functional>
#include <thread>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;

/// A clock that the test sets while the worker thread reads it.
struct shared_clock final : clock {
    std::atomic<std::int64_t> seconds{1000};

    [[nodiscard]] time_point now() const override {
        return time_point{std::chrono::seconds{seconds.load()}};
    }
    [[nodiscard]] wall_time wall_now() const override { return wall_time{}; }
};

/// Forwards to a store owned by the test.
struct forwarding_store final : store::key_value_store {
    store::key_value_store& target;

    explicit forwarding_store(store::key_value_store& forwarded_to) : target(forwarded_to) {}
    result<std::optional<store::entry>> get(const std::string& key) override {
        return target.get(key);
    }
    result<store::listing> list(const std::string& prefix) override { return target.list(prefix); }
    result<store::swap_outcome> swap(const std::string& key, revision expected,
                                     const std::string& value, store::lease_id lease) override {
        return target.swap(key, expected, value, lease);
    }
    result<store::swap_outcome> erase(const std::string& key, revision expected) override {
        return target.erase(key, expected);
    }
    result<store::lease_id> grant_lease(std::chrono::seconds time_to_live) override {
        return target.grant_lease(time_to_live);
    }
    result<std::chrono::seconds> keep_alive(store::lease_id lease) override {
        return target.keep_alive(lease);
    }
    result<void> revoke_lease(store::lease_id lease) override { return target.revoke_lease(lease); }
    result<store::change_batch> watch(const std::string& prefix, revision from,
                                      std::chrono::milliseconds wait) override {
        return target.watch(prefix, from, wait);
    }
};

bool eventually(const std::function<bool()>& holds) {
    const auto until = std::chrono::steady_clock::now() + 10s;
    while (!holds()) {
        if (std::chrono::steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(5ms);
    }
    return true;
}

struct answers {
    std::atomic<int> permits{0};
    std::atomic<int> denials{0};
    std::atomic<std::uint64_t> number{0};
    std::atomic<std::int64_t> not_after{0};

    gateway::order_lease_manager::permit_handler handler() {
        return [this](const cell_id&, const std::optional<orders::order_permit>& permit) {
            if (permit) {
                number = permit->number.value();
                not_after = permit->not_after.time_since_epoch().count();
            }
            ++(permit ? permits : denials);
        };
    }
};

struct lease_manager_fixture {
    shared_clock time;
    test_support::memory_store backing_store{time};
    const cell_id cell{"model"};
    const std::string key = "cicadahatch/orders/model";
    answers own_answers;

    std::unique_ptr<gateway::order_lease_manager> make_manager(const std::string& name,
                                                               answers& results) {
        orders::issuer_limits limits;
        limits.lease = 3s;
        limits.safety_margin = 1s;
        limits.max_order_duration = 1s;
        limits.connection_idle_timeout = 0s;
        return std::make_unique<gateway::order_lease_manager>(
            std::make_unique<forwarding_store>(backing_store), time, daemon_id{name}, limits,
            results.handler());
    }
    static orders::order role_order() {
        orders::order order;
        order.engine = backend_id{"p-1"};
        order.kind = orders::order_kind::set_role;
        order.checks_fencing = false;
        return order;
    }
    [[nodiscard]] bool is_held() { return backing_store.get(key).value().has_value(); }
    /// Advances the clock while the manager renews its lease.
    void advance(int seconds) {
        for (int passed = 0; passed < seconds; ++passed) {
            const std::uint64_t calls = backing_store.calls();
            ++time.seconds;
            static_cast<void>(eventually([&] { return backing_store.calls() > calls; }));
        }
    }
};

TEST_CASE_FIXTURE(lease_manager_fixture,
                  "lease manager, lease held for long, permit is granted at once") {
    const auto first = make_manager("a", own_answers);
    first->hold({cell});
    REQUIRE(eventually([this] { return is_held(); }));
    advance(5);
    REQUIRE(first->request_permit(cell, role_order()));
    CHECK(eventually([this] { return own_answers.permits == 1; }));
    // The permit expires before the lease.
    const time_point limit{std::chrono::nanoseconds{own_answers.not_after}};
    CHECK(limit <= time.now() + 2s);
    CHECK(own_answers.denials == 0);
}

TEST_CASE_FIXTURE(
    lease_manager_fixture,
    "lease manager, lease just acquired, permit waits until other orders can't arrive") {
    const auto first = make_manager("a", own_answers);
    first->hold({cell});
    REQUIRE(eventually([this] { return is_held(); }));
    REQUIRE(first->request_permit(cell, role_order()));
    CHECK_FALSE(first->request_permit(cell, role_order()));
    advance(2);
    CHECK(own_answers.permits == 0);
    advance(3);
    CHECK(eventually([this] { return own_answers.permits == 1; }));
}

TEST_CASE_FIXTURE(
    lease_manager_fixture,
    "lease manager, another daemon holds the lease, request is denied after the timeout") {
    answers other_answers;
    const auto first = make_manager("a", own_answers);
    first->hold({cell});
    REQUIRE(eventually([this] { return is_held(); }));
    const auto second = make_manager("b", other_answers);
    second->hold({cell});
    REQUIRE(second->request_permit(cell, role_order()));
    advance(20);
    CHECK(eventually([&] { return other_answers.denials == 1; }));
    CHECK(other_answers.permits == 0);
}

TEST_CASE_FIXTURE(lease_manager_fixture,
                  "lease manager, cell no longer wanted, lease is released to the next holder") {
    answers other_answers;
    const auto first = make_manager("a", own_answers);
    first->hold({cell});
    REQUIRE(eventually([this] { return is_held(); }));
    advance(5);
    REQUIRE(first->request_permit(cell, role_order()));
    REQUIRE(eventually([this] { return own_answers.permits == 1; }));
    first->hold({});
    REQUIRE(eventually([this] { return !is_held(); }));
    const auto second = make_manager("b", other_answers);
    second->hold({cell});
    REQUIRE(second->request_permit(cell, role_order()));
    const time_point asked_at = time.now();
    advance(6);
    CHECK(eventually([&] { return other_answers.permits == 1; }));
    // Orders of two daemons are a lease apart, and their numbers increase.
    CHECK(time.now() - asked_at >= 3s);
    CHECK(other_answers.number > own_answers.number);
}

TEST_CASE_FIXTURE(lease_manager_fixture,
                  "lease manager, store unavailable, no permit beyond the lease") {
    const auto first = make_manager("a", own_answers);
    first->hold({cell});
    REQUIRE(eventually([this] { return is_held(); }));
    advance(5);
    backing_store.set_fault(test_support::store_fault::unavailable);
    time.seconds += 4;
    REQUIRE(first->request_permit(cell, role_order()));
    advance(20);
    CHECK(eventually([this] { return own_answers.denials == 1; }));
    CHECK(own_answers.permits == 0);
}

} // namespace
