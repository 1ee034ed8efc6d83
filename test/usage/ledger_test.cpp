#include "src/core/manual_clock.hpp"
#include "src/core/random.hpp"
#include "src/usage/ledger.hpp"

#include <deque>
#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::usage;

constexpr double slack = 120'000;
constexpr double stream_units = 14'500;

/// Sum of what was granted within the last window.
struct granted_units {
    std::deque<std::pair<time_point, double>> rows;
    double most = 0; ///< largest sum of any window so far

    void add(double units, time_point now) {
        rows.emplace_back(now, units);
        while (now - rows.front().first > 8s) {
            rows.pop_front();
        }
        double sum = 0;
        for (const auto& [at, row] : rows) {
            sum += row;
        }
        most = std::max(most, sum);
    }
};

struct ledger_fixture {
    manual_clock time;
    ledger book;
    team_id team{"t"};

    ledger_fixture() {
        time.advance(1h);
        book.slack = slack;
        book.may_lend = true;
    }
    static std::vector<routing::team> teams(double rate) {
        routing::team row;
        row.id = team_id{"t"};
        row.cap = {rate, rate, true, 200};
        return {row};
    }
    void open(double rate, double share = 1) {
        set_caps(book, teams(rate), time.now());
        set_share(book, share, time.now());
        time.advance(9s); // The buckets are full.
    }
    bool is_granted(double units) {
        return take(book, team, units, time.now()).result == decision::outcome::granted;
    }
    static double bound(double rate) { return (rate * 8 + rate) * 1.1 + slack; }
};

} // namespace

TEST_CASE_FIXTURE(ledger_fixture, "take, demand below the cap in clumps, everything is granted") {
    open(29'000);
    for (int second = 0; second < 60; ++second) {
        // Three streams at once every two seconds: 21,750 units a second.
        if (second % 2 == 0) {
            CHECK(is_granted(stream_units));
            CHECK(is_granted(stream_units));
            CHECK(is_granted(stream_units));
        }
        time.advance(1s);
    }
}

TEST_CASE_FIXTURE(ledger_fixture, "take, hot team, no window exceeds the cap") {
    for (const double rate : {29'000.0, 197'537.0}) {
        ledger_fixture hot;
        hot.open(rate);
        granted_units granted;
        for (int step = 0; step < 4000; ++step) {
            if (hot.is_granted(stream_units)) {
                granted.add(stream_units, hot.time.now());
            }
            hot.time.advance(10ms);
        }
        CHECK(granted.most <= bound(rate));
        CHECK(granted.most >= rate * 8);
    }
}

TEST_CASE_FIXTURE(ledger_fixture, "take, refused, room when the caller comes back") {
    open(29'000);
    while (is_granted(stream_units)) {
    }
    const decision refused = take(book, team, stream_units, time.now());
    REQUIRE(refused.result == decision::outcome::refused);
    CHECK(refused.retry_after > 0ms);
    time.advance(refused.retry_after);
    CHECK((is_granted(stream_units) || refused.retry_after == 4s));
}

TEST_CASE_FIXTURE(ledger_fixture, "take, refused callers, each is promised a later time") {
    open(197'537);
    while (is_granted(stream_units)) {
    }
    const duration first = take(book, team, stream_units, time.now()).retry_after;
    const duration second = take(book, team, stream_units, time.now()).retry_after;
    CHECK(second > first);
}

TEST_CASE_FIXTURE(ledger_fixture, "take, request larger than the whole cap, is never granted") {
    open(1'000);
    CHECK(take(book, team, 200'000, time.now()).result == decision::outcome::never);
}

TEST_CASE_FIXTURE(ledger_fixture, "take, small share of a small cap, lends a whole request") {
    open(29'000, 1.0 / 81);
    CHECK(is_granted(stream_units));
    CHECK_FALSE(is_granted(stream_units));
    ledger_fixture strict;
    strict.book.may_lend = false;
    strict.open(29'000, 1.0 / 81);
    CHECK_FALSE(strict.is_granted(stream_units));
    CHECK(strict.is_granted(200));
}

TEST_CASE_FIXTURE(ledger_fixture, "take, team without a cap, is granted") {
    open(29'000);
    CHECK(take(book, team_id{"other"}, 1e9, time.now()).result == decision::outcome::granted);
}

TEST_CASE_FIXTURE(ledger_fixture, "give_back, request that has not run, its units are free again") {
    open(29'000);
    while (is_granted(stream_units)) {
    }
    give_back(book, team, stream_units, time.now());
    CHECK(is_granted(stream_units));
}

TEST_CASE_FIXTURE(ledger_fixture, "set_caps, lower cap, holds from the next request on") {
    open(197'537);
    set_caps(book, teams(40'000), time.now());
    granted_units granted;
    for (int step = 0; step < 2000; ++step) {
        if (is_granted(stream_units)) {
            granted.add(stream_units, time.now());
        }
        time.advance(10ms);
    }
    CHECK(granted.most <= bound(40'000));
}

TEST_CASE_FIXTURE(ledger_fixture, "set_share, home ends twice within a window, bound holds") {
    const double rate = 29'000;
    open(rate);
    granted_units granted;
    const auto saturate = [&](ledger& used, duration length) {
        for (duration passed{0}; passed < length; passed += 10ms) {
            if (take(used, team, stream_units, time.now()).result == decision::outcome::granted) {
                granted.add(stream_units, time.now());
            }
            time.advance(10ms);
        }
    };
    saturate(book, 12s);
    ledger second;
    second.slack = slack;
    second.may_lend = true;
    set_caps(second, teams(rate), time.now());
    set_share(second, 1, time.now());
    saturate(second, 2s);
    ledger third;
    third.slack = slack;
    third.may_lend = true;
    set_caps(third, teams(rate), time.now());
    set_share(third, 1, time.now());
    saturate(third, 8s);
    CHECK(granted.most <= bound(rate));
}

TEST_CASE_FIXTURE(ledger_fixture, "set_share, domain partitioned and joined again, bound holds") {
    const double rate = 197'537;
    open(rate);
    granted_units granted;
    ledger other;
    other.slack = slack;
    other.may_lend = true;
    for (int step = 0; step < 3000; ++step) {
        const time_point now = time.now();
        if (step == 1000) { // The cut domain has a home of its own at once.
            set_caps(other, teams(rate), now);
            set_share(other, 1.0 / 3, now);
        } else if (step == 1250) { // The main home notices the silence after 2.5 s.
            set_share(book, 2.0 / 3, now);
        } else if (step == 1600) {
            set_share(book, 1, now);
        }
        const bool is_cut = step >= 1000 && step < 1600;
        for (ledger* used : {&book, is_cut ? &other : &book}) {
            if (take(*used, team, stream_units, now).result == decision::outcome::granted) {
                granted.add(stream_units, now);
            }
        }
        time.advance(10ms);
    }
    CHECK(granted.most <= bound(rate));
}

TEST_CASE("share_of, some daemons of each domain heard, the share is whole") {
    const std::map<domain_id, std::size_t> registered{
        {domain_id{"a"}, 30}, {domain_id{"b"}, 24}, {domain_id{"c"}, 27}};
    CHECK(share_of(registered, {domain_id{"a"}, domain_id{"b"}, domain_id{"c"}}) == 1);
    CHECK(share_of(registered, {domain_id{"c"}}) == doctest::Approx(27.0 / 81));
    CHECK(share_of(registered, {}) == 0);
    CHECK(share_of({}, {domain_id{"a"}}) == 0);
}
