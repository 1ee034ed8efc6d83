#include "test/support/cluster.hpp"
#include "test/support/http_calls.hpp"
#include "test/support/raw_caller.hpp"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace {

using namespace cicadahatch;
using namespace cicadahatch::test_support;
using nlohmann::json;

constexpr std::size_t max_body_bytes = 65536;
constexpr int repeats = 200;
constexpr long max_log_lines = 50;

struct bad_input_fixture {
    cluster running;

    explicit bad_input_fixture(const std::string& overrides = {}) {
        running.start_backend("pattern", "p1", backend_role::prefill, "a");
        running.start_backend("pattern", "d1", backend_role::decode, "a");
        running.start_backend("portal", "s1", backend_role::plain, "a");
        running.publish(model_service("pattern"));
        running.publish(plain_service("portal"));
        running.start_daemon("entry-1", "a",
                             "  \"max_body_bytes\": " + std::to_string(max_body_bytes) + ",\n" +
                                 overrides);
        REQUIRE(running.wait_until_ready());
    }

    http::endpoint callers() { return running.callers("entry-1"); }

    std::string exchange(std::string_view bytes) {
        const raw_caller caller{callers()};
        static_cast<void>(caller.send(bytes));
        caller.finish_sending();
        return caller.receive_all();
    }

    bool holds_nothing() {
        const std::string text = fetch(running.admin("entry-1"), "/admin/v1/status");
        const json status = json::parse(text, nullptr, false);
        return status.is_object() && status["tickets"] == 0 && status["cell_load"] == 0 &&
               running.holdings() == 0;
    }

    /// The daemon is as before: it holds nothing and answers.
    void check_sound() {
        CHECK(eventually([&] { return holds_nothing(); }));
        const auto answer = stream_completion(callers(), "pattern", "a lace edge", 3);
        CHECK(answer.text == expected_text("a lace edge", 3));
    }

    long log_lines() const {
        std::ifstream file{running.log_path("entry-1")};
        return std::count(std::istreambuf_iterator<char>{file}, {}, '\n');
    }
};

/// Slow senders are closed only to free their workers.
struct patient_fixture : bad_input_fixture {
    patient_fixture() : bad_input_fixture("  \"receive_timeout_ms\": 600000,\n") {}
};

/// Slow senders are closed after a second.
struct hasty_fixture : bad_input_fixture {
    hasty_fixture() : bad_input_fixture("  \"receive_timeout_ms\": 1000,\n") {}
};

std::string post_of(const std::string& body, const std::string& path = "/v1/completions") {
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\nPrefer: no-interim\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
}

std::string completion_of(int tokens) {
    return R"({"model":"pattern","prompt":"a lace edge","stream":true,"max_tokens":)" +
           std::to_string(tokens) + "}";
}

/// \returns the status of a raw response; zero for a closed connection
int status_of(const std::string& answer) {
    const std::string version = "HTTP/1.1 ";
    return answer.rfind(version, 0) == 0 ? std::stoi(answer.substr(version.size())) : 0;
}

bool is_4xx_or_closed(const std::string& answer) {
    const int status = status_of(answer);
    return status == 0 || (status >= 400 && status < 500);
}

} // namespace

