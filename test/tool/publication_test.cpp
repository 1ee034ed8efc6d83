#include "cicadahatch/core"
#include "programs/cicadahatch/publication.hpp"
#include "test/support/memory_store.hpp"
#include "test/support/sample_settings.hpp"

#include <doctest/doctest.h>

#include <sstream>

namespace {

using namespace cicadahatch;
using test_support::sample_model_service;
using test_support::sample_plain_service;
using test_support::store_fault;
using tool::exit_code;

struct publication_fixture {
    manual_clock time;
    test_support::memory_store store{time};
    std::ostringstream out;
    std::ostringstream err;
    std::uint64_t changes = 0;

    tool::publish_outcome publish(tool::publish_wish wish) {
        out.str("");
        err.str("");
        if (wish.change_id.empty()) {
            wish.change_id = "change-" + std::to_string(++changes);
        }
        return tool::publish_services(store, wish, {out, err, tool::output_format::table});
    }
    [[nodiscard]] bool printed(const std::string& text) const {
        return out.str().find(text) != std::string::npos;
    }
};

tool::publish_wish wish_for(settings::service described) {
    tool::publish_wish wish;
    wish.services.push_back(std::move(described));
    return wish;
}

} // namespace

TEST_CASE_FIXTURE(publication_fixture, "publish, one changed field, its path is shown") {
    CHECK(publish(wish_for(sample_model_service())).code == exit_code::ok);
    CHECK(printed("created pattern"));
    auto changed = sample_model_service();
    changed.urgent.floor = 0.5;
    CHECK(publish(wish_for(changed)).code == exit_code::ok);
    CHECK(printed("changed pattern: urgent.floor\n"));
    CHECK(publish(wish_for(changed)).code == exit_code::ok);
    CHECK(printed("unchanged"));
}

TEST_CASE_FIXTURE(publication_fixture, "publish, other team's services, stay unless erased") {
    const revision first = publish(wish_for(sample_model_service())).at;
    CHECK(publish(wish_for(sample_plain_service())).at > first);
    CHECK_FALSE(printed("pattern"));
    tool::publish_wish erasing;
    erasing.erased = {service_id{"pattern"}};
    CHECK(publish(erasing).code == exit_code::ok);
    CHECK(printed("erased pattern"));
    auto whole = wish_for(sample_model_service("third"));
    whole.is_whole = true;
    CHECK(publish(whole).code == exit_code::ok);
    CHECK(printed("erased portal"));
}

TEST_CASE_FIXTURE(publication_fixture, "publish, files made from an old revision, conflict") {
    const revision base = publish(wish_for(sample_model_service())).at;
    auto theirs = sample_model_service();
    theirs.urgent.floor = 0.5;
    CHECK(publish(wish_for(theirs)).code == exit_code::ok);
    auto ours = wish_for(sample_model_service());
    ours.services[0].urgent.floor = 0.25;
    ours.base = base;
    ours.is_dry_run = true;
    CHECK(publish(ours).code == exit_code::conflict);
    ours.is_dry_run = false;
    CHECK(publish(ours).code == exit_code::conflict);
    CHECK(printed("conflict pattern, changed by others in revision"));
    CHECK(printed("urgent.floor"));
}

TEST_CASE_FIXTURE(publication_fixture, "publish, dry run, writes nothing") {
    auto wish = wish_for(sample_model_service());
    wish.is_dry_run = true;
    CHECK(publish(wish).code == exit_code::ok);
    CHECK(printed("would be accepted"));
    CHECK(store.writes() == 0);
}

TEST_CASE_FIXTURE(publication_fixture, "publish, platform down, unreachable") {
    store.set_fault(store_fault::unavailable);
    CHECK(publish(wish_for(sample_model_service())).code == exit_code::unreachable);
    CHECK_FALSE(err.str().empty());
}

TEST_CASE_FIXTURE(publication_fixture, "publish, replies lost, unknown, and the repeat is told") {
    auto wish = wish_for(sample_model_service());
    wish.change_id = "the-change";
    // The first two calls read; every later reply is lost.
    store.set_faults(
        [](std::uint64_t call) { return call <= 2 ? store_fault::none : store_fault::lose_reply; });
    const auto first = publish(wish);
    store.set_fault(store_fault::none);
    const auto second = publish(wish);
    CHECK(second.code == exit_code::ok);
    CHECK(second.at == revision{1});
    CHECK((first.code == exit_code::unreachable || first.at == second.at));
}
