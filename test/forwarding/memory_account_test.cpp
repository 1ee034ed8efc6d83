#include "src/core/manual_clock.hpp"
#include "src/core/random.hpp"
#include "src/forwarding/memory_account.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::forwarding;

struct memory_account_fixture {
    manual_clock time;
    memory_account account;

    memory_account_fixture() {
        time.advance(1h);
        account.limit = 1000;
    }
    reading_id add(std::size_t bytes) {
        const reading_id id = begin_reading(account, time.now());
        REQUIRE(resize_reading(account, id, bytes, time.now()).is_granted);
        return id;
    }
    memory_grant resize(reading_id id, std::size_t bytes) {
        return resize_reading(account, id, bytes, time.now());
    }
};

} // namespace

TEST_CASE_FIXTURE(memory_account_fixture, "resize_reading, enough room, evicts nobody") {
    add(400);
    const reading_id second = add(100);
    const memory_grant grant = resize(second, 600);
    CHECK(grant.is_granted);
    CHECK(grant.evicted.empty());
    CHECK(account.read == 1000);
}

TEST_CASE_FIXTURE(memory_account_fixture, "resize_reading, stalled ones, largest gives way first") {
    const reading_id small = add(200);
    const reading_id large = add(600);
    time.advance(250ms);
    const reading_id active = add(200);
    const memory_grant grant = resize(active, 500);
    CHECK(grant.is_granted);
    CHECK(grant.evicted == std::vector{large});
    CHECK(account.readings.contains(small));
    CHECK(account.read == 700);
}

TEST_CASE_FIXTURE(memory_account_fixture,
                  "resize_reading, all make progress, the youngest gives way") {
    const reading_id oldest = add(500);
    const reading_id younger = add(450);
    CHECK_FALSE(resize(younger, 600).is_granted);
    const memory_grant grant = resize(oldest, 560);
    CHECK_FALSE(grant.is_granted);
    CHECK(account.readings.contains(oldest));
}

TEST_CASE_FIXTURE(memory_account_fixture,
                  "resize_reading, large bodies fill the memory, a small request gets room") {
    add(500);
    const reading_id youngest = add(500);
    const reading_id ordinary = begin_reading(account, time.now());
    const memory_grant grant = resize(ordinary, 50);
    CHECK(grant.is_granted);
    CHECK(grant.evicted == std::vector{youngest});
}

TEST_CASE_FIXTURE(memory_account_fixture, "record_received, single bytes, are no progress") {
    const reading_id dripping = add(900);
    for (int byte = 0; byte < 10; ++byte) {
        time.advance(100ms);
        record_received(account, dripping, 1, time.now());
    }
    const reading_id active = begin_reading(account, time.now());
    CHECK(resize(active, 950).evicted == std::vector{dripping});
}

TEST_CASE_FIXTURE(memory_account_fixture, "hold, requests in progress, are never evicted") {
    REQUIRE(hold(account, 800, time.now()).is_granted);
    const reading_id late = begin_reading(account, time.now());
    time.advance(1s);
    CHECK_FALSE(resize(late, 300).is_granted);
    CHECK(account.held == 800);
    release(account, 800);
    CHECK(resize(late, 300).is_granted);
}

TEST_CASE_FIXTURE(memory_account_fixture, "evict_stalled, connections run out, oldest stall ends") {
    CHECK(evict_stalled(account, time.now()).empty());
    const reading_id first = add(10);
    time.advance(100ms);
    add(900);
    CHECK(evict_stalled(account, time.now()).empty());
    time.advance(200ms);
    CHECK(evict_stalled(account, time.now()) == std::vector{first});
}

TEST_CASE_FIXTURE(memory_account_fixture, "memory_account, random crowd, stays within its limit") {
    constexpr std::uint64_t seed = 20261206;
    CAPTURE(seed);
    random_source random{seed};
    std::vector<reading_id> known;
    for (int step = 0; step < 20'000; ++step) {
        time.advance(duration{5ms} * static_cast<std::int64_t>(random.below(4)));
        if (known.empty() || random.chance(0.2)) {
            known.push_back(begin_reading(account, time.now()));
        }
        const reading_id id = known[random.below(known.size())];
        if (random.chance(0.1)) {
            end_reading(account, id);
        } else {
            static_cast<void>(resize(id, random.below(800)));
        }
        std::size_t sum = 0;
        for (const reading& row : account.readings.rows()) {
            sum += row.bytes;
        }
        REQUIRE(sum == account.read);
        REQUIRE(account.read <= account.limit);
    }
}
