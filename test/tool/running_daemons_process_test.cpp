#include "programs/cicadahatch/command.hpp"
#include "test/support/cluster.hpp"
#include "test/support/http_calls.hpp"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace {

using namespace cicadahatch;
using namespace cicadahatch::test_support;
using nlohmann::json;
using tool::exit_code;

/// Two daemons, one plain service with one server, and a service file of it.
struct running_fixture {
    cluster running;
    std::string file = std::filesystem::path{running.log_path("any")}.parent_path().string() +
                       "/portal.service.json";
    std::ostringstream out;
    std::ostringstream err;

    running_fixture() {
        running.start_backend("portal", "s1", backend_role::plain, "a");
        running.publish(plain_service("portal"));
        running.start_daemon("entry-1", "a");
        running.start_daemon("entry-2", "a");
        REQUIRE(running.wait_until_ready());
    }

    void write_file(int deadline_ms) {
        const json rule{{"deadline_ms", deadline_ms}};
        const json backend{{"id", "s1"},
                           {"address", to_string(running.backend("s1").place())},
                           {"role", "plain"},
                           {"domain", "a"}};
        std::ofstream{file} << json{{"name", "portal"},   {"team", "team-portal"},
                                    {"kind", "plain"},    {"urgent", rule},
                                    {"deferrable", rule}, {"backends", {backend}}};
    }

    exit_code run(tool::argument_list arguments) {
        out.str("");
        err.str("");
        arguments.insert(arguments.end(), {"--output", "json", "--admin",
                                           to_string(running.admin("entry-1")) + "," +
                                               to_string(running.admin("entry-2"))});
        return static_cast<exit_code>(tool::run(arguments, out, err));
    }
    exit_code publish(tool::argument_list more) {
        more.insert(more.begin(),
                    {"publish", file, "--platform", to_string(running.platform().place())});
        return run(std::move(more));
    }
    [[nodiscard]] json printed() const { return json::parse(out.str(), nullptr, false); }
    std::vector<std::uint64_t> revisions() {
        CHECK(run({"show", "revision", "--platform", to_string(running.platform().place())}) ==
              exit_code::ok);
        std::vector<std::uint64_t> found;
        for (const json& record : printed()) {
            found.push_back(record["revision"].get<std::uint64_t>());
        }
        return found;
    }
    /// \returns the value of a field of the backend server at each daemon
    std::vector<json> at_daemons(const std::string& command, const std::string& field) {
        CHECK(run({command}) == exit_code::ok);
        std::vector<json> found;
        for (const json& record : printed()) {
            found.push_back(record[field]);
        }
        return found;
    }
};

} // namespace

TEST_CASE_FIXTURE(running_fixture, "publish, waiting, returns once in force at every daemon") {
    const std::uint64_t before = revisions().front();
    write_file(7000);
    CHECK(publish({"--wait"}) == exit_code::ok);
    const auto after = revisions();
    REQUIRE(after.size() == 3);
    CHECK(after[0] > before);
    CHECK(after[1] == after[0]);
    CHECK(after[2] == after[0]);
}

TEST_CASE_FIXTURE(running_fixture, "publish, waiting, lists the daemon that is not reached") {
    const std::string lost = to_string(running.admin("entry-2"));
    const std::string kept = to_string(running.admin("entry-1"));
    running.daemon("entry-2").kill();
    write_file(7000);
    // Far longer than the bound of the test: it returns without waiting for the lost daemon.
    CHECK(publish({"--wait", "--wait-ms", "600000"}) == exit_code::unreachable);
    CHECK(err.str().find(lost) != std::string::npos);
    CHECK(err.str().find(kept) == std::string::npos);
    CHECK(run({"show", "revision"}) == exit_code::unreachable);
    CHECK(printed().size() == 1);
}

TEST_CASE_FIXTURE(running_fixture, "publish, made from an old revision, conflict") {
    const std::string base = std::to_string(revisions().front());
    write_file(7000);
    CHECK(publish({"--base", base}) == exit_code::ok);
    write_file(8000);
    CHECK(publish({"--base", base}) == exit_code::conflict);
    CHECK((out.str() + err.str()).find("portal") != std::string::npos);
}

TEST_CASE_FIXTURE(running_fixture, "publish, platform down, not reached and nothing changed") {
    write_file(7000);
    running.platform().kill();
    CHECK(publish({"--wait"}) == exit_code::unreachable);
    CHECK(at_daemons("status", "ready") == std::vector<json>{true, true});
}

TEST_CASE_FIXTURE(running_fixture, "drain, backend server and daemon, seen by every daemon") {
    CHECK(run({"drain", "s1"}) == exit_code::ok);
    CHECK(at_daemons("engines", "drained") == std::vector<json>{true, true});
    CHECK(run({"drain", "s1", "--undo"}) == exit_code::ok);
    CHECK(eventually([&] {
        return at_daemons("engines", "takes_work") == std::vector<json>{true, true};
    }));
    CHECK(run({"drain", "s9"}) == exit_code::failed);
    CHECK(run({"drain", "--daemon"}) == exit_code::ok);
    CHECK(at_daemons("status", "draining") == std::vector<json>{true, true});
    CHECK(at_daemons("status", "ready") == std::vector<json>{false, false});
}
