#include "src/serving/plain_call.hpp"

#include "cicadahatch/http"

#include <atomic>
#include <doctest/doctest.h>

namespace {

using namespace cicadahatch;
using serving::errc;

constexpr std::chrono::milliseconds call_timeout{5000};

/// A plain server whose behaviour a test chooses.
struct plain_server {
    std::atomic<int> calls{0};
    std::function<void(http::exchange&)> answer = [](http::exchange& call) {
        call.respond(http::json_response(http::status_ok, "{}"));
    };
    std::unique_ptr<http::server> listening = http::server_builder{}
                                                  .listen_on({"127.0.0.1", 0})
                                                  .threads(2)
                                                  .handle_with([this](http::exchange& call) {
                                                      ++calls;
                                                      answer(call);
                                                  })
                                                  .build()
                                                  .value();
};

struct plain_call_fixture {
    plain_server first;
    plain_server second;
    serving::backend_directory directory;
    serving::plain_call call;

    plain_call_fixture() {
        call.service = service_id{"portal"};
        call.sent = {"POST", "/orders", "", {}, "die"};
        call.preferred = domain_id{"a"};
        call.timeout = call_timeout;
        call.may_send = [] { return true; };
    }

    /// The first server is the near one.
    serving::plain_answer run() {
        settings::service described;
        described.name = call.service;
        described.kind = settings::service_kind::plain;
        described.backends = {{backend_id{"s1"}, to_string(first.listening->place()),
                               backend_role::plain, domain_id{"a"}},
                              {backend_id{"s2"}, to_string(second.listening->place()),
                               backend_role::plain, domain_id{"b"}}};
        auto services = std::make_shared<serving::service_map>();
        services->emplace(call.service, described);
        directory.apply(revision{1}, services);
        return serving::run_plain_call(directory, call);
    }

    bool takes(const char* name) const {
        return serving::takes_work(directory.backend(backend_id{name}).value());
    }
};

void say_not_run(http::exchange& call) {
    call.respond(http::json_response(http::status_unavailable,
                                     R"({"code":"leaving","execution":"not_run"})"));
}

} // namespace

TEST_CASE_FIXTURE(plain_call_fixture, "plain call, server answers, gives its answer") {
    const auto answer = run();
    REQUIRE(answer);
    CHECK(answer->status == http::status_ok);
    CHECK(first.calls == 1);
    CHECK(second.calls == 0);
}

TEST_CASE_FIXTURE(plain_call_fixture, "plain call, server says not run, goes to the next") {
    first.answer = say_not_run;
    REQUIRE(run());
    CHECK(second.calls == 1);
}

TEST_CASE_FIXTURE(plain_call_fixture, "plain call, server says leaving, gets no further call") {
    first.answer = say_not_run;
    engines::load_report load;
    REQUIRE(run());
    load.started = incarnation{1};
    directory.note_load(backend_id{"s1"}, load, time_point{});
    REQUIRE(run());
    directory.end_plain(backend_id{"s1"});
    CHECK(first.calls == 2);
    CHECK(!takes("s1"));
    REQUIRE(run());
    CHECK(first.calls == 2);
}

TEST_CASE_FIXTURE(plain_call_fixture, "plain call, error without not run, is the answer") {
    first.answer = [](http::exchange& answered) {
        answered.respond(http::json_response(http::status_unavailable, "[1]"));
    };
    const auto answer = run();
    REQUIRE(answer);
    CHECK(answer->status == http::status_unavailable);
    CHECK(second.calls == 0);
}

TEST_CASE_FIXTURE(plain_call_fixture,
                  "plain call, server closes without answer, is unknown and sent once") {
    first.answer = [](http::exchange& closed) { closed.abandon(); };
    const auto answer = run();
    REQUIRE(!answer);
    CHECK(answer.error().code == errc::backend_failed);
    CHECK(answer.error().ran == execution::unknown);
    CHECK(first.calls == 1);
    CHECK(second.calls == 0);
}

TEST_CASE_FIXTURE(plain_call_fixture,
                  "plain call, may be repeated and server closes, goes to the next") {
    first.answer = [](http::exchange& closed) { closed.abandon(); };
    call.may_be_repeated = true;
    REQUIRE(run());
    CHECK(second.calls == 1);
}

TEST_CASE_FIXTURE(plain_call_fixture, "plain call, all close, says unknown") {
    first.answer = [](http::exchange& closed) { closed.abandon(); };
    second.answer = first.answer;
    call.may_be_repeated = true;
    const auto answer = run();
    REQUIRE(!answer);
    CHECK(answer.error().code == errc::no_backend);
    CHECK(answer.error().ran == execution::unknown);
}

TEST_CASE_FIXTURE(plain_call_fixture, "plain call, none did anything, says not run") {
    first.answer = say_not_run;
    second.answer = say_not_run;
    const auto answer = run();
    REQUIRE(!answer);
    CHECK(answer.error().code == errc::no_backend);
    CHECK(answer.error().ran == execution::not_run);
}

TEST_CASE_FIXTURE(plain_call_fixture, "plain call, may not send any more, sends nothing") {
    call.may_send = [] { return false; };
    const auto answer = run();
    REQUIRE(!answer);
    CHECK(answer.error().ran == execution::not_run);
    CHECK(first.calls == 0);
    CHECK(directory.backend(backend_id{"s1"})->in_flight == 0);
}

TEST_CASE("method, idempotent by definition, is told from the others") {
    for (const char* method : {"GET", "HEAD", "PUT", "DELETE", "OPTIONS"}) {
        CHECK(serving::is_idempotent(method));
    }
    for (const char* method : {"POST", "PATCH", "get", ""}) {
        CHECK(!serving::is_idempotent(method));
    }
}