TEST_CASE_FIXTURE(bad_input_fixture, "completion, wrong body, is refused as not run") {
    const std::string deep(30'000, '[');
    const std::vector<std::pair<std::string, std::string>> bodies = {
        {"{", "bad_json"},
        {deep, "bad_json"},
        {"[]", "bad_json"},
        {"{\"model\":\"pattern\",\"prompt\":\"\xff\"}", "bad_utf8"},
        {R"({"model":"pattern"})", "bad_field"},
        {R"({"model":"none","prompt":"x"})", "unknown_service"}};
    for (const auto& [body, expected] : bodies) {
        const std::string code = expected;
        INFO(code);
        const std::string answer = exchange(post_of(body));
        CHECK(is_4xx_or_closed(answer));
        CHECK(status_of(answer) != 0);
        const json content = json::parse(answer.substr(answer.find("\r\n\r\n") + 4));
        CHECK(content["code"] == code);
        CHECK(content["execution"] == "not_run");
    }
    check_sound();
}

TEST_CASE_FIXTURE(bad_input_fixture, "completion, field nested deeply and closed, is answered") {
    constexpr std::size_t depth = 30'000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    const std::string body =
        R"({"model":"pattern","prompt":"a","max_tokens":1,"x":)" + nested + "}";
    CHECK(status_of(exchange(post_of(body))) == http::status_ok);
    check_sound();
}

TEST_CASE_FIXTURE(bad_input_fixture, "body, shorter than announced, is refused and not run") {
    const std::string whole = post_of(completion_of(5));
    const std::string answer = exchange(whole.substr(0, whole.size() - 7));
    CHECK(status_of(answer) == http::status_bad_request);
    CHECK(answer.find("body_truncated") != std::string::npos);
    const std::string order = post_of("steel rule die", "/services/portal/orders/1");
    CHECK(status_of(exchange(order.substr(0, order.size() - 3))) == http::status_bad_request);
    CHECK(running.runs("portal").empty());
    check_sound();
}

TEST_CASE_FIXTURE(bad_input_fixture, "body, longer than allowed, is refused before it is read") {
    const raw_caller caller{callers()};
    CHECK(caller.send("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 65537\r\n\r\n"));
    const std::string answer = caller.receive_until("not_run");
    CHECK(status_of(answer) == http::status_too_large);
    check_sound();
}

TEST_CASE_FIXTURE(bad_input_fixture, "body, in chunks and longer than allowed, is refused") {
    std::string sent =
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string chunk = "1000\r\n" + std::string(4096, 'a') + "\r\n";
    for (int count = 0; count < 20; ++count) {
        sent += chunk;
    }
    CHECK(is_4xx_or_closed(exchange(sent)));
    check_sound();
}

TEST_CASE_FIXTURE(bad_input_fixture, "head, not HTTP or odd, is refused or closed") {
    const std::vector<std::string> heads = {
        "\r\n\r\n",
        std::string(500, '\0'),
        "GET\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        "POST /v1/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n{}",
        "POST /v1/completions HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n{}",
        "POST /v1/completions HTTP/1.1\r\nContent-Length: x\r\n\r\n{}",
        "POST /v1/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"};
    for (const std::string& head : heads) {
        INFO(head);
        CHECK(is_4xx_or_closed(exchange(head)));
    }
    check_sound();
}

TEST_CASE_FIXTURE(bad_input_fixture, "head, flood of header fields, is refused or closed") {
    std::string many = "GET /live HTTP/1.1\r\n";
    for (int count = 0; count < 5000; ++count) {
        many += "X-" + std::to_string(count) + ": 1\r\n";
    }
    CHECK(is_4xx_or_closed(exchange(many + "\r\n")));
    const std::string one = "GET /live HTTP/1.1\r\nX: " + std::string(1'000'000, 'a');
    CHECK(is_4xx_or_closed(exchange(one + "\r\n\r\n")));
    check_sound();
}

TEST_CASE_FIXTURE(patient_fixture, "senders, slow and more than workers, hold up no other caller") {
    constexpr std::size_t callers_workers = 256;
    constexpr std::size_t admin_workers = 8;
    const long before = log_lines();
    std::vector<std::unique_ptr<raw_caller>> slow;
    const auto add = [&](const http::endpoint& place, std::size_t sent) {
        slow.push_back(std::make_unique<raw_caller>(place));
        CHECK(slow.back()->send(post_of(completion_of(5)).substr(0, sent)));
    };
    for (std::size_t count = 0; count < callers_workers + 4; ++count) {
        add(callers(), 5 + count % 150);
    }
    for (std::size_t count = 0; count < admin_workers + 4; ++count) {
        add(running.admin("entry-1"), 5 + count * 10);
    }
    const auto booked = book(callers(), "/services/portal/orders/1", "key-1", "steel rule die");
    REQUIRE(booked);
    CHECK(booked->status == http::status_ok);
    CHECK(running.runs("portal").size() == 1);
    const auto answer = stream_completion(callers(), "pattern", "a quick one", 3);
    CHECK(answer.text == expected_text("a quick one", 3));
    CHECK(eventually([&] { return holds_nothing(); }));
    CHECK(log_lines() - before < max_log_lines);
    slow.clear();
    check_sound();
}

TEST_CASE_FIXTURE(hasty_fixture, "body, late, is refused as not run") {
    const std::string order = post_of("steel rule die", "/services/portal/orders/1");
    const raw_caller silent{callers()};
    CHECK(silent.send(order.substr(0, order.size() - 3)));
    const std::string answer = silent.receive_until("not_run");
    CHECK(status_of(answer) == http::status_request_timeout);
    CHECK(answer.find("body_late") != std::string::npos);
    CHECK(running.runs("portal").empty());
    check_sound();
}

TEST_CASE_FIXTURE(hasty_fixture, "senders, never silent and never done, are closed") {
    const std::string body(max_body_bytes, 'a');
    const std::string whole = post_of(body);
    const std::size_t body_begins = whole.size() - body.size();
    for (const std::size_t sent : {std::size_t{30}, body_begins + 1}) {
        const raw_caller caller{callers()};
        CHECK(caller.send(whole.substr(0, sent)));
        CHECK(eventually([&] { return !caller.send("a"); }));
    }
    check_sound();
}

TEST_CASE_FIXTURE(bad_input_fixture, "sender, one byte at a time, is answered") {
    const raw_caller caller{callers()};
    for (const char next : post_of(completion_of(3))) {
        CHECK(caller.send(std::string_view{&next, 1}));
    }
    const std::string answer = caller.receive_until("[DONE]");
    CHECK(status_of(answer) == http::status_ok);
    CHECK(answer.find("[DONE]") != std::string::npos);
    check_sound();
}

TEST_CASE_FIXTURE(bad_input_fixture, "caller, closes its sending half, gets the whole answer") {
    const raw_caller caller{callers()};
    CHECK(caller.send(post_of(completion_of(5))));
    caller.finish_sending();
    CHECK(caller.receive_until("[DONE]").find("[DONE]") != std::string::npos);
    check_sound();
}

TEST_CASE_FIXTURE(bad_input_fixture,
                  "callers, vanish before and during the answer, leave nothing held") {
    constexpr int long_answer = 400;
    for (int count = 0; count < 10; ++count) {
        raw_caller early{callers()};
        CHECK(early.send(post_of(completion_of(long_answer))));
        early.leave();
        raw_caller late{callers()};
        CHECK(late.send(post_of(completion_of(long_answer))));
        const std::string begun = late.receive_until("data:");
        INFO(begun);
        CHECK(begun.find("data:") != std::string::npos);
        late.leave();
    }
    check_sound();
}

TEST_CASE_FIXTURE(bad_input_fixture, "bad requests, many, are not logged one by one") {
    const long before = log_lines();
    for (int count = 0; count < repeats; ++count) {
        static_cast<void>(exchange(post_of("{")));
        static_cast<void>(exchange("nonsense\r\n\r\n"));
        raw_caller vanishing{callers()};
        CHECK(vanishing.send(post_of(completion_of(1000))));
        vanishing.leave();
    }
    CHECK(eventually([&] { return holds_nothing(); }));
    CHECK(log_lines() - before < max_log_lines);
    check_sound();
}
