#include "cicadahatch/configuration"
#include "test/support/sample_settings.hpp"

#include <doctest/doctest.h>

namespace {

using namespace cicadahatch;
using namespace configuration;
using settings::service;
using test_support::sample_model_service;

struct plan_fixture {
    snapshot_ptr current;

    void publish(const std::vector<service>& services) {
        const revision base = current ? current->at() : revision{};
        current = plan_change(current, services, base)->next;
        REQUIRE(current);
    }
};

service with_share(const std::string& name, double share) {
    service made = sample_model_service(name);
    made.urgent.share = share;
    return made;
}

} // namespace

TEST_CASE_FIXTURE(plan_fixture, "plan, first set, revision one with every service created in it") {
    publish({sample_model_service("a"), sample_model_service("b")});
    CHECK(current->at() == revision{1});
    CHECK(current->services().at(service_id{"a"})->created == revision{1});
}

TEST_CASE_FIXTURE(plan_fixture, "plan, same set again, nothing changes") {
    publish({sample_model_service("a")});
    const auto plan = plan_change(current, {sample_model_service("a")}, current->at());
    CHECK_FALSE(plan->next);
    CHECK(plan->differences.empty());
    CHECK(plan->conflicts.empty());
}

TEST_CASE_FIXTURE(plan_fixture, "plan, one field changed, difference names it") {
    publish({with_share("a", 1.0), sample_model_service("b")});
    const auto plan =
        plan_change(current, {with_share("a", 2.0), sample_model_service("b")}, current->at());
    REQUIRE(plan->differences.size() == 1);
    CHECK(plan->differences[0].service == service_id{"a"});
    REQUIRE(plan->differences[0].fields.size() == 1);
    CHECK(plan->differences[0].fields[0].find("share") != std::string::npos);
    CHECK(plan->next->services().at(service_id{"a"})->changed == revision{2});
    CHECK(plan->next->services().at(service_id{"b"})->changed == revision{1});
}

TEST_CASE_FIXTURE(plan_fixture, "plan, others changed the same service, conflict names the field") {
    publish({with_share("a", 1.0)});
    publish({with_share("a", 3.0)});
    const auto plan = plan_change(current, {with_share("a", 2.0)}, revision{1});
    CHECK_FALSE(plan->next);
    REQUIRE(plan->conflicts.size() == 1);
    CHECK(plan->conflicts[0].service == service_id{"a"});
    CHECK(plan->conflicts[0].changed == revision{2});
    CHECK(plan->conflicts[0].fields.at(0).find("share") != std::string::npos);
}

TEST_CASE_FIXTURE(plan_fixture, "plan, others changed what the set left as it was, both hold") {
    publish({with_share("a", 1.0), with_share("b", 1.0)});
    publish({with_share("a", 3.0), with_share("b", 1.0)});
    const auto plan =
        plan_change(current, {with_share("a", 1.0), with_share("b", 2.0)}, revision{1});
    REQUIRE(plan->next);
    CHECK(plan->next->find(service_id{"a"})->urgent.share == 3.0);
    CHECK(plan->next->find(service_id{"b"})->urgent.share == 2.0);
}

TEST_CASE_FIXTURE(plan_fixture, "plan, set puts an older content back on purpose, accepted") {
    publish({with_share("a", 1.0)});
    publish({with_share("a", 3.0)});
    CHECK(plan_change(current, {with_share("a", 1.0)}, revision{2})->next);
}

TEST_CASE_FIXTURE(plan_fixture, "plan, others made the same change, nothing is left to do") {
    publish({with_share("a", 1.0)});
    publish({with_share("a", 3.0)});
    const auto plan = plan_change(current, {with_share("a", 3.0)}, revision{1});
    CHECK_FALSE(plan->next);
    CHECK(plan->conflicts.empty());
}

TEST_CASE_FIXTURE(plan_fixture, "plan, others created a service meanwhile, it stays") {
    publish({sample_model_service("a")});
    publish({sample_model_service("a"), sample_model_service("theirs")});
    const auto plan = plan_change(current, {with_share("a", 2.0)}, revision{1});
    REQUIRE(plan->next);
    CHECK(plan->next->find(service_id{"theirs"}) != nullptr);
}

TEST_CASE_FIXTURE(plan_fixture, "plan, service missing from the set, erased with a tombstone") {
    publish({sample_model_service("a"), sample_model_service("b")});
    publish({sample_model_service("b")});
    CHECK(current->find(service_id{"a"}) == nullptr);
    CHECK(current->tombstones().at(service_id{"a"}) == revision{2});
}

TEST_CASE_FIXTURE(plan_fixture,
                  "plan, service that others erased, not created anew by a stale set") {
    publish({sample_model_service("a"), sample_model_service("b")});
    publish({sample_model_service("b")});
    const auto plan =
        plan_change(current, {sample_model_service("a"), sample_model_service("b")}, revision{1});
    REQUIRE(plan->conflicts.size() == 1);
    CHECK(plan->conflicts[0].others == difference_kind::erased);
}

TEST_CASE_FIXTURE(plan_fixture, "plan, service erased and wanted again on purpose, created anew") {
    publish({sample_model_service("a"), sample_model_service("b")});
    publish({sample_model_service("b")});
    publish({sample_model_service("a"), sample_model_service("b")});
    CHECK(current->services().at(service_id{"a"})->created == revision{3});
    CHECK(current->tombstones().empty());
}

TEST_CASE_FIXTURE(plan_fixture, "plan, base of the future or none, refused") {
    publish({sample_model_service("a")});
    CHECK(plan_change(current, {}, revision{9}).error() == errc::base_unknown);
    CHECK(plan_change(nullptr, {}, revision{1}).error() == errc::base_unknown);
}
