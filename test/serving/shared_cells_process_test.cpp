#include "test/support/cluster.hpp"
#include "test/support/http_calls.hpp"

#include <array>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

namespace {

using namespace cicadahatch;
using namespace cicadahatch::test_support;
using nlohmann::json;

/// Three daemons in two failure domains; both domains have engines.
struct shared_cells_fixture {
    cluster running;

    shared_cells_fixture() {
        for (const std::string domain : {"north", "south"}) {
            running.start_backend("summary", "p-" + domain, backend_role::prefill, domain);
            running.start_backend("summary", "d-" + domain, backend_role::decode, domain);
        }
        running.start_backend("booking", "s1", backend_role::plain, "north");
        running.publish(model_service("summary"));
        running.publish(plain_service("booking"));
        running.start_daemon("entry-1", "north");
        running.start_daemon("entry-2", "north");
        running.start_daemon("entry-3", "south");
        REQUIRE(running.wait_until_ready());
        REQUIRE(eventually([&] { return members("entry-1") == 2 && members("entry-2") == 2; }));
    }

    std::size_t members(const std::string& daemon) {
        const std::string text = fetch(running.admin(daemon), "/admin/v1/members");
        return json::parse(text)["members"].size();
    }

    std::multiset<std::string> hosted() {
        std::multiset<std::string> cells;
        for (const std::string daemon : {"entry-1", "entry-2", "entry-3"}) {
            const std::string text = fetch(running.admin(daemon), "/admin/v1/cells");
            const json content = json::parse(text);
            for (const json& cell : content["cells"]) {
                cells.insert(cell["cell"].get<std::string>());
            }
        }
        return cells;
    }

    std::uint64_t revision_at(const std::string& daemon) {
        const std::string text = fetch(running.admin(daemon), "/admin/v1/status");
        return json::parse(text)["revision"].get<std::uint64_t>();
    }
};

} // namespace

TEST_CASE_FIXTURE(shared_cells_fixture, "cells, three daemons, each cell has one home") {
    const std::multiset<std::string> wanted = {"model/north/0", "model/south/0"};
    CHECK(eventually([&] { return hosted() == wanted; }));
}

TEST_CASE_FIXTURE(shared_cells_fixture, "completion, asked at any daemon, answered whole") {
    std::vector<std::thread> callers;
    std::array<streamed_answer, 12> answers;
    const std::array<std::string, 3> daemons = {"entry-1", "entry-2", "entry-3"};
    for (std::size_t index = 0; index < answers.size(); ++index) {
        callers.emplace_back([&, index] {
            const std::string prompt = "notes of round " + std::to_string(index);
            answers[index] = stream_completion(running.callers(daemons[index % daemons.size()]),
                                               "summary", prompt, 10);
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    for (std::size_t index = 0; index < answers.size(); ++index) {
        INFO(index, answers[index].problem);
        CHECK(answers[index].text == expected_text("notes of round " + std::to_string(index), 10));
        CHECK(answers[index].is_whole);
    }
    CHECK(eventually([&] { return running.holdings() == 0; }));
}

TEST_CASE_FIXTURE(shared_cells_fixture, "configuration, published later, in force at all daemons") {
    const std::uint64_t before = revision_at("entry-1");
    running.start_backend("stock", "s2", backend_role::plain, "north");
    running.publish(plain_service("stock"));
    CHECK(eventually([&] {
        return revision_at("entry-1") > before && revision_at("entry-2") > before &&
               revision_at("entry-3") > before;
    }));
}

TEST_CASE_FIXTURE(shared_cells_fixture, "cell home, killed, another daemon serves its cell") {
    REQUIRE(eventually([&] { return hosted().size() == 2; }));
    const std::string text = fetch(running.admin("entry-1"), "/admin/v1/cells");
    const bool is_first = !json::parse(text)["cells"].empty();
    const std::string home = is_first ? "entry-1" : "entry-2";
    const std::string other = is_first ? "entry-2" : "entry-1";
    running.daemon(home).kill();
    const auto answer = stream_completion(running.callers(other), "summary", "after a death", 10);
    INFO(answer.problem);
    CHECK(answer.text == expected_text("after a death", 10));
}
