#include "test/support/backend_control.hpp"
#include "test/support/cluster.hpp"
#include "test/support/http_calls.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using namespace cicadahatch;
using namespace cicadahatch::test_support;
using nlohmann::json;

constexpr std::uint32_t answer_tokens = 3;
constexpr int requests_per_daemon = 6;
/// The condition's own bound on the time in which a leaving server may still get work.
constexpr std::chrono::milliseconds leaving_bound{3000};

const std::vector<std::string> leaving_ones = {"p1", "d1", "s1"};
const std::vector<std::string> daemons = {"entry-1", "entry-2", "entry-3", "far-1"};

/// Three daemons of one failure domain and one of another; those that read the platform's list
/// need not be the homes of the engines' cells.
struct vm_list_fixture {
    cluster running;
    int prompts_sent = 0;

    vm_list_fixture() {
        for (const std::string number : {"1", "2"}) {
            running.start_backend("pattern", "p" + number, backend_role::prefill, "north");
            running.start_backend("pattern", "d" + number, backend_role::decode, "north");
            running.start_backend("portal", "s" + number, backend_role::plain, "north");
        }
        running.publish(model_service("pattern"));
        running.publish(plain_service("portal"));
        for (const std::string& name : daemons) {
            running.start_daemon(name, name == "far-1" ? "south" : "north");
        }
        REQUIRE(running.wait_until_ready());
    }

    http::endpoint place(const std::string& backend) { return running.backend(backend).place(); }

    /// The platform lists the VMs of these servers as leaving.
    void list_as_leaving(const std::vector<std::string>& backends) {
        json vms = json::array();
        for (const std::string& backend : backends) {
            vms.push_back({{"id", "vm-of-" + backend},
                           {"address", to_string(place(backend))},
                           {"domain", "north"},
                           {"state", "leaving"}});
        }
        post(running.platform().place(), "/control", json{{"vms", vms}}.dump());
    }

    bool takes_work(const std::string& daemon, const std::string& backend) {
        const json content =
            json::parse(fetch(running.admin(daemon), "/admin/v1/engines"), nullptr, false);
        for (const json& engine : content["engines"]) {
            if (engine["backend"] == backend) {
                return engine["takes_work"] == true;
            }
        }
        return false;
    }

    bool is_known_everywhere() {
        for (const std::string& daemon : daemons) {
            for (const std::string& backend : leaving_ones) {
                if (takes_work(daemon, backend)) {
                    return false;
                }
            }
        }
        return true;
    }

    void send_requests() {
        for (const std::string& daemon : daemons) {
            for (int request = 0; request < requests_per_daemon; ++request) {
                const std::string prompt = "edge " + std::to_string(prompts_sent++);
                const auto answer =
                    stream_completion(running.callers(daemon), "pattern", prompt, answer_tokens);
                INFO(answer.problem);
                const bool is_whole = answer.text == expected_text(prompt, answer_tokens);
                CHECK((is_whole || text_field(answer.problem, "execution") == "not_run"));
                const std::string got =
                    fetch(running.callers(daemon), "/services/portal/stock/steel");
                INFO(got);
                CHECK(text_field(got, "path") == "/stock/steel");
            }
        }
    }

    std::size_t runs_of(const std::string& backend) { return runs_at(place(backend)).size(); }

    void check_no_work_comes() {
        std::map<std::string, std::size_t> before;
        for (const std::string& backend : leaving_ones) {
            before[backend] = runs_of(backend);
        }
        send_requests();
        for (const std::string& backend : leaving_ones) {
            INFO(backend);
            CHECK(runs_of(backend) == before[backend]);
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(vm_list_fixture, "VM listed as leaving, no new work from any daemon") {
    list_as_leaving(leaving_ones);
    const auto bound_ends = std::chrono::steady_clock::now() + leaving_bound;
    CHECK(eventually([&] { return is_known_everywhere(); }, leaving_bound));
    // A home may grant until it looks at the news, well within the bound.
    std::this_thread::sleep_until(bound_ends);
    check_no_work_comes();
    // A new start at the address is another server, though the list still names the old VM.
    for (const std::string& backend : leaving_ones) {
        running.restart_backend(backend);
    }
    for (const std::string& backend : leaving_ones) {
        INFO(backend);
        CHECK(eventually([&] {
            send_requests();
            return runs_of(backend) > 0;
        }));
    }
}
