#include "cicadahatch/http"
#include "cicadahatch/metrics"
#include "programs/cicadahatch/command.hpp"
#include "programs/cicadahatch/in_force.hpp"
#include "test/support/paths.hpp"

#include <doctest/doctest.h>

#include <mutex>
#include <sstream>

namespace {

using namespace cicadahatch;
using namespace std::chrono_literals;

constexpr const char* token = "a-token-of-the-operators";

/// \brief Answers as a daemon's admin listener does.
class admin_listener {
public:
    admin_listener() {
        server_ = http::server_builder{}
                      .listen_on({"127.0.0.1", 0})
                      .threads(2)
                      .handle_with([this](http::exchange& call) { answer(call); })
                      .build()
                      .value();
    }

    [[nodiscard]] std::string place() const { return to_string(server_->place()); }
    [[nodiscard]] http::request last() const {
        const std::lock_guard lock(mutex_);
        return last_;
    }

private:
    void answer(http::exchange& call) {
        {
            const std::lock_guard lock(mutex_);
            last_ = call.request();
        }
        const std::string* given = http::find_header(call.request().headers, "Authorization");
        if (given == nullptr || *given != std::string{"Bearer "} + token) {
            call.respond(http::json_response(http::status_unauthorized, "{}"));
            return;
        }
        call.respond(http::json_response(status_of(call.request()), body_of(call.request().path)));
    }

    static int status_of(const http::request& received) {
        return received.body.find("unknown") == std::string::npos ? http::status_ok
                                                                  : http::status_not_found;
    }

    static std::string body_of(const std::string& path) {
        if (path == "/admin/v1/status") {
            return R"({"daemon":"entry-1","ready":true,"revision":7})";
        }
        if (path == "/admin/v1/cells") {
            return R"({"cells":[{"cell":"c1","waiting":3},{"cell":"c2","waiting":0}]})";
        }
        if (path == "/admin/v1/configuration") {
            return R"({"revision":7,"services":["pattern"]})";
        }
        return path == "/admin/v1/burn" ? metrics::encode(metrics::snapshot{}) : "{}";
    }

    mutable std::mutex mutex_;
    http::request last_;
    std::unique_ptr<http::server> server_;
};

struct daemons_fixture {
    admin_listener first;
    admin_listener second;
    std::ostringstream out;
    std::ostringstream err;

    daemons_fixture() { setenv("CICADAHATCH_ADMIN_TOKEN", token, 1); }

    int run(tool::argument_list arguments, const std::string& extra = {}) {
        out.str("");
        err.str("");
        arguments.insert(arguments.end(),
                         {"--output", "json", "--admin", first.place() + "," + second.place()});
        arguments.back() += extra;
        return tool::run(arguments, out, err);
    }
    [[nodiscard]] nlohmann::json printed() const { return nlohmann::json::parse(out.str()); }
};

} // namespace

TEST_CASE_FIXTURE(daemons_fixture, "status, two daemons, one record each") {
    CHECK(run({"status"}) == 0);
    REQUIRE(printed().size() == 2);
    CHECK(printed()[1]["admin"] == second.place());
    CHECK(printed()[1]["revision"] == 7);
}

TEST_CASE_FIXTURE(daemons_fixture, "cells, two daemons, their cells in one list") {
    CHECK(run({"cells"}) == 0);
    CHECK(printed().size() == 4);
}

TEST_CASE_FIXTURE(daemons_fixture, "members, answer without the list, failed") {
    CHECK(run({"members"}) == 1);
    CHECK(err.str().find("not understood") != std::string::npos);
}

TEST_CASE_FIXTURE(daemons_fixture, "status, one daemon not reached, the others and exit 4") {
    CHECK(run({"status"}, ",127.0.0.1:1") == 4);
    CHECK(printed().size() == 2);
    CHECK(err.str().find("127.0.0.1:1") != std::string::npos);
}

TEST_CASE_FIXTURE(daemons_fixture, "status, wrong token, failed and said so") {
    setenv("CICADAHATCH_ADMIN_TOKEN", "another", 1);
    CHECK(run({"status"}) == 1);
    CHECK(err.str().find("token refused") != std::string::npos);
    CHECK(run({"status", "--token-file", "/nowhere"}) == 2);
}

TEST_CASE_FIXTURE(daemons_fixture, "drain, backend server, order to every daemon") {
    CHECK(run({"drain", "pattern-1"}) == 0);
    for (const admin_listener* asked : {&first, &second}) {
        CHECK(asked->last().method == "POST");
        CHECK(asked->last().path == "/admin/v1/drain");
        CHECK(asked->last().body == R"({"backend":"pattern-1"})");
    }
    CHECK(run({"drain", "pattern-1", "--undo"}) == 0);
    CHECK(first.last().body == R"({"backend":"pattern-1","undo":true})");
    CHECK(run({"drain", "unknown-1"}) == 1);
    CHECK(run({"drain", "--daemon"}) == 0);
    CHECK(first.last().body == R"({"daemon":true})");
    CHECK(run({"drain"}) == 2);
    CHECK(run({"drain", "pattern-1", "--daemon"}) == 2);
}

TEST_CASE_FIXTURE(daemons_fixture, "log-level, by name, order with its number") {
    CHECK(run({"log-level", "warning"}) == 0);
    CHECK(first.last().body == R"({"level":1})");
    CHECK(run({"log-level", "loud"}) == 2);
}

TEST_CASE_FIXTURE(daemons_fixture, "report, burn in each format, objectives of the files") {
    const std::string files = test_support::source_dir() + "/examples";
    CHECK(run({"report", "burn", "--services", files}) == 0);
    CHECK(out.str().find("soil-route") != std::string::npos);
    CHECK_NOTHROW(static_cast<void>(printed()));
    CHECK(run({"report", "burn", "--format", "html"}) == 0);
    CHECK(out.str().find("<html") != std::string::npos);
    CHECK(run({"report", "burn", "--format", "text"}) == 0);
    CHECK(run({"report", "burn", "--format", "music"}) == 2);
    CHECK(run({"report", "weather"}) == 2);
}

TEST_CASE_FIXTURE(daemons_fixture, "show, revision, one record for each daemon") {
    CHECK(run({"show", "revision"}) == 0);
    REQUIRE(printed().size() == 2);
    CHECK(printed()[0]["revision"] == 7);
}

TEST_CASE_FIXTURE(daemons_fixture, "wait_in_force, reached revision, no error") {
    const tool::admin_target target{{http::parse_endpoint(first.place()).value()}, token, {}};
    CHECK(tool::wait_in_force(target, revision{7}, 0ms).front().body.has_value());
    CHECK_FALSE(tool::wait_in_force(target, revision{8}, 0ms).front().body.has_value());
}
