#include "cicadahatch/core"
#include "src/gateway/order_desk.hpp"
#include "test/support/memory_store.hpp"

#include <atomic>
#include <doctest/doctest.h>
#include <functional>
#include <thread>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;

/// A clock that is set by the test while the desk's thread reads it.
struct shared_clock final : clock {
    std::atomic<std::int64_t> seconds{1000};

    [[nodiscard]] time_point now() const override {
        return time_point{std::chrono::seconds{seconds.load()}};
    }
    [[nodiscard]] wall_time wall_now() const override { return wall_time{}; }
};

/// A store that the test keeps while a desk uses it.
struct borrowed_store final : store::key_value_store {
    store::key_value_store& kept;

    explicit borrowed_store(store::key_value_store& lender) : kept(lender) {}
    result<std::optional<store::entry>> get(const std::string& key) override {
        return kept.get(key);
    }
    result<store::listing> list(const std::string& prefix) override { return kept.list(prefix); }
    result<store::swap_outcome> swap(const std::string& key, revision expected,
                                     const std::string& value, store::lease_id lease) override {
        return kept.swap(key, expected, value, lease);
    }
    result<store::swap_outcome> erase(const std::string& key, revision expected) override {
        return kept.erase(key, expected);
    }
    result<store::lease_id> grant_lease(std::chrono::seconds time_to_live) override {
        return kept.grant_lease(time_to_live);
    }
    result<std::chrono::seconds> keep_alive(store::lease_id lease) override {
        return kept.keep_alive(lease);
    }
    result<void> revoke_lease(store::lease_id lease) override { return kept.revoke_lease(lease); }
    result<store::change_batch> watch(const std::string& prefix, revision from,
                                      std::chrono::milliseconds wait) override {
        return kept.watch(prefix, from, wait);
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

    gateway::order_desk::permit_handler handler() {
        return [this](const cell_id&, const std::optional<orders::order_permit>& permit) {
            if (permit) {
                number = permit->number.value();
                not_after = permit->not_after.time_since_epoch().count();
            }
            ++(permit ? permits : denials);
        };
    }
};

struct desk_fixture {
    shared_clock time;
    test_support::memory_store kept{time};
    const cell_id cell{"model"};
    const std::string key = "cicadahatch/orders/model";
    answers told;

    std::unique_ptr<gateway::order_desk> desk(const std::string& name, answers& to) {
        orders::issuer_limits limits;
        limits.lease = 3s;
        limits.margin = 1s;
        limits.max_order_duration = 1s;
        limits.connection_idle_timeout = 0s;
        return std::make_unique<gateway::order_desk>(std::make_unique<borrowed_store>(kept), time,
                                                     daemon_id{name}, limits, to.handler());
    }
    static orders::order role_order() {
        orders::order due;
        due.engine = backend_id{"p-1"};
        due.kind = orders::order_kind::set_role;
        due.checks_fencing = false;
        return due;
    }
    [[nodiscard]] bool is_held() { return kept.get(key).value().has_value(); }
    /// Lets time pass while the desk keeps its lease alive.
    void pass(int seconds) {
        for (int passed = 0; passed < seconds; ++passed) {
            const std::uint64_t calls = kept.calls();
            ++time.seconds;
            static_cast<void>(eventually([&] { return kept.calls() > calls; }));
        }
    }
};

TEST_CASE_FIXTURE(desk_fixture, "desk, cell held for long, permit comes at once") {
    const auto first = desk("a", told);
    first->hold({cell});
    REQUIRE(eventually([this] { return is_held(); }));
    pass(5);
    REQUIRE(first->ask(cell, role_order()));
    CHECK(eventually([this] { return told.permits == 1; }));
    // The permit ends before the lease does.
    const time_point limit{std::chrono::nanoseconds{told.not_after}};
    CHECK(limit <= time.now() + 2s);
    CHECK(told.denials == 0);
}

TEST_CASE_FIXTURE(desk_fixture,
                  "desk, lease just taken, an order waits until others can't arrive") {
    const auto first = desk("a", told);
    first->hold({cell});
    REQUIRE(eventually([this] { return is_held(); }));
    REQUIRE(first->ask(cell, role_order()));
    CHECK_FALSE(first->ask(cell, role_order()));
    pass(2);
    CHECK(told.permits == 0);
    pass(3);
    CHECK(eventually([this] { return told.permits == 1; }));
}

TEST_CASE_FIXTURE(desk_fixture, "desk, another daemon holds the cell, wish is denied at last") {
    answers told_other;
    const auto first = desk("a", told);
    first->hold({cell});
    REQUIRE(eventually([this] { return is_held(); }));
    const auto second = desk("b", told_other);
    second->hold({cell});
    REQUIRE(second->ask(cell, role_order()));
    pass(20);
    CHECK(eventually([&] { return told_other.denials == 1; }));
    CHECK(told_other.permits == 0);
}

TEST_CASE_FIXTURE(desk_fixture, "desk, cell no longer its own, lease is given up to the next") {
    answers told_other;
    const auto first = desk("a", told);
    first->hold({cell});
    REQUIRE(eventually([this] { return is_held(); }));
    pass(5);
    REQUIRE(first->ask(cell, role_order()));
    REQUIRE(eventually([this] { return told.permits == 1; }));
    first->hold({});
    REQUIRE(eventually([this] { return !is_held(); }));
    const auto second = desk("b", told_other);
    second->hold({cell});
    REQUIRE(second->ask(cell, role_order()));
    const time_point asked_at = time.now();
    pass(6);
    CHECK(eventually([&] { return told_other.permits == 1; }));
    // Orders of two daemons are a lease apart, and their numbers grow.
    CHECK(time.now() - asked_at >= 3s);
    CHECK(told_other.number > told.number);
}

TEST_CASE_FIXTURE(desk_fixture, "desk, store away, no permit beyond the lease") {
    const auto first = desk("a", told);
    first->hold({cell});
    REQUIRE(eventually([this] { return is_held(); }));
    pass(5);
    kept.set_fault(test_support::store_fault::unavailable);
    time.seconds += 4;
    REQUIRE(first->ask(cell, role_order()));
    pass(20);
    CHECK(eventually([this] { return told.denials == 1; }));
    CHECK(told.permits == 0);
}

} // namespace
