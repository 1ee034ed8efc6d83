#include "test/support/backend_control.hpp"
#include "test/support/cluster.hpp"
#include "test/support/http_calls.hpp"

#include <array>
#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <nlohmann/json.hpp>

namespace {

using namespace cicadahatch;
using namespace cicadahatch::test_support;
using nlohmann::json;

constexpr std::uint32_t long_answer = 1500; ///< tokens; thirty seconds at the stand-in's pace
constexpr std::size_t stream_count = 6;
/// The target for memory to be free after the death of those who knew what it was held for.
constexpr std::chrono::seconds release_bound{5};

constexpr int short_sheet = 10;
constexpr int long_sheet = 200; ///< words

std::string sheet(std::size_t number, int words) {
    std::string text = "sheet " + std::to_string(number);
    for (int word = 0; word < words; ++word) {
        text += " row" + std::to_string(word);
    }
    return text;
}

/// Three daemons of one failure domain before engines that keep a prefill for their usual time.
struct uncopied_grants_fixture {
    cluster running;
    const std::array<std::string, 3> names = {"entry-1", "entry-2", "entry-3"};
    std::vector<std::future<streamed_answer>> streams;

    uncopied_grants_fixture() {
        running.start_backend("summary", "p1", backend_role::prefill, "north",
                              {"--prefill-rate", "500"});
        running.start_backend("summary", "d1", backend_role::decode, "north");
        settings::service described = model_service("summary");
        described.max_output_tokens = long_answer;
        running.publish(described);
        for (const std::string& name : names) {
            running.start_daemon(name, "north");
        }
        REQUIRE(running.wait_until_ready());
        REQUIRE(eventually([&] { return !home().empty(); }));
    }

    http::endpoint decode() { return running.backend("d1").place(); }

    json first_cell(const std::string& daemon) {
        const json content =
            json::parse(fetch(running.admin(daemon), "/admin/v1/cells"), nullptr, false);
        const bool is_home = content.is_object() && !content["cells"].empty();
        return is_home ? content["cells"].front() : json();
    }

    std::string home() {
        for (const std::string& name : names) {
            if (running.daemon(name).id() > 0 && !first_cell(name).is_null()) {
                return name;
            }
        }
        return {};
    }

    /// A daemon that is not the cell's home.
    std::string owner() { return home() == names[0] ? names[1] : names[0]; }

    void begin_streams(const std::string& daemon, int words) {
        const http::endpoint place = running.callers(daemon);
        for (std::size_t number = 0; number < stream_count; ++number) {
            streams.push_back(std::async(std::launch::async, [place, number, words] {
                return stream_completion(place, "summary", sheet(number, words), long_answer);
            }));
        }
    }

    void kill(const std::vector<std::string>& killed) {
        for (const std::string& name : killed) {
            running.daemon(name).send_signal(SIGKILL);
        }
        for (const std::string& name : killed) {
            running.daemon(name).kill();
        }
    }

    /// No daemon is left that holds the grants or a copy of them.
    void check_freed_without_daemons() {
        kill({names.begin(), names.end()});
        CHECK(eventually([&] { return running.holdings() == 0; }, release_bound));
    }
};

} // namespace

TEST_CASE_FIXTURE(uncopied_grants_fixture, "all daemons killed, in prefill, engines free it") {
    begin_streams(owner(), long_sheet);
    REQUIRE(eventually([&] { return held_at(running.backend("p1").place()) >= 1; }));
    check_freed_without_daemons();
}

TEST_CASE_FIXTURE(uncopied_grants_fixture, "all daemons killed, in transfer, engines free it") {
    control_backend(decode(), R"({"transfer_ms":500})");
    begin_streams(owner(), short_sheet);
    REQUIRE(eventually([&] { return transfers_at(decode()) >= 1; }));
    check_freed_without_daemons();
}

TEST_CASE_FIXTURE(uncopied_grants_fixture, "all daemons killed, in decode, engines free it") {
    begin_streams(owner(), short_sheet);
    REQUIRE(eventually([&] { return held_at(decode()) >= 1; }));
    check_freed_without_daemons();
}

TEST_CASE_FIXTURE(uncopied_grants_fixture, "owner and home killed as grants come, cell is whole") {
    const std::string killed_home = home();
    const std::string killed_owner = owner();
    begin_streams(killed_owner, long_sheet);
    REQUIRE(eventually([&] { return running.holdings() >= 1; }));
    kill({killed_owner, killed_home});
    CHECK(eventually([&] { return running.holdings() == 0; }, release_bound));
    REQUIRE(eventually([&] { return !home().empty(); }));
    const std::string survivor = home();
    // Nothing stays reserved in the new home for those that nobody waits for.
    CHECK(eventually([&] { return first_cell(survivor)["granted"] == 0; }));
    const auto answer = stream_completion(running.callers(survivor), "summary", "afterwards", 10);
    INFO(answer.problem);
    CHECK(answer.text == expected_text("afterwards", 10));
}
