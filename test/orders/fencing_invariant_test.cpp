#include "cicadahatch/orders"
#include "test/support/choices.hpp"
#include "test/support/memory_store.hpp"

#include <array>
#include <doctest/doctest.h>
#include <glog/logging.h>
#include <numeric>

// Explores every interleaving of the steps of two issuers of one cell with the advance of time. An
// issuer that is not stepped while time advances models a suspended process.

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace orders;

constexpr std::chrono::seconds time_step{7};

issuer_limits short_limits() {
    issuer_limits limits;
    limits.lease = 10s;
    limits.max_order_duration = 15s;
    limits.connection_idle_timeout = 8s;
    return limits;
}

/// An engine that records violations of the fencing rule.
struct engine {
    bool checks_fencing = false;
    fencing_number highest;
    std::string sender_of_highest;
    time_point busy_until{};
    bool is_violated = false;

    void receive(const std::string& sender, fencing_number number, time_point now) {
        if (checks_fencing && number < highest) {
            return;
        }
        const bool is_other_issuer = number != highest && !highest.empty();
        // Two issuers never use one number.
        is_violated = is_violated || (number == highest && sender != sender_of_highest);
        // Orders of two issuers must not overlap on an engine that ignores fencing numbers, and an
        // older issuer's order must never follow a newer one's.
        is_violated = is_violated || number < highest;
        is_violated = is_violated || (!checks_fencing && is_other_issuer && now < busy_until);
        sender_of_highest = number >= highest ? sender : sender_of_highest;
        highest = std::max(highest, number);
        busy_until = now + short_limits().max_order_duration;
    }
};

/// A daemon that acquires the lease and sends an order in the two steps of an order_sender.
struct daemon {
    std::string name;
    issuer issuing;
    std::optional<time_point> connected_at; ///< set after the clock check, before the write
    fencing_number number;

    daemon(store::key_value_store& store, const manual_clock& time, const std::string& chosen)
        : name(chosen), issuing(store, time, cell_id{"cell"}, daemon_id{name}, short_limits()) {}

    void step(engine& target, time_point now) {
        if (connected_at) {
            if (now - *connected_at < short_limits().connection_idle_timeout) {
                target.receive(name, number, now);
            }
            connected_at.reset();
            return;
        }
        const auto& lease = issuing.lease();
        if (lease && may_send(*lease, short_limits(), target.checks_fencing, now)) {
            connected_at = now;
            number = lease->number;
            return;
        }
        static_cast<void>(issuing.tick());
    }
};

struct outcome {
    std::size_t paths = 0;
    std::size_t handovers = 0; ///< paths in which an order of the second issuer was executed too
};

/// Remaining steps of the first issuer, the second issuer and the clock, and remaining restores of
/// the store.
using step_counts = std::array<int, 4>;
constexpr std::size_t clock_actor = 2;
constexpr std::size_t restore_actor = 3;

/// One path: the first issuer has held the lease for a while, then the steps run in some order. The
/// store comes back from a copy of before that lease.
struct run {
    manual_clock time;
    test_support::memory_store store{time};
    test_support::memory_store::store_copy copied = store.copy();
    engine target;
    daemon first{store, time, "a"};
    daemon second{store, time, "b"};
    fencing_number first_number;

    explicit run(bool checks_fencing) {
        target.checks_fencing = checks_fencing;
        REQUIRE_FALSE(first.issuing.tick());
        first_number = first.issuing.lease()->number;
        for (int turn = 0; turn < 8; ++turn) {
            time.advance(5s);
            REQUIRE_FALSE(first.issuing.tick());
        }
    }

    void advance_time() {
        time.advance(time_step);
        // The second issuer is never suspended while it holds the lease.
        if (second.issuing.lease()) {
            static_cast<void>(second.issuing.tick());
        }
    }

    void step(std::size_t actor) {
        if (actor == clock_actor) {
            advance_time();
        } else if (actor == restore_actor) {
            store.restore(copied);
        } else {
            (actor == 0 ? first : second).step(target, time.now());
        }
    }
};

std::size_t pick_actor(test_support::choices& path, step_counts& remaining) {
    std::array<std::size_t, 4> candidates{};
    std::size_t count = 0;
    for (std::size_t actor = 0; actor < remaining.size(); ++actor) {
        if (remaining[actor] > 0) {
            candidates[count++] = actor;
        }
    }
    const std::size_t actor = candidates[path.pick(count)];
    --remaining[actor];
    return actor;
}

outcome explore(bool checks_fencing, const step_counts& steps) {
    test_support::choices path;
    outcome result;
    do {
        run current{checks_fencing};
        step_counts remaining = steps;
        while (std::accumulate(remaining.begin(), remaining.end(), 0) > 0) {
            current.step(pick_actor(path, remaining));
        }
        CHECK_MESSAGE(!current.target.is_violated, "fencing rule violated; path " << path.str());
        result.handovers += current.target.highest > current.first_number ? 1 : 0;
        ++result.paths;
    } while (path.advance());
    return result;
}

struct quiet_fixture {
    quiet_fixture() { FLAGS_minloglevel = google::GLOG_FATAL; }
};

} // namespace

TEST_CASE_FIXTURE(quiet_fixture, "issuers, engine ignores fencing numbers, orders never overlap") {
    const outcome result = explore(false, {3, 4, 7, 0});
    MESSAGE(result.paths << " paths, " << result.handovers
                         << " with an order of the second issuer");
    CHECK(result.handovers > 0);
}

TEST_CASE_FIXTURE(quiet_fixture,
                  "issuers, engine checks fencing numbers, no stale order follows a newer one") {
    const outcome result = explore(true, {4, 4, 4, 0});
    MESSAGE(result.paths << " paths, " << result.handovers
                         << " with an order of the second issuer");
    CHECK(result.handovers > 0);
}

TEST_CASE_FIXTURE(quiet_fixture,
                  "issuers, store restored, engine ignores fencing numbers, orders never overlap") {
    const outcome result = explore(false, {2, 3, 7, 1});
    MESSAGE(result.paths << " paths, " << result.handovers
                         << " with an order of the second issuer");
    CHECK(result.handovers > 0);
}

TEST_CASE_FIXTURE(quiet_fixture, "issuers, store restored, engine checks fencing numbers, no stale "
                                 "order follows a newer one") {
    const outcome result = explore(true, {2, 4, 4, 1});
    MESSAGE(result.paths << " paths, " << result.handovers
                         << " with an order of the second issuer");
    CHECK(result.handovers > 0);
}
