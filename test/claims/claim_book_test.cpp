#include "cicadahatch/claims"
#include "test/support/memory_store.hpp"

#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>
#include <thread>

namespace {

using namespace cicadahatch;
using namespace std::chrono_literals;
using test_support::store_fault;

constexpr std::chrono::seconds kept = 1h;

struct claim_book_fixture {
    manual_clock time;
    test_support::memory_store store{time};
    std::unique_ptr<claims::claim_book> first = build("first");
    std::unique_ptr<claims::claim_book> second = build("second");

    std::unique_ptr<claims::claim_book> build(const std::string& name) {
        return claims::claim_book_builder(store, time).owner(daemon_id{name}).build();
    }
    [[nodiscard]] claims::claim_request request(const std::string& key,
                                                std::uint64_t digest = 7) const {
        return {service_id{"booking"}, idempotency_key{key}, claims::request_digest{digest},
                time.now() + 10s, kept};
    }
    /// Claims the key with the book; the claim must be granted.
    claims::permit claim(claims::claim_book& book, const std::string& key) const {
        auto decision = book.begin(request(key));
        REQUIRE(decision.has_value());
        REQUIRE(std::holds_alternative<claims::run_it>(*decision));
        return std::get<claims::run_it>(std::move(*decision)).allowed;
    }
    template <class Answer>
    [[nodiscard]] bool is_told(claims::claim_book& book, const claims::claim_request& asked) const {
        const auto decision = book.begin(asked);
        return decision && std::holds_alternative<Answer>(*decision);
    }
};

} // namespace

TEST_CASE_FIXTURE(claim_book_fixture, "claim_book, a repeat, is told what is known") {
    auto allowed = claim(*first, "a");
    CHECK(allowed.may_send(time));
    CHECK(is_told<claims::in_progress>(*second, request("a")));
    CHECK(is_told<claims::key_reused>(*second, request("a", 8)));
    CHECK(first->record(std::move(allowed), claims::make_outcome(201, "text/plain", "done")));
    const auto decision = second->begin(request("a"));
    REQUIRE(decision.has_value());
    const auto* told = std::get_if<claims::completed>(&*decision);
    REQUIRE(told != nullptr);
    CHECK(told->outcome == claims::make_outcome(201, "text/plain", "done"));
    CHECK(is_told<claims::key_reused>(*second, request("a", 8)));
}

TEST_CASE_FIXTURE(claim_book_fixture, "claim_book, owner dead, unknown after the deadline") {
    { auto dropped = claim(*first, "a"); }
    time.advance(10s + claims::max_clock_skew + 1s);
    CHECK(is_told<claims::unknown_outcome>(*second, request("a")));
    CHECK(is_told<claims::unknown_outcome>(*first, request("a")));
}

TEST_CASE_FIXTURE(claim_book_fixture, "claim_book, abandoned, a repeat runs and is the only one") {
    CHECK(first->abandon(claim(*first, "a")));
    auto allowed = claim(*second, "a");
    CHECK(is_told<claims::in_progress>(*first, request("a")));
    CHECK(second->record(std::move(allowed), claims::make_outcome(200, "", "")));
    CHECK(is_told<claims::completed>(*first, request("a")));
}

TEST_CASE_FIXTURE(claim_book_fixture, "claim_book, large outcome, only its digest is kept") {
    const std::string body(claims::max_kept_body_bytes + 1, 'x');
    CHECK(first->record(claim(*first, "a"), claims::make_outcome(200, "text/plain", body)));
    const auto decision = second->begin(request("a"));
    REQUIRE(decision.has_value());
    const claims::claim_outcome told = std::get<claims::completed>(*decision).outcome;
    CHECK(!told.is_body_kept);
    CHECK(told.body.empty());
    CHECK(told.body_bytes == body.size());
    CHECK(told.body_digest == stable_hash(body));
}

TEST_CASE_FIXTURE(claim_book_fixture, "claim_book, store away, refused and nothing stands") {
    store.set_fault(store_fault::unavailable);
    const auto refused = first->begin(request("a"));
    REQUIRE(!refused.has_value());
    CHECK(refused.error() == claims::errc::store_unreachable);
    CHECK(first->unsettled() == 0);
    store.set_fault(store_fault::none);
    auto allowed = claim(*second, "a");
}

TEST_CASE_FIXTURE(claim_book_fixture, "claim_book, reply lost, read back as its own") {
    std::uint64_t lost = 0;
    store.set_faults([&lost](std::uint64_t call) {
        const bool is_first_write = call == 2; // after the listing
        lost += is_first_write ? 1 : 0;
        return is_first_write ? store_fault::lose_reply : store_fault::none;
    });
    auto allowed = claim(*first, "a");
    CHECK(lost == 1);
    CHECK(is_told<claims::in_progress>(*second, request("a")));
}

TEST_CASE_FIXTURE(claim_book_fixture, "claim_book, claim not confirmed, given up when possible") {
    store.set_faults([](std::uint64_t call) {
        if (call < 2) {
            return store_fault::none;
        }
        return call == 2 ? store_fault::lose_reply : store_fault::unavailable;
    });
    const auto refused = first->begin(request("a"));
    REQUIRE(!refused.has_value());
    CHECK(refused.error() == claims::errc::claim_uncertain);
    CHECK(first->unsettled() == 1);
    store.set_fault(store_fault::none);
    CHECK(is_told<claims::in_progress>(*second, request("a")));
    first->tend(10);
    CHECK(first->unsettled() == 0);
    auto allowed = claim(*second, "a");
}

