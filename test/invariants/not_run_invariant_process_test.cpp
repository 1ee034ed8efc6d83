#include "test/support/backend_control.hpp"
#include "test/support/cluster.hpp"
#include "test/support/http_calls.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <set>

namespace {

using namespace cicadahatch;
using namespace cicadahatch::test_support;

constexpr std::uint32_t answer_tokens = 20;
constexpr int requests_per_fault = 4;
const std::vector<std::string> engine_faults = {"refuse", "hang",   "die_mid_stream",
                                                "frozen", "killed", "leaving"};
const std::vector<std::string> plain_faults = {"refuse", "hang",   "run_then_close",
                                               "frozen", "killed", "leaving"};

/// Short stalls and deadlines, so that a hung server is given up soon.
settings::service impatient_plain_service() {
    settings::service made = plain_service("portal");
    made.urgent.deadline = std::chrono::milliseconds{1500};
    made.deferrable.deadline = std::chrono::milliseconds{1500};
    return made;
}

/// What a caller was told.
struct told_answer {
    std::string name; ///< request name, or the key of a booking
    std::string body; ///< problem, or empty after success
};

struct not_run_fixture {
    cluster running;
    std::multiset<std::string> ran_before; ///< at processes that have been restarted since

    not_run_fixture() {
        running.start_backend("pattern", "p1", backend_role::prefill, "port-louis-1");
        running.start_backend("pattern", "d1", backend_role::decode, "port-louis-1");
        running.start_backend("portal", "s1", backend_role::plain, "port-louis-1");
        running.start_backend("portal", "s2", backend_role::plain, "port-louis-1");
        running.publish(model_service("pattern"));
        running.publish(impatient_plain_service());
        running.start_daemon("entry-1", "port-louis-1", "  \"stall_timeout_ms\": 500,\n");
        REQUIRE(running.wait_until_ready());
    }

    http::endpoint daemon() { return running.callers("entry-1"); }
    http::endpoint place(const std::string& backend) { return running.backend(backend).place(); }

    void put(const std::string& backend, const std::string& fault) {
        if (fault == "killed") {
            remember_runs(backend);
            running.backend(backend).kill();
        } else if (fault == "frozen") {
            running.backend(backend).send_signal(SIGSTOP);
        } else if (fault == "leaving") {
            control_backend(place(backend), R"({"leaving":true})");
        } else {
            set_fault(place(backend), fault);
        }
    }

    /// Ends a fault: what was stuck goes on, and a server that left or died is started again.
    void lift(const std::string& backend, const std::string& fault) {
        if (fault == "frozen") {
            running.backend(backend).send_signal(SIGCONT);
        }
        if (fault == "leaving") {
            remember_runs(backend);
        }
        if (fault == "leaving" || fault == "killed") {
            running.restart_backend(backend);
        }
        set_fault(place(backend), "none");
    }

    void remember_runs(const std::string& backend) {
        for (const backend_run& run : runs_at(place(backend))) {
            ran_before.insert(run.key.empty() || run.kind != "plain" ? run.request : run.key);
        }
    }

    /// All that any backend server ran, by request name or booking key.
    std::multiset<std::string> ran() {
        const auto kept = ran_before;
        for (const std::string backend : {"p1", "d1", "s1", "s2"}) {
            remember_runs(backend);
        }
        auto all = ran_before;
        ran_before = kept;
        return all;
    }

    told_answer ask() {
        const auto answer = stream_completion(daemon(), "pattern", "a lace edge", answer_tokens);
        return {text_field(answer.problem, "request_id"), answer.problem};
    }

    told_answer call(const std::string& method, const std::string& path) {
        const auto answer = http::call(daemon(), {method, path, "", {http::no_interim()}, "die"},
                                       std::chrono::seconds{20});
        REQUIRE(answer);
        return {text_field(answer->body, "request_id"), answer->body};
    }

    told_answer book_once(const std::string& key) {
        const auto answer = book(daemon(), "/services/portal/orders/7", key, "steel rule die");
        REQUIRE(answer);
        return {key, answer->body};
    }

