#include "test/support/backend_control.hpp"
#include "test/support/cluster.hpp"
#include "test/support/http_calls.hpp"

#include <doctest/doctest.h>
#include <future>
#include <nlohmann/json.hpp>

namespace {

using namespace cicadahatch;
using namespace cicadahatch::test_support;
using nlohmann::json;

constexpr std::uint32_t answer_tokens = 3;
constexpr int requests = 12;
/// The condition's own bound on the time in which a leaving server may still get work.
constexpr std::chrono::milliseconds leaving_bound{3000};

struct leaving_fixture {
    cluster running;
    int prompts_sent = 0;

    leaving_fixture() {
        for (const std::string number : {"1", "2"}) {
            running.start_backend("pattern", "p" + number, backend_role::prefill, "port-louis-1");
            running.start_backend("pattern", "d" + number, backend_role::decode, "port-louis-1");
            running.start_backend("portal", "s" + number, backend_role::plain, "port-louis-1");
        }
        running.publish(model_service("pattern"));
        running.publish(plain_service("portal"));
        running.start_daemon("entry-1", "port-louis-1");
        REQUIRE(running.wait_until_ready());
    }

    http::endpoint place(const std::string& backend) { return running.backend(backend).place(); }

    bool takes_work(const std::string& backend) {
        const json content =
            json::parse(fetch(running.admin("entry-1"), "/admin/v1/engines"), nullptr, false);
        for (const json& engine : content["engines"]) {
            if (engine["backend"] == backend) {
                return engine["takes_work"] == true;
            }
        }
        return false;
    }

    void drain(const std::string& backend, bool is_undone) {
        post(running.admin("entry-1"), "/admin/v1/drain",
             json{{"backend", backend}, {"undo", is_undone}}.dump());
    }

    /// Sends prompts and plain calls at once; each is answered whole or refused.
    void send_requests() {
        std::vector<std::future<void>> sent;
        for (int request = 0; request < requests; ++request) {
            // No prompt is sent twice, so that no cached prefix decides where it goes.
            const std::string prompt = "edge " + std::to_string(prompts_sent++);
            sent.push_back(std::async(std::launch::async, [this, prompt] { send_one(prompt); }));
        }
        for (auto& one : sent) {
            one.get();
        }
    }

    void send_one(const std::string& prompt) {
        const auto answer =
            stream_completion(running.callers("entry-1"), "pattern", prompt, answer_tokens);
        INFO(answer.problem);
        // A burst may spend the retry budget; then the refusal says so and is true.
        const bool is_whole = answer.text == expected_text(prompt, answer_tokens);
        CHECK((is_whole || text_field(answer.problem, "execution") == "not_run"));
        const std::string body = fetch(running.callers("entry-1"), "/services/portal/stock/steel");
        INFO(body);
        CHECK(text_field(body, "path") == "/stock/steel");
    }

    /// Waits for the bound's end or the news, then sees that no work comes.
    void check_no_work_at(const std::vector<std::string>& leaving) {
        for (const std::string& backend : leaving) {
            CHECK(eventually([&] { return !takes_work(backend); }, leaving_bound));
        }
        std::vector<std::size_t> before;
        before.reserve(leaving.size());
        for (const std::string& backend : leaving) {
            before.push_back(runs_at(place(backend)).size());
        }
        send_requests();
        for (std::size_t index = 0; index < leaving.size(); ++index) {
            INFO(leaving[index]);
            CHECK(runs_at(place(leaving[index])).size() == before[index]);
        }
    }

    /// Sees that a server gets work again.
    void check_work_at(const std::string& backend) {
        CHECK(eventually([&] { return takes_work(backend); }));
        const std::size_t before = runs_at(place(backend)).size();
        CHECK(eventually([&] {
            send_requests();
            return runs_at(place(backend)).size() > before;
        }));
    }
};

const std::vector<std::string> first_ones = {"p1", "d1", "s1"};

} // namespace

TEST_CASE_FIXTURE(leaving_fixture, "leaving server, own report, no new work until a new start") {
    for (const std::string& backend : first_ones) {
        control_backend(place(backend), R"({"leaving":true})");
    }
    check_no_work_at(first_ones);
    for (const std::string& backend : first_ones) {
        control_backend(place(backend), R"({"leaving":false})");
    }
    check_no_work_at(first_ones);
    for (const std::string& backend : first_ones) {
        running.restart_backend(backend);
    }
    for (const std::string& backend : first_ones) {
        check_work_at(backend);
    }
}

TEST_CASE_FIXTURE(leaving_fixture, "leaving server, operator's drain, no new work until undone") {
    for (const std::string& backend : first_ones) {
        drain(backend, false);
    }
    check_no_work_at(first_ones);
    for (const std::string& backend : first_ones) {
        drain(backend, true);
    }
    for (const std::string& backend : first_ones) {
        check_work_at(backend);
    }
}

TEST_CASE_FIXTURE(leaving_fixture, "leaving server, killed, others serve and a new start is used") {
    for (const std::string& backend : first_ones) {
        running.backend(backend).kill();
    }
    for (const std::string& backend : first_ones) {
        CHECK(eventually([&] { return !takes_work(backend); }, leaving_bound));
    }
    send_requests();
    for (const std::string& backend : first_ones) {
        running.restart_backend(backend);
    }
    for (const std::string& backend : first_ones) {
        check_work_at(backend);
    }
}

TEST_CASE_FIXTURE(leaving_fixture, "server, silent for a while, gets work again") {
    for (const std::string& backend : first_ones) {
        set_fault(place(backend), "hang");
    }
    for (const std::string& backend : first_ones) {
        CHECK(eventually([&] { return !takes_work(backend); }));
    }
    for (const std::string& backend : first_ones) {
        set_fault(place(backend), "none");
    }
    for (const std::string& backend : first_ones) {
        check_work_at(backend);
    }
}
