#include "cicadahatch/configuration"
#include "test/support/choices.hpp"
#include "test/support/late_store.hpp"
#include "test/support/memory_store.hpp"
#include "test/support/sample_settings.hpp"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>

// Every interleaving of two publications' steps, with every fault of their writes, is walked.

namespace {

using namespace cicadahatch;
using configuration::publish_status;
using configuration::publish_steps;
using settings::service;
using test_support::choices;
using test_support::write_fault;

constexpr std::array faults = {write_fault::none, write_fault::lost, write_fault::delayed,
                               write_fault::dropped, write_fault::refused};

/// Which paths are walked.
struct breadth {
    int faults = 0;              ///< most faults on a path
    std::size_t fault_kinds = 1; ///< the first of the faults
    bool gives_up = true;        ///< whether an operator may stop after any failure
};

service with_limit(const std::string& name, std::uint32_t tokens) {
    service made = test_support::sample_model_service(name);
    made.max_output_tokens = tokens;
    return made;
}

std::vector<service> first_set() {
    return {with_limit("a", 100)};
}

/// What the store holds once the first set is in force.
const std::vector<store::entry>& first_entries() {
    static const std::vector<store::entry> entries = [] {
        const manual_clock time;
        test_support::memory_store memory{time};
        REQUIRE(configuration::publish(memory, {first_set(), {}, "first"}));
        return memory.list("")->entries;
    }();
    return entries;
}

/// Two operators who publish at once.
struct race {
    manual_clock time;
    test_support::memory_store memory{time};
    test_support::late_store kept{memory};
    std::vector<publish_steps> publishers;
    choices& path;
    breadth walked;
    int faults_left;
    revision highest{1};
    configuration::snapshot_ptr in_force;

    race(choices& chosen, const breadth& wide, const std::vector<std::vector<service>>& wanted)
        : path(chosen), walked(wide), faults_left(wide.faults) {
        for (const store::entry& kept_entry : first_entries()) {
            REQUIRE(memory.swap(kept_entry.key, {}, kept_entry.value, {})->is_swapped);
        }
        for (std::size_t index = 0; index < wanted.size(); ++index) {
            const std::string id = "change-" + std::to_string(index);
            publishers.emplace_back(configuration::publication{wanted[index], revision{1}, id});
        }
    }

    [[nodiscard]] configuration::internal::head head() {
        const auto held = memory.get(configuration::head_key).value();
        return configuration::internal::decode_head(held->value).value();
    }

    /// The head never goes back and never names a shard that isn't there.
    void check_head() {
        const auto read = head();
        CHECK_MESSAGE(read.at >= highest, "reverted; path " << path.str());
        highest = read.at;
        for (const std::string& key : read.shards) {
            CHECK_MESSAGE(memory.get(key).value().has_value(),
                          "the head names a missing shard; path " << path.str());
        }
    }

    void step(publish_steps& publisher) {
        const bool is_write = publisher.next() != configuration::publish_action::read_all &&
                              publisher.next() != configuration::publish_action::erase_stale;
        // The publishers are alike, so faults of the first cover those of the second.
        if (is_write && faults_left > 0 && &publisher == &publishers.front()) {
            const write_fault met = faults[path.pick(walked.fault_kinds)];
            faults_left -= met == write_fault::none ? 0 : 1;
            kept.set_next(met);
        }
        // After an error that can't be waited out the operator gives up, or not.
        const bool failed = static_cast<bool>(publisher.step(kept));
        if (failed && walked.gives_up && path.pick(2) == 1) {
            publisher.give_up();
        }
    }

    /// One step of a publisher, or the arrival of a delayed write. \returns whether there was one
    bool advance() {
        std::vector<publish_steps*> running;
        for (publish_steps& publisher : publishers) {
            if (!publisher.is_done()) {
                running.push_back(&publisher);
            }
        }
        const std::size_t ways = running.size() + (kept.delayed() > 0 ? 1 : 0);
        if (ways == 0) {
            return false;
        }
        const std::size_t way = path.pick(ways);
        if (way < running.size()) {
            step(*running[way]);
        } else {
            kept.deliver();
        }
        return true;
    }

    void run() {
        while (advance()) {
            check_head();
        }
    }

    [[nodiscard]] bool is_in_store(std::size_t index) {
        const std::string id = "change-" + std::to_string(index);
        return configuration::internal::find_change(head(), id).has_value();
    }

    [[nodiscard]] const service* find(const std::string& name) {
        in_force = configuration::load(memory).value();
        return in_force->find(service_id{name});
    }

    /// What a publisher says must be so.
    void check_report(std::size_t index) {
        const auto& outcome = publishers[index].outcome();
        const bool is_stored = is_in_store(index);
        if (outcome) {
            CHECK_MESSAGE((outcome->status == publish_status::accepted) == is_stored,
                          "report of " << index << " is untrue; path " << path.str());
            return;
        }
        const bool is_true = outcome.error() == configuration::errc::outcome_unknown ||
                             (outcome.error() == configuration::errc::not_accepted && !is_stored);
        CHECK_MESSAGE(is_true, "error of " << index << " is untrue; path " << path.str());
    }

    [[nodiscard]] std::uint32_t limit_of(const std::string& name) {
        return find(name)->max_output_tokens;
    }
};

} // namespace

TEST_CASE("publish, two change one service, one is in force and no report lies") {
    choices path;
    std::size_t paths = 0;
    do {
        race run{path, {1, 4, true}, {{with_limit("a", 201)}, {with_limit("a", 202)}}};
        run.run();
        run.check_report(0);
        run.check_report(1);
        CHECK_MESSAGE(!(run.is_in_store(0) && run.is_in_store(1)),
                      "one overwrote the other; path " << path.str());
        const std::uint32_t wanted = run.is_in_store(0) ? 201 : run.is_in_store(1) ? 202 : 100;
        CHECK(run.limit_of("a") == wanted);
        ++paths;
    } while (path.advance());
    MESSAGE(paths << " paths");
    CHECK(paths > 500);
}

TEST_CASE("publish, one changes and one creates a service, both are in force") {
    choices path;
    std::size_t paths = 0;
    do {
        race run{path,
                 {1, 2, false},
                 {{with_limit("a", 201)}, {with_limit("a", 100), with_limit("b", 202)}}};
        run.run();
        run.check_report(0);
        run.check_report(1);
        CHECK(run.is_in_store(0));
        CHECK(run.is_in_store(1));
        CHECK(run.limit_of("a") == (run.is_in_store(0) ? 201 : 100));
        CHECK((run.find("b") != nullptr) == run.is_in_store(1));
        ++paths;
    } while (path.advance());
    MESSAGE(paths << " paths");
    CHECK(paths > 500);
}

TEST_CASE("publish, one deletes what the other changes, never both") {
    choices path;
    do {
        race run{path, {}, {{}, {with_limit("a", 202)}}};
        run.run();
        run.check_report(0);
        run.check_report(1);
        CHECK_FALSE((run.is_in_store(0) && run.is_in_store(1)));
        CHECK((run.find("a") == nullptr) == run.is_in_store(0));
    } while (path.advance());
}

TEST_CASE("publish, three faults on a lone publisher, no report lies") {
    choices path;
    std::size_t paths = 0;
    do {
        race run{path, {3, faults.size(), true}, {{with_limit("a", 201)}}};
        run.run();
        run.check_report(0);
        ++paths;
    } while (path.advance());
    CHECK(paths > 100);
}
