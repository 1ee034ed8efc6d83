#include "src/gateway/constants.hpp"
#include "src/gateway/lost_configuration.hpp"
#include "src/store/generation.hpp"

#include <doctest/doctest.h>

namespace {

using namespace cicadahatch;

struct lost_configuration_fixture {
    gateway::lost_configuration recorded;

    static store::entry entry(std::uint32_t generation, const std::string& value) {
        store::entry made;
        made.value = value;
        made.modified = store::make_revision(store::generation{generation}, 5);
        return made;
    }
};

} // namespace

TEST_CASE_FIXTURE(lost_configuration_fixture,
                  "find, store shows the newest version, has lost none") {
    recorded.record_stored(entry(1, "a"), 1);
    recorded.record_stored(entry(1, "b"), 2);
    CHECK(recorded.find() == nullptr);
    CHECK(recorded.version() == 0);
}

TEST_CASE_FIXTURE(lost_configuration_fixture,
                  "find, store shows an earlier version, has lost the newest until it is back") {
    recorded.record_stored(entry(1, "b"), 2);
    recorded.record_stored(entry(2, "a"), 1);
    REQUIRE(recorded.find() != nullptr);
    CHECK(recorded.find()->value == "b");
    CHECK(recorded.version() == 2);
    recorded.record_stored(entry(2, "b"), 2);
    CHECK(recorded.find() == nullptr);
}

TEST_CASE_FIXTURE(lost_configuration_fixture,
                  "find, newer version received from another daemon, has been lost") {
    recorded.record_stored(entry(2, "a"), 1);
    recorded.record_received(entry(1, "c"), 3);
    recorded.record_received(entry(1, "b"), 2);
    REQUIRE(recorded.find() != nullptr);
    CHECK(recorded.find()->value == "c");
}

TEST_CASE_FIXTURE(lost_configuration_fixture,
                  "find, newest version read in the first generation, has been lost") {
    recorded.record_stored(entry(0, "b"), 2);
    recorded.record_stored(entry(1, "a"), 1);
    CHECK(recorded.version() == 2);
}

TEST_CASE_FIXTURE(lost_configuration_fixture, "find, lost version too large, is not passed on") {
    recorded.record_stored(entry(1, std::string(gateway::max_published_bytes + 1, 'x')), 2);
    recorded.record_stored(entry(2, "a"), 1);
    CHECK(recorded.find() == nullptr);
}
