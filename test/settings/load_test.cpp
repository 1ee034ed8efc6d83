#include "cicadahatch/settings"
#include "test/support/paths.hpp"

#include <doctest/doctest.h>

#include <ostream>
#include <string>

namespace {

using namespace cicadahatch;

const std::string examples = test_support::source_dir() + "/examples";

} // namespace

TEST_CASE("find_service_files, the examples, four sound services") {
    const auto found = settings::find_service_files(examples);
    REQUIRE(found.is_valid());
    CHECK(found.value.size() == 4);
    for (const std::string& file : found.value) {
        const auto loaded = settings::load_service(file);
        for (const auto& fault : loaded.errors) {
            MESSAGE(settings::to_string(fault));
        }
        CHECK(loaded.is_valid());
    }
}

TEST_CASE("load_daemon_settings, the examples, sound") {
    for (const char* deployment : {"/association", "/utility"}) {
        const auto loaded = settings::load_daemon_settings(examples + deployment + "/daemon.json");
        for (const auto& fault : loaded.errors) {
            MESSAGE(settings::to_string(fault));
        }
        CHECK(loaded.is_valid());
    }
}

TEST_CASE("load, file or directory that is not there, unreadable") {
    const std::string nowhere = examples + "/nowhere";
    REQUIRE(settings::load_service(nowhere).errors.size() == 1);
    CHECK(settings::load_service(nowhere).errors[0].code == settings::errc::unreadable);
    CHECK(settings::load_daemon_settings(nowhere).errors[0].code == settings::errc::unreadable);
    CHECK(settings::find_service_files(nowhere).errors[0].code == settings::errc::unreadable);
    CHECK(settings::load_service(examples).errors[0].code == settings::errc::unreadable);
}
