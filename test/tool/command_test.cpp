#include "programs/cicadahatch/command.hpp"
#include "test/support/paths.hpp"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

namespace {

using namespace cicadahatch;

struct command_fixture {
    std::ostringstream out;
    std::ostringstream err;
    const std::string source = test_support::source_dir();

    int run(const tool::argument_list& arguments) {
        out.str("");
        err.str("");
        return tool::run(arguments, out, err);
    }
};

} // namespace

TEST_CASE_FIXTURE(command_fixture, "run, no command or an unknown one, usage") {
    CHECK(run({}) == 2);
    CHECK(run({"fly"}) == 2);
    CHECK(run({"--output"}) == 2);
    CHECK(run({"status", "--output", "xml"}) == 2);
    CHECK(run({"status", "--no-such-option"}) == 2);
}

TEST_CASE_FIXTURE(command_fixture, "run, help of each command, printed") {
    CHECK(run({"--help"}) == 0);
    for (const char* name : {"check", "publish", "show", "status", "cells", "engines", "members",
                             "drain", "log-level", "report", "explain", "docs"}) {
        CHECK(run({name, "--help"}) == 0);
        CHECK(out.str().find(std::string{"cicadahatch "} + name) != std::string::npos);
    }
}

TEST_CASE_FIXTURE(command_fixture, "publish and show, nothing named, usage") {
    unsetenv("CICADAHATCH_PLATFORM");
    unsetenv("CICADAHATCH_ADMIN");
    CHECK(run({"publish"}) == 2);
    CHECK(run({"publish", source + "/docs"}) == 2);
    CHECK(run({"publish", source + "/examples"}) == 2);
    CHECK(run({"publish", source + "/examples", "--platform", "127.0.0.1:1", "--wait"}) == 2);
    CHECK(run({"publish", source + "/examples", "--platform", "127.0.0.1:1"}) == 4);
    CHECK(run({"show", "services", "--platform", "127.0.0.1:1"}) == 4);
    CHECK(run({"show", "services", "--platform", "platform"}) == 2);
    CHECK(run({"show", "revision"}) == 2);
    CHECK(run({"show", "music"}) == 2);
}

TEST_CASE_FIXTURE(command_fixture, "check, sound files, no fault") {
    CHECK(run({"check", source + "/examples", "--settings",
               source + "/examples/utility/daemon.json"}) == 0);
    CHECK(err.str().empty());
    CHECK(run({"--output", "json", "check", source + "/examples"}) == 0);
    CHECK(nlohmann::json::parse(out.str()).empty());
}

TEST_CASE_FIXTURE(command_fixture, "check, one service in two places, fault that names both") {
    const std::string file = source + "/examples/association/services/portal/portal.service.json";
    CHECK(run({"check", file, file}) == 1);
    CHECK(err.str().find("stands twice") != std::string::npos);
    CHECK(run({"--output=json", "check", file, source + "/examples/association/services"}) == 1);
    CHECK(nlohmann::json::parse(out.str()).at(0).at("field") == "name");
}

TEST_CASE_FIXTURE(command_fixture, "check, settings file as a service file, faults with lines") {
    const std::string file = source + "/examples/utility/daemon.json";
    CHECK(run({"check", file}) == 1);
    CHECK(err.str().find(file + ":") != std::string::npos);
    CHECK(run({"check", source + "/nowhere"}) == 1);
    CHECK(run({"check"}) == 2);
}

TEST_CASE_FIXTURE(command_fixture, "docs, committed page, equals the generated text") {
    CHECK(run({"docs", "configuration"}) == 0);
    std::ostringstream page;
    page << std::ifstream(source + "/docs/CONFIGURATION.md").rdbuf();
    CHECK_MESSAGE(page.str().find(out.str()) != std::string::npos,
                  "run: cicadahatch docs configuration --update docs/CONFIGURATION.md");
    CHECK(run({"docs", "poetry"}) == 2);
}