TEST_CASE_FIXTURE(claim_book_fixture, "claim_book, outcome not taken, recorded later") {
    auto allowed = claim(*first, "a");
    store.set_fault(store_fault::drop_request);
    CHECK(!first->record(std::move(allowed), claims::make_outcome(200, "", "ok")));
    store.set_fault(store_fault::none);
    first->tend(10);
    CHECK(is_told<claims::completed>(*second, request("a")));
}

TEST_CASE_FIXTURE(claim_book_fixture, "permit, deadline passed while paused, may not send") {
    auto allowed = claim(*first, "a");
    time.advance(10s);
    CHECK(!allowed.may_send(time));
    CHECK(
        first->begin({service_id{"booking"}, idempotency_key{"b"}, {}, time.now(), kept}).error() ==
        claims::errc::deadline_passed);
}

TEST_CASE_FIXTURE(claim_book_fixture, "claim_book, bad key or service, refused") {
    CHECK(first->begin(request("")).error() == claims::errc::invalid_key);
    CHECK(first->begin(request(std::string(129, 'k'))).error() == claims::errc::invalid_key);
    auto asked = request("a");
    asked.service = service_id{"a/b"};
    CHECK(first->begin(asked).error() == claims::errc::invalid_key);
}

TEST_CASE_FIXTURE(claim_book_fixture, "claim_book, many keys, found in sealed segments") {
    constexpr int keys = 3'000;
    for (int key = 0; key < keys; ++key) {
        auto& book = key % 2 == 0 ? *first : *second;
        const auto outcome = claims::make_outcome(200, "", std::to_string(key));
        REQUIRE(book.record(claim(book, std::to_string(key)), outcome));
    }
    const auto late = build("late");
    for (int key = 0; key < keys; key += 7) {
        const auto decision = late->begin(request(std::to_string(key)));
        REQUIRE(decision.has_value());
        REQUIRE(std::holds_alternative<claims::completed>(*decision));
        CHECK(std::get<claims::completed>(*decision).outcome.body == std::to_string(key));
    }
    const auto listed = store.list("claims/");
    REQUIRE(listed.has_value());
    CHECK(listed->entries.size() > claims::shard_count);
    for (const auto& entry : listed->entries) {
        CHECK(entry.value.size() < claims::max_value_bytes);
    }
}

TEST_CASE_FIXTURE(claim_book_fixture, "claim_book, kept time over, key refused until forgotten") {
    CHECK(first->record(claim(*first, "a"), claims::make_outcome(200, "", "ok")));
    time.advance(kept + 1min);
    // The old head is sealed by the next claim in the same shard.
    for (int key = 0; key < 200; ++key) {
        auto allowed = claim(*first, "filler" + std::to_string(key));
    }
    CHECK(is_told<claims::completed>(*second, request("a")));
    first->tend(1'000);
    CHECK(is_told<claims::completed>(*second, request("a")));
    time.advance(kept + 1min);
    first->tend(1'000);
    CHECK(is_told<claims::key_expired>(*second, request("a")));
    CHECK(is_told<claims::key_expired>(*first, request("a")));
    time.advance(kept * (claims::tombstone_kept_times + 1));
    for (int key = 0; key < 200; ++key) {
        auto allowed = claim(*first, "later" + std::to_string(key));
    }
    first->tend(1'000);
    first->tend(1'000);
    auto allowed = claim(*second, "a");
}

TEST_CASE_FIXTURE(claim_book_fixture, "claim_book, key with its time older than kept, never runs") {
    // Version 7, its first 48 bits are zero milliseconds since 1970.
    const std::string old_key = "00000000-0000-7000-8000-000000000001";
    CHECK(claims::key_time(idempotency_key{old_key}) == wall_time{});
    CHECK(!claims::key_time(idempotency_key{"00000000-0000-4000-8000-000000000001"}));
    CHECK(!claims::key_time(idempotency_key{"00000000-0000-7000-8000-00000000000g"}));
    time.advance(kept);
    CHECK(is_told<claims::key_expired>(*first, request(old_key)));
    CHECK(store.calls() == 0);
}

TEST_CASE_FIXTURE(claim_book_fixture, "claim_book, threads of two daemons, each key granted once") {
    constexpr int threads = 8;
    constexpr int keys = 60;
    std::atomic<int> granted{0};
    std::vector<std::thread> running;
    running.reserve(threads);
    for (int thread = 0; thread < threads; ++thread) {
        running.emplace_back([&, thread] {
            auto& book = thread % 2 == 0 ? *first : *second;
            for (int key = 0; key < keys; ++key) {
                auto decision = book.begin(request("k" + std::to_string(key)));
                const bool is_granted =
                    decision && std::holds_alternative<claims::run_it>(*decision);
                granted += is_granted ? 1 : 0;
            }
        });
    }
    for (std::thread& each : running) {
        each.join();
    }
    CHECK(granted == keys);
}
