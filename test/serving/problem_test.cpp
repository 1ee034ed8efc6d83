#include "src/serving/problem.hpp"

#include "cicadahatch/http"

#include <chrono>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace {

using namespace cicadahatch;
using nlohmann::json;
using serving::errc;
using serving::problem;

constexpr int first_error_status = 400;
constexpr int last_error_status = 599;

} // namespace

TEST_CASE("problem, any code, has an error status") {
    for (int value = 1; value <= static_cast<int>(errc::outcome_unknown); ++value) {
        const int status = serving::status_of({static_cast<errc>(value), {}, {}, {}});
        INFO(value);
        CHECK(status >= first_error_status);
        CHECK(status <= last_error_status);
    }
}

TEST_CASE("problem, refusal, names code, execution, request and field") {
    const problem refusal{errc::bad_field, execution::not_run, {}, "prompt"};
    const auto answer = serving::to_response(refusal, request_id{"r-1"});
    CHECK(answer.status == http::status_bad_request);
    CHECK(*http::find_header(answer.headers, "Content-Type") == "application/problem+json");
    CHECK(*http::find_header(answer.headers, "X-Request-Id") == "r-1");
    const json content = json::parse(answer.body);
    CHECK(content["code"] == "bad_field");
    CHECK(content["execution"] == "not_run");
    CHECK(content["request_id"] == "r-1");
    CHECK(content["field"] == "prompt");
    CHECK(content["status"] == answer.status);
}

TEST_CASE("problem, each execution, has its name") {
    const auto named = [](execution ran) {
        const problem failed{errc::backend_failed, ran, {}, {}};
        return json::parse(serving::to_json(failed, request_id{"r"}))["execution"];
    };
    CHECK(named(execution::not_run) == "not_run");
    CHECK(named(execution::unknown) == "unknown");
    CHECK(named(execution::completed) == "completed");
}

TEST_CASE("problem, trying again helps, says when in whole seconds rounded up") {
    const problem refusal{
        errc::overloaded, execution::not_run, std::chrono::milliseconds{1200}, {}};
    const auto answer = serving::to_response(refusal, request_id{"r"});
    CHECK(*http::find_header(answer.headers, "Retry-After") == "2");
    CHECK(json::parse(answer.body)["retry_after_ms"] == 1200);
}

TEST_CASE("problem, trying again does not help, has no Retry-After") {
    const auto answer =
        serving::to_response({errc::bad_json, execution::not_run, {}, {}}, request_id{"r"});
    CHECK(http::find_header(answer.headers, "Retry-After") == nullptr);
}

TEST_CASE("problem, field with broken UTF-8, is still JSON") {
    const problem refusal{errc::bad_field, execution::not_run, {}, "\xff"};
    CHECK(json::accept(serving::to_json(refusal, request_id{"r"})));
}

TEST_CASE("problem, each cause, counts for the objective unless it is the caller's doing") {
    using metrics::request_outcome;
    const auto outcome = [](errc code, execution ran) {
        return serving::outcome_of({code, ran, {}, {}});
    };
    CHECK(outcome(errc::bad_field, execution::not_run) == request_outcome::rejected);
    CHECK(outcome(errc::key_reused, execution::not_run) == request_outcome::rejected);
    CHECK(outcome(errc::in_progress, execution::unknown) == request_outcome::rejected);
    CHECK(outcome(errc::already_completed, execution::completed) == request_outcome::rejected);
    CHECK(outcome(errc::outcome_unknown, execution::unknown) == request_outcome::rejected);
    CHECK(outcome(errc::overloaded, execution::not_run) == request_outcome::refused);
    CHECK(outcome(errc::store_unavailable, execution::not_run) == request_outcome::refused);
    CHECK(outcome(errc::backend_failed, execution::not_run) == request_outcome::refused);
    CHECK(outcome(errc::backend_failed, execution::unknown) == request_outcome::failed);
}