    /// \returns how many of the answers said that the request did not run
    int check_not_run(const std::vector<told_answer>& answers, const std::string& fault) {
        const auto all = ran();
        int refused = 0;
        for (const told_answer& answer : answers) {
            if (text_field(answer.body, "execution") == "not_run") {
                INFO(fault, ": ", answer.body);
                CHECK(all.count(answer.name) == 0);
                ++refused;
            }
        }
        return refused;
    }

    void ask_at_once(std::vector<told_answer>& answers) {
        std::vector<std::future<told_answer>> asked;
        asked.reserve(requests_per_fault);
        for (int request = 0; request < requests_per_fault; ++request) {
            asked.push_back(std::async(std::launch::async, [this] { return ask(); }));
        }
        for (auto& one : asked) {
            answers.push_back(one.get());
        }
    }

    int run_model_faults(const std::string& backend) {
        int refused = 0;
        for (const std::string& fault : engine_faults) {
            put(backend, fault);
            std::vector<told_answer> answers;
            // The second round meets a daemon that knows of the fault.
            ask_at_once(answers);
            ask_at_once(answers);
            lift(backend, fault);
            refused += check_not_run(answers, std::string{backend}.append(" ").append(fault));
            CHECK(running.wait_until_ready());
            told_answer last;
            const bool is_served = eventually([&] {
                last = ask();
                return last.body.empty();
            });
            INFO(backend, " after ", fault, ": ", last.body);
            CHECK(is_served);
        }
        return refused;
    }
};

} // namespace

TEST_CASE_FIXTURE(not_run_fixture, "not run, faults of the prefill engine, true") {
    CHECK(run_model_faults("p1") > 0);
}

TEST_CASE_FIXTURE(not_run_fixture, "not run, faults of the decode engine, true") {
    CHECK(run_model_faults("d1") > 0);
}

TEST_CASE_FIXTURE(not_run_fixture, "not run, faults of the plain servers, true and keys run once") {
    std::vector<std::string> keys;
    int refused = 0;
    for (const std::string& fault : plain_faults) {
        put("s1", fault);
        put("s2", fault);
        const std::string key = "key-" + fault;
        keys.push_back(key);
        const std::vector<told_answer> answers = {call("GET", "/services/portal/stock/steel"),
                                                  call("POST", "/services/portal/notes"),
                                                  book_once(key)};
        lift("s1", fault);
        lift("s2", fault);
        refused += check_not_run(answers, fault);
        CHECK(running.wait_until_ready());
        static_cast<void>(book_once(key));
    }
    CHECK(refused > 0);
    const auto all = ran();
    for (const std::string& key : keys) {
        INFO(key);
        CHECK(all.count(key) <= 1);
    }
}

TEST_CASE_FIXTURE(not_run_fixture,
                  "booking, platform at fault, not run is true and keys run once") {
    const http::endpoint platform = running.platform().place();
    for (const std::string mode : {"unavailable", "slow", "lose_reply", "drop_request"}) {
        for (const int count : {1, 2, 3, -1}) {
            const std::string key = mode + std::to_string(count);
            set_platform_mode(platform, mode, count, std::chrono::milliseconds{400});
            const told_answer first = book_once(key);
            check_not_run({first}, key);
            static_cast<void>(book_once(key));
            set_platform_mode(platform, "none");
            static_cast<void>(book_once(key));
            INFO(key, ": ", first.body);
            CHECK(ran().count(key) <= 1);
        }
    }
}

TEST_CASE_FIXTURE(not_run_fixture, "platform, unreachable, bookings refused and the rest goes on") {
    running.platform().kill();
    const told_answer refused = book_once("key-1");
    CHECK(text_field(refused.body, "code") == "store_unavailable");
    CHECK(text_field(refused.body, "execution") == "not_run");
    CHECK(ran().count("key-1") == 0);
    CHECK(ask().body.empty());
    CHECK(text_field(call("GET", "/services/portal/stock/steel").body, "path") == "/stock/steel");
    CHECK(text_field(call("POST", "/services/portal/notes").body, "path") == "/notes");
}
