#include "cicadahatch/orders"
#include "test/support/choices.hpp"
#include "test/support/memory_store.hpp"

#include <array>
#include <doctest/doctest.h>
#include <glog/logging.h>

// Two issuers of one cell; every interleaving of their steps with the passing of time is walked. A
// frozen issuer is one that is not stepped while time passes.

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

/// An engine that is told by whom and when, and notes what breaks the rule.
struct engine {
    bool checks_fencing = false;
    fencing_number highest;
    time_point busy_until{};
    bool is_broken = false;

    void receive(fencing_number number, time_point now) {
        if (checks_fencing && number < highest) {
            return;
        }
        const bool is_other = number != highest && !highest.empty();
        // Orders of two issuers must not run at once where numbers are ignored, and never an older
        // issuer's after a newer one's.
        is_broken = is_broken || number < highest;
        is_broken = is_broken || (!checks_fencing && is_other && now < busy_until);
        highest = std::max(highest, number);
        busy_until = now + short_limits().max_order_duration;
    }
};

/// A daemon that takes the cell and sends an order in the two steps of an order_sender.
struct daemon {
    issuer issuing;
    std::optional<time_point> connected_at; ///< set: looked at the clock, has not written yet
    fencing_number number;

    daemon(store::key_value_store& kept, const manual_clock& time, const std::string& name)
        : issuing(kept, time, cell_id{"cell"}, daemon_id{name}, short_limits()) {}

    void step(engine& ordered, time_point now) {
        if (connected_at) {
            if (now - *connected_at < short_limits().connection_idle_timeout) {
                ordered.receive(number, now);
            }
            connected_at.reset();
            return;
        }
        const auto& held = issuing.lease();
        if (held && may_send(*held, short_limits(), ordered.checks_fencing, now)) {
            connected_at = now;
            number = held->number;
            return;
        }
        static_cast<void>(issuing.tick());
    }
};

struct outcome {
    std::size_t paths = 0;
    std::size_t handed_over = 0; ///< paths in which the second issuer's order was carried out too
};

/// Steps left for the first issuer, the second, and the clock.
using step_counts = std::array<int, 3>;
constexpr std::size_t clock_kind = 2;

/// One path: the first issuer has held the cell for long, then the steps come in some order.
struct run {
    manual_clock time;
    test_support::memory_store kept{time};
    engine ordered;
    daemon first{kept, time, "a"};
    daemon second{kept, time, "b"};
    fencing_number first_number;

    explicit run(bool checks_fencing) {
        ordered.checks_fencing = checks_fencing;
        REQUIRE_FALSE(first.issuing.tick());
        first_number = first.issuing.lease()->number;
        for (int turn = 0; turn < 8; ++turn) {
            time.advance(5s);
            REQUIRE_FALSE(first.issuing.tick());
        }
    }

    void advance_time() {
        time.advance(time_step);
        // The second is never frozen while it holds the cell.
        if (second.issuing.lease()) {
            static_cast<void>(second.issuing.tick());
        }
    }

    void step(std::size_t kind) {
        if (kind == clock_kind) {
            advance_time();
        } else {
            (kind == 0 ? first : second).step(ordered, time.now());
        }
    }
};

std::size_t pick_kind(test_support::choices& path, step_counts& left) {
    std::array<std::size_t, 3> open{};
    std::size_t count = 0;
    for (std::size_t kind = 0; kind < left.size(); ++kind) {
        if (left[kind] > 0) {
            open[count++] = kind;
        }
    }
    const std::size_t kind = open[path.pick(count)];
    --left[kind];
    return kind;
}

outcome walk(bool checks_fencing, const step_counts& steps) {
    test_support::choices path;
    outcome seen;
    do {
        run walked{checks_fencing};
        step_counts left = steps;
        while (left[0] + left[1] + left[2] > 0) {
            walked.step(pick_kind(path, left));
        }
        CHECK_MESSAGE(!walked.ordered.is_broken, "two issuers acted at once; path " << path.str());
        seen.handed_over += walked.ordered.highest > walked.first_number ? 1 : 0;
        ++seen.paths;
    } while (path.advance());
    return seen;
}

struct quiet_fixture {
    quiet_fixture() { FLAGS_minloglevel = google::GLOG_FATAL; }
};

} // namespace

TEST_CASE_FIXTURE(quiet_fixture, "issuers, engine ignores numbers, never two at once") {
    const outcome seen = walk(false, {3, 4, 7});
    MESSAGE(seen.paths << " paths, " << seen.handed_over << " with a successor's order");
    CHECK(seen.handed_over > 0);
}

TEST_CASE_FIXTURE(quiet_fixture, "issuers, engine checks numbers, no old order after a new one") {
    const outcome seen = walk(true, {4, 4, 4});
    MESSAGE(seen.paths << " paths, " << seen.handed_over << " with a successor's order");
    CHECK(seen.handed_over > 0);
}
