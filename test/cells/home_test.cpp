#include "src/cells/home.hpp"
#include "src/core/manual_clock.hpp"

#include <algorithm>
#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::cells;

const cell_id cell{"model"};
const daemon_id first_daemon{"d1"};
const daemon_id second_daemon{"d2"};

scheduling::engine_spec engine(const std::string& id, backend_role role) {
    scheduling::engine_spec spec;
    spec.id = backend_id{id};
    spec.role = role;
    spec.slots = 4;
    spec.pieces = 6'250; // 100,000 tokens
    spec.piece_tokens = 16;
    spec.step_base = 1ms;
    spec.prefill_tokens_per_second = 50'000;
    return spec;
}

struct home_fixture {
    manual_clock time;
    cell_topology topology;
    home cell_home{time, make_policy(), [this](const cell_id&) { return topology; }};

    home_fixture() {
        topology.engines = {engine("p1", backend_role::prefill),
                            engine("p2", backend_role::prefill),
                            engine("x1", backend_role::decode)};
        scheduling::service_spec service;
        service.id = service_id{"model"};
        topology.services = {service};
    }
    static scheduling::cell_policy make_policy() {
        scheduling::cell_policy policy;
        policy.forecasts_memory = true;
        policy.local_prefill_tokens = 0;
        policy.owner_timeout = 1500ms;
        return policy;
    }
    static rpc::acquire request(const std::string& id, std::uint64_t prompt_key = 0) {
        rpc::acquire acquire;
        acquire.request = request_id{id};
        acquire.attempt = attempt_number{1};
        acquire.cell = cell;
        acquire.service = service_id{"model"};
        acquire.work_rank = rank::urgent;
        acquire.prompt_tokens = 5'000;
        acquire.expected_output_tokens = 4'000;
        acquire.max_output_tokens = 8'000;
        acquire.first_token_target = 800ms;
        acquire.late_first_token_target = 2400ms;
        acquire.prompt_key = prompt_key;
        return acquire;
    }
    std::vector<outgoing_message> step(duration elapsed = 5ms) {
        time.advance(elapsed);
        cell_home.tick();
        return cell_home.take_messages();
    }
    /// Submits a request and steps until it is answered or the timeout expires.
    std::optional<rpc::message> submit(const daemon_id& from, const rpc::acquire& acquire,
                                       duration timeout = 1s) {
        cell_home.handle(from, acquire);
        for (duration elapsed{0}; elapsed < timeout; elapsed += 5ms) {
            for (const outgoing_message& out : step()) {
                if (out.destination == from) {
                    return out.payload;
                }
            }
            cell_home.renew(first_daemon);
            cell_home.renew(second_daemon);
        }
        return std::nullopt;
    }
    bool is_granted(const daemon_id& from, const std::string& id, std::uint64_t key = 0) {
        const auto answer = submit(from, request(id, key));
        const bool granted = answer && std::holds_alternative<rpc::granted>(*answer);
        if (granted) {
            cell_home.handle(from,
                             rpc::prefill_finished{request_id{id}, attempt_number{1}, cell, 0, {}});
            cell_home.handle(from, rpc::first_token{request_id{id}, attempt_number{1}, cell, {}});
        }
        return granted;
    }
    void finish(const daemon_id& from, const std::string& id) {
        cell_home.handle(from, rpc::release{request_id{id},
                                            attempt_number{1},
                                            cell,
                                            rpc::release_outcome::completed,
                                            4'000,
                                            {}});
    }
    [[nodiscard]] std::size_t grants() const { return cell_home.cells().at(cell).grants.size(); }
};

} // namespace

TEST_CASE_FIXTURE(home_fixture, "acquire, engines are free, grants a prefill and a decode engine") {
    const auto answer = submit(first_daemon, request("r1"));
    REQUIRE(answer);
    const auto& granted = std::get<rpc::granted>(*answer);
    CHECK(granted.decode_backend == backend_id{"x1"});
    CHECK(granted.prefill_backend.str().starts_with("p"));
}

TEST_CASE_FIXTURE(home_fixture, "acquire, two daemons hold all slots, next request is refused") {
    for (int index = 0; index < 4; ++index) {
        const daemon_id& from = index % 2 == 0 ? first_daemon : second_daemon;
        REQUIRE(is_granted(from, "r" + std::to_string(index)));
    }
    CHECK_FALSE(is_granted(first_daemon, "more"));
    finish(second_daemon, "r1");
    CHECK(is_granted(first_daemon, "again"));
}

TEST_CASE_FIXTURE(home_fixture,
                  "take_refusals, all slots taken, returns the refusal with its inputs") {
    for (int index = 0; index < 4; ++index) {
        REQUIRE(is_granted(first_daemon, "r" + std::to_string(index)));
    }
    REQUIRE_FALSE(is_granted(first_daemon, "more"));
    const auto refusals = cell_home.take_refusals();
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].cell == cell);
    const scheduling::refusal_inputs& inputs = refusals[0].refusal.inputs;
    CHECK(scheduling::to_string(inputs.last_obstacle) == std::string{"slots_full"});
    CHECK(inputs.prefill_engines == 2);
    CHECK(inputs.decode_engines == 1);
    CHECK(inputs.free_slots == 0);
    CHECK(cell_home.take_refusals().empty());
}

