#include "test/claims/claimer.hpp"
#include "test/claims/late_write_store.hpp"

#include <doctest/doctest.h>

namespace {

using namespace cicadahatch;
using namespace std::chrono_literals;
using test_support::claimer;
using test_support::write_fate;

constexpr std::uint64_t schedules = 2'000;
constexpr std::size_t domains = 3;
constexpr std::size_t daemons = 6;
constexpr std::size_t keys = 4;
constexpr std::size_t requests = 24;

/// What a set of schedules has met, so that none of it goes untested unnoticed.
struct tally {
    int runs = 0;
    int repeats_completed = 0;
    int refusals = 0;
    int regranted = 0;
    int crashes = 0;
    int late_landings = 0;
    int swept = 0;
};

/// Daemons of several domains that get the same few bookings again and again, for hours, while the
/// store is cut off from domains, loses replies, and lets writes take effect late.
class schedule {
public:
    schedule(std::uint64_t seed, tally& met) : random_(seed), met_(met) {
        views_.assign(daemons, claims::make_shard_view(service_id{"booking"}, 0));
    }

    std::string run() {
        while (started_ < requests || !active_.empty()) {
            turn();
        }
        while (store_.has_late_write()) {
            store_.land();
        }
        count();
        return test_support::broken_rule(claimers_, backend_);
    }

private:
    struct row {
        claimer* moved;
        std::size_t daemon;
        time_point frozen_until;
    };

    void turn() {
        time_.advance(random_.chance(0.01) ? random_.jittered(50min) : random_.jittered(200ms));
        if (random_.chance(0.02)) {
            const std::size_t domain = random_.below(domains);
            cut_until_[domain] = time_.now() + random_.jittered(random_.chance(0.5) ? 5s : 20min);
        }
        if (store_.has_late_write() && random_.chance(0.1)) {
            store_.land();
            ++met_.late_landings;
        }
        if (random_.chance(0.02)) {
            sweep();
        }
        if (started_ < requests && random_.chance(0.3)) {
            start();
        }
        if (!active_.empty()) {
            move(random_.below(active_.size()));
        }
    }
    void start() {
        const std::size_t daemon = random_.below(daemons);
        const std::string key = "key" + std::to_string(random_.below(keys));
        claimers_.push_back(std::make_unique<claimer>(
            time_, test_support::make_claim(time_, key, std::to_string(started_)), views_[daemon]));
        active_.push_back({claimers_.back().get(), daemon, time_.now()});
        ++started_;
    }
    void sweep() {
        claims::shard_view& view = views_[random_.below(daemons)];
        met_.swept += claims::sweep_one(view, store_, time_.wall_now()) ? 1 : 0;
    }
    void move(std::size_t position) {
        row& picked = active_[position];
        if (picked.frozen_until > time_.now()) {
            return;
        }
        if (random_.chance(0.03)) {
            picked.frozen_until = time_.now() + random_.jittered(random_.chance(0.5) ? 30s : 3h);
            return;
        }
        if (random_.chance(0.01)) {
            picked.moved->crash();
            ++met_.crashes;
        } else {
            step(picked);
        }
        if (picked.moved->has_ended()) {
            views_[picked.daemon] = picked.moved->view();
            active_.erase(active_.begin() + static_cast<std::ptrdiff_t>(position));
        }
    }
    void step(row& picked) {
        store_.decide(fate_of(picked.daemon % domains));
        picked.moved->step(store_, backend_, !random_.chance(0.2));
        store_.decide(write_fate::applied);
    }
    write_fate fate_of(std::size_t domain) {
        if (cut_until_[domain] > time_.now()) {
            return write_fate::unavailable;
        }
        if (random_.chance(0.08)) {
            return write_fate::reply_lost;
        }
        return random_.chance(0.08) ? write_fate::late : write_fate::applied;
    }
    void count() {
        std::map<idempotency_key, int> granted;
        for (const auto& each : claimers_) {
            met_.repeats_completed += each->is_told_completed() ? 1 : 0;
            met_.refusals += each->is_told_not_run() ? 1 : 0;
            granted[each->wanted().key] += each->is_granted() ? 1 : 0;
        }
        for (const auto& [key, times] : granted) {
            met_.regranted += times > 1 ? 1 : 0;
        }
        met_.runs += static_cast<int>(backend_.attempts.size());
    }

    random_source random_;
    tally& met_;
    manual_clock time_;
    test_support::late_write_store store_{time_};
    test_support::backend_record backend_;
    std::vector<claims::shard_view> views_;
    std::vector<std::unique_ptr<claimer>> claimers_;
    std::vector<row> active_;
    std::map<std::size_t, time_point> cut_until_;
    std::size_t started_ = 0;
};

} // namespace

TEST_CASE("claims, seeded schedules with every fault, no key runs twice and not run is true") {
    tally met;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        schedule played{seed, met};
        const std::string broken = played.run();
        INFO("seed " << seed << ": " << broken);
        CHECK(broken.empty());
    }
    MESSAGE(schedules << " schedules: " << met.runs << " runs, " << met.repeats_completed
                      << " repeats told completed, " << met.refusals << " told not run, "
                      << met.regranted << " keys granted again after an abandonment, "
                      << met.crashes << " crashes, " << met.late_landings << " late writes, "
                      << met.swept << " segments swept");
    CHECK(met.runs > 0);
    CHECK(met.repeats_completed > 0);
    CHECK(met.refusals > 0);
    CHECK(met.regranted > 0);
    CHECK(met.crashes > 0);
    CHECK(met.late_landings > 0);
    CHECK(met.swept > 0);
}
