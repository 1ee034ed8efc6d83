#include "cicadahatch/configuration"
#include "test/support/memory_store.hpp"
#include "test/support/sample_settings.hpp"

#include <algorithm>
#include <doctest/doctest.h>

namespace {

using namespace cicadahatch;
using namespace configuration;
using test_support::sample_model_service;
using test_support::store_fault;

constexpr std::size_t teams = 3'400;

struct publish_fixture {
    manual_clock time;
    test_support::memory_store kept{time};
    int change = 0;

    result<publish_report> publish(const std::vector<settings::service>& services, revision base) {
        return configuration::publish(kept, {services, base, "change-" + std::to_string(++change)});
    }
};

std::vector<settings::service> services_of_all_teams() {
    std::vector<settings::service> services;
    for (std::size_t index = 0; index < teams; ++index) {
        services.push_back(sample_model_service("service-" + std::to_string(index)));
    }
    return services;
}

} // namespace

TEST_CASE_FIXTURE(publish_fixture,
                  "publish, nothing there, accepted as revision one and loads back") {
    const auto report = publish({sample_model_service("a")}, {});
    REQUIRE(report);
    CHECK(report->status == publish_status::accepted);
    CHECK(report->at == revision{1});
    CHECK(load(kept).value()->find(service_id{"a"}) != nullptr);
}

TEST_CASE_FIXTURE(publish_fixture, "load, nothing published, says so rather than being empty") {
    CHECK(load(kept).error() == errc::not_published);
}

TEST_CASE_FIXTURE(publish_fixture, "publish, last service erased, the empty set is in force") {
    REQUIRE(publish({sample_model_service("a")}, {}));
    const auto report = publish({}, revision{1});
    REQUIRE(report);
    CHECK(report->status == publish_status::accepted);
    CHECK(load(kept).value()->services().empty());
}

TEST_CASE_FIXTURE(publish_fixture, "publish, service that readers refuse, keeps what is in force") {
    REQUIRE(publish({sample_model_service("a")}, {}));
    settings::service without_backends = sample_model_service("b");
    without_backends.backends.clear();
    settings::service too_long = sample_model_service("c");
    too_long.urgent_callers.assign(3'000, std::string(100, 'x'));
    for (const settings::service& refused : {without_backends, too_long}) {
        const auto report = publish({sample_model_service("a"), refused}, revision{1});
        REQUIRE_FALSE(report);
        CHECK(report.error() == errc::malformed);
        CHECK(load(kept).value()->at() == revision{1});
    }
}

TEST_CASE_FIXTURE(publish_fixture, "publish, store down, surely not accepted") {
    kept.set_fault(store_fault::unavailable);
    CHECK(publish({sample_model_service("a")}, {}).error() == errc::not_accepted);
}

TEST_CASE_FIXTURE(publish_fixture, "publish, down from the head's lost reply on, outcome unknown") {
    kept.set_faults([](std::uint64_t call) {
        constexpr std::uint64_t head_call = 3;
        if (call < head_call) {
            return store_fault::none;
        }
        return call == head_call ? store_fault::lose_reply : store_fault::unavailable;
    });
    const publication wanted{{sample_model_service("a")}, {}, "same-id"};
    CHECK(configuration::publish(kept, wanted).error() == errc::outcome_unknown);
    kept.set_fault(store_fault::none);
    const auto repeated = configuration::publish(kept, wanted);
    REQUIRE(repeated);
    CHECK(repeated->status == publish_status::accepted);
    CHECK(repeated->at == revision{1});
}

TEST_CASE_FIXTURE(publish_fixture, "publish, every reply lost once in turn, accepted each time") {
    for (std::uint64_t lost = 1; lost <= 4; ++lost) {
        const std::uint64_t before = kept.calls();
        kept.set_faults([&](std::uint64_t call) {
            return call == before + lost ? store_fault::lose_reply : store_fault::none;
        });
        auto changed = sample_model_service("a");
        changed.max_output_tokens = static_cast<std::uint32_t>(100 + lost);
        const revision base{lost - 1};
        const auto report = publish({changed}, base);
        REQUIRE(report);
        CHECK(report->status == publish_status::accepted);
        CHECK(report->at == revision{lost});
    }
}

TEST_CASE_FIXTURE(publish_fixture,
                  "publish, 3400 services, values bounded, one change writes two") {
    auto services = services_of_all_teams();
    REQUIRE(publish(services, {})->status == publish_status::accepted);
    const auto listed = kept.list(key_prefix).value();
    for (const store::entry& entry : listed.entries) {
        CHECK(entry.value.size() < store::max_value_bytes / 2);
    }
    MESSAGE(listed.entries.size() << " keys");
    const std::uint64_t writes = kept.writes();
    services[17].max_output_tokens = 77;
    REQUIRE(publish(services, revision{1})->status == publish_status::accepted);
    const std::uint64_t erased_stale = 1;
    CHECK(kept.writes() - writes == 2 + erased_stale);
    const auto loaded = load(kept).value();
    CHECK(loaded->services().size() == teams);
    CHECK(loaded->find(service_id{"service-17"})->max_output_tokens == 77);
    CHECK(kept.list(key_prefix).value().entries.size() == listed.entries.size());
}

TEST_CASE_FIXTURE(publish_fixture, "publish, growing set, shards split and nothing is lost") {
    const auto services = services_of_all_teams();
    revision base;
    for (std::size_t count = 50; count <= 800; count *= 4) {
        const std::vector<settings::service> part{
            services.begin(), services.begin() + static_cast<std::ptrdiff_t>(count)};
        const auto report = publish(part, base);
        REQUIRE(report);
        base = report->at;
        CHECK(load(kept).value()->services().size() == count);
    }
}

TEST_CASE_FIXTURE(publish_fixture, "publish, shards of a publisher that died, erased by the next") {
    REQUIRE(publish({sample_model_service("a")}, {}));
    publish_steps died{
        {{sample_model_service("a"), sample_model_service("b")}, revision{1}, "died"}};
    while (died.next() != publish_action::swap_head) {
        REQUIRE_FALSE(died.step(kept));
    }
    REQUIRE(publish({sample_model_service("c")}, revision{1}));
    const auto listed = kept.list(key_prefix).value();
    CHECK(std::none_of(listed.entries.begin(), listed.entries.end(), [](const auto& entry) {
        return entry.key.find("died") != std::string::npos;
    }));
}