TEST_CASE_FIXTURE(home_fixture,
                  "acquire, refused prompt is resubmitted, is queued behind urgent requests") {
    for (int index = 0; index < 4; ++index) {
        REQUIRE(is_granted(first_daemon, "r" + std::to_string(index)));
    }
    const auto refused = submit(first_daemon, request("once", 77), 2s);
    REQUIRE(refused);
    REQUIRE(std::holds_alternative<rpc::refused>(*refused));
    CHECK(std::get<rpc::refused>(*refused).retry_after > 0ms);
    cell_home.handle(first_daemon, request("twice", 77));
    cell_home.handle(second_daemon, request("fresh", 78));
    finish(first_daemon, "r0");
    const auto answers = step();
    const auto granted =
        std::find_if(answers.begin(), answers.end(), [](const outgoing_message& out) {
            return std::holds_alternative<rpc::granted>(out.payload);
        });
    REQUIRE(granted != answers.end());
    CHECK(std::get<rpc::granted>(granted->payload).request == request_id{"fresh"});
}

TEST_CASE_FIXTURE(home_fixture, "register_grants, owner does not list a grant, grant is released") {
    REQUIRE(is_granted(first_daemon, "r1"));
    REQUIRE(is_granted(second_daemon, "r2"));
    // The release of r1 was sent while the daemon was disconnected.
    cell_home.handle(first_daemon, rpc::register_grants{cell, {}, true});
    CHECK(grants() == 1);
}

TEST_CASE_FIXTURE(home_fixture, "register_grants, grant issued by a former home, is adopted") {
    rpc::grant_record held;
    held.request = request_id{"r9"};
    held.attempt = attempt_number{1};
    held.decode_backend = backend_id{"x1"};
    held.prefill_backend = backend_id{"p1"};
    held.service = service_id{"model"};
    held.stage = rpc::grant_stage::transferring;
    held.prompt_tokens = 5'000;
    held.max_output_tokens = 8'000;
    cell_home.handle(first_daemon, rpc::register_grants{cell, {held}, true});
    CHECK(grants() == 1);
    // The grant is past its prefill, so no prefill is charged to any engine.
    for (const auto& row : cell_home.cells().at(cell).engines.rows()) {
        CHECK(row.prefills == 0);
    }
}

TEST_CASE_FIXTURE(home_fixture, "disconnect, daemon has a waiting request, request is withdrawn") {
    for (int index = 0; index < 4; ++index) {
        REQUIRE(is_granted(first_daemon, "r" + std::to_string(index)));
    }
    cell_home.handle(second_daemon, request("waits"));
    static_cast<void>(step());
    cell_home.disconnect(second_daemon);
    CHECK_FALSE(cell_home.has_waiting());
}

TEST_CASE_FIXTURE(home_fixture, "tick, daemon is not renewed, its grants expire") {
    REQUIRE(is_granted(first_daemon, "r1"));
    for (int turn = 0; turn < 20; ++turn) {
        static_cast<void>(step(100ms));
    }
    CHECK(grants() == 0);
}

TEST_CASE_FIXTURE(home_fixture, "leave, waiting and later requests, are refused as leaving") {
    for (int index = 0; index < 4; ++index) {
        REQUIRE(is_granted(first_daemon, "r" + std::to_string(index)));
    }
    cell_home.handle(second_daemon, request("waits"));
    cell_home.leave();
    cell_home.handle(second_daemon, request("late"));
    const auto sent = cell_home.take_messages();
    REQUIRE(sent.size() == 2);
    for (const outgoing_message& out : sent) {
        CHECK(std::get<rpc::refused>(out.payload).reason == rpc::refusal_reason::leaving);
    }
}

TEST_CASE_FIXTURE(home_fixture, "leave, grants registered later, take up no cell again") {
    cell_home.leave();
    rpc::register_grants registration;
    registration.cell = cell;
    cell_home.handle(second_daemon, registration);
    cell_home.refresh_topology();
    CHECK(cell_home.cells().empty());
}

TEST_CASE_FIXTURE(home_fixture,
                  "release, engine had no room, accepts grants again within a second") {
    REQUIRE(is_granted(first_daemon, "r1"));
    cell_home.handle(
        first_daemon,
        rpc::release{
            request_id{"r1"}, attempt_number{1}, cell, rpc::release_outcome::no_room, 0, {}});
    CHECK(grants() == 0);
    CHECK(is_granted(first_daemon, "r2"));
}

TEST_CASE_FIXTURE(home_fixture,
                  "prompt, engines have crashed with its part, is refused at once and told when") {
    rpc::acquire harmful = request("r1");
    harmful.prompt_parts = {1, 666};
    for (const char* id : {"r1", "r2"}) {
        harmful.request = request_id{id};
        const auto granted = submit(first_daemon, harmful);
        REQUIRE(granted);
        REQUIRE(std::holds_alternative<rpc::granted>(*granted));
        cell_home.handle(first_daemon, rpc::release{harmful.request,
                                                    attempt_number{1},
                                                    cell,
                                                    rpc::release_outcome::engine_crashed,
                                                    0,
                                                    {},
                                                    harmful.prompt_parts});
        time.advance(2s);
        cell_home.renew(first_daemon);
    }
    harmful.request = request_id{"r3"};
    const auto answer = submit(second_daemon, harmful);
    REQUIRE(answer);
    REQUIRE(std::holds_alternative<rpc::refused>(*answer));
    CHECK(std::get<rpc::refused>(*answer).reason == rpc::refusal_reason::crashes_engines);
    CHECK(std::get<rpc::refused>(*answer).retry_after > 0ms);
    const auto known = cell_home.take_changed_suspects();
    REQUIRE(known);
    home next_home{time, make_policy(), [this](const cell_id&) { return topology; }};
    next_home.handle(second_daemon, *known);
    harmful.request = request_id{"r4"};
    next_home.handle(second_daemon, harmful);
    next_home.tick();
    const auto messages = next_home.take_messages();
    REQUIRE(messages.size() == 1);
    CHECK(std::holds_alternative<rpc::refused>(messages.front().payload));
}
