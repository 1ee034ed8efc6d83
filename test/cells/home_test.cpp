#include "src/cells/home.hpp"
#include "src/core/manual_clock.hpp"

#include <algorithm>
#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::cells;

const cell_id pool{"model"};
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
    cell_topology parts;
    home decided{time, make_policy(), [this](const cell_id&) { return parts; }};

    home_fixture() {
        parts.engines = {engine("p1", backend_role::prefill), engine("p2", backend_role::prefill),
                         engine("x1", backend_role::decode)};
        scheduling::service_spec service;
        service.id = service_id{"model"};
        parts.services = {service};
    }
    static scheduling::cell_policy make_policy() {
        scheduling::cell_policy policy;
        policy.forecasts_memory = true;
        policy.local_prefill_tokens = 0;
        policy.owner_timeout = 1500ms;
        return policy;
    }
    static rpc::acquire request(const std::string& id, std::uint64_t prompt_key = 0) {
        rpc::acquire asked;
        asked.request = request_id{id};
        asked.attempt = attempt_number{1};
        asked.cell = pool;
        asked.service = service_id{"model"};
        asked.work_rank = rank::urgent;
        asked.prompt_tokens = 5'000;
        asked.expected_output_tokens = 4'000;
        asked.max_output_tokens = 8'000;
        asked.first_token_target = 800ms;
        asked.late_first_token_target = 2400ms;
        asked.prompt_key = prompt_key;
        return asked;
    }
    std::vector<outgoing_message> step(duration by = 5ms) {
        time.advance(by);
        decided.tick();
        return decided.take_messages();
    }
    /// Asks and steps until the request has an answer or the time is over.
    std::optional<rpc::message> ask(const daemon_id& from, const rpc::acquire& asked,
                                    duration within = 1s) {
        decided.handle(from, asked);
        for (duration passed{0}; passed < within; passed += 5ms) {
            for (const outgoing_message& out : step()) {
                if (out.destination == from) {
                    return out.payload;
                }
            }
            decided.renew(first_daemon);
            decided.renew(second_daemon);
        }
        return std::nullopt;
    }
    bool is_granted(const daemon_id& from, const std::string& id, std::uint64_t key = 0) {
        const auto answer = ask(from, request(id, key));
        const bool granted = answer && std::holds_alternative<rpc::granted>(*answer);
        if (granted) {
            decided.handle(from,
                           rpc::prefill_finished{request_id{id}, attempt_number{1}, pool, 0, {}});
            decided.handle(from, rpc::first_token{request_id{id}, attempt_number{1}, pool, {}});
        }
        return granted;
    }
    void finish(const daemon_id& from, const std::string& id) {
        decided.handle(from, rpc::release{request_id{id},
                                          attempt_number{1},
                                          pool,
                                          rpc::release_outcome::completed,
                                          4'000,
                                          {}});
    }
    [[nodiscard]] std::size_t grants() const { return decided.cells().at(pool).grants.size(); }
};

} // namespace

TEST_CASE_FIXTURE(home_fixture, "acquire, engines free, granted with both engines") {
    const auto answer = ask(first_daemon, request("r1"));
    REQUIRE(answer);
    const auto& granted = std::get<rpc::granted>(*answer);
    CHECK(granted.decode_backend == backend_id{"x1"});
    CHECK(granted.prefill_backend.str().starts_with("p"));
}

TEST_CASE_FIXTURE(home_fixture, "acquire, all slots taken by two daemons, next one is refused") {
    for (int index = 0; index < 4; ++index) {
        const daemon_id& from = index % 2 == 0 ? first_daemon : second_daemon;
        REQUIRE(is_granted(from, "r" + std::to_string(index)));
    }
    CHECK_FALSE(is_granted(first_daemon, "more"));
    finish(second_daemon, "r1");
    CHECK(is_granted(first_daemon, "again"));
}

TEST_CASE_FIXTURE(home_fixture, "take_refusals, slots taken, tells what the refusal rests on") {
    for (int index = 0; index < 4; ++index) {
        REQUIRE(is_granted(first_daemon, "r" + std::to_string(index)));
    }
    REQUIRE_FALSE(is_granted(first_daemon, "more"));
    const auto refused = decided.take_refusals();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].cell == pool);
    const scheduling::refusal_inputs& inputs = refused[0].refusal.inputs;
    CHECK(scheduling::to_string(inputs.last_obstacle) == std::string{"slots_full"});
    CHECK(inputs.prefill_engines == 2);
    CHECK(inputs.decode_engines == 1);
    CHECK(inputs.free_slots == 0);
    CHECK(decided.take_refusals().empty());
}

TEST_CASE_FIXTURE(home_fixture, "acquire, refused prompt comes back, goes behind urgent work") {
    for (int index = 0; index < 4; ++index) {
        REQUIRE(is_granted(first_daemon, "r" + std::to_string(index)));
    }
    const auto refused = ask(first_daemon, request("once", 77), 2s);
    REQUIRE(refused);
    REQUIRE(std::holds_alternative<rpc::refused>(*refused));
    CHECK(std::get<rpc::refused>(*refused).retry_after > 0ms);
    decided.handle(first_daemon, request("twice", 77));
    decided.handle(second_daemon, request("fresh", 78));
    finish(first_daemon, "r0");
    const auto answers = step();
    const auto granted =
        std::find_if(answers.begin(), answers.end(), [](const outgoing_message& out) {
            return std::holds_alternative<rpc::granted>(out.payload);
        });
    REQUIRE(granted != answers.end());
    CHECK(std::get<rpc::granted>(granted->payload).request == request_id{"fresh"});
}

TEST_CASE_FIXTURE(home_fixture, "register_grants, grant that its owner no longer has, is dropped") {
    REQUIRE(is_granted(first_daemon, "r1"));
    REQUIRE(is_granted(second_daemon, "r2"));
    // The end of r1 was told while the daemon was not connected.
    decided.handle(first_daemon, rpc::register_grants{pool, {}, true});
    CHECK(grants() == 1);
}

TEST_CASE_FIXTURE(home_fixture, "register_grants, place of a former home, counts here") {
    rpc::grant_record held;
    held.request = request_id{"r9"};
    held.attempt = attempt_number{1};
    held.decode_backend = backend_id{"x1"};
    held.prefill_backend = backend_id{"p1"};
    held.service = service_id{"model"};
    held.stage = rpc::grant_stage::transferring;
    held.prompt_tokens = 5'000;
    held.max_output_tokens = 8'000;
    decided.handle(first_daemon, rpc::register_grants{pool, {held}, true});
    CHECK(grants() == 1);
    // Its prefill is over, so the prefill engines are free.
    for (const auto& row : decided.cells().at(pool).engines.rows()) {
        CHECK(row.prefills == 0);
    }
}

TEST_CASE_FIXTURE(home_fixture, "disconnect, request of the lost daemon waits, is withdrawn") {
    for (int index = 0; index < 4; ++index) {
        REQUIRE(is_granted(first_daemon, "r" + std::to_string(index)));
    }
    decided.handle(second_daemon, request("waits"));
    static_cast<void>(step());
    decided.disconnect(second_daemon);
    CHECK_FALSE(decided.has_waiting());
}

TEST_CASE_FIXTURE(home_fixture, "tick, daemon silent, its grants lapse") {
    REQUIRE(is_granted(first_daemon, "r1"));
    for (int turn = 0; turn < 20; ++turn) {
        static_cast<void>(step(100ms));
    }
    CHECK(grants() == 0);
}

TEST_CASE_FIXTURE(home_fixture, "leave, requests wait or come, all are sent to the next home") {
    for (int index = 0; index < 4; ++index) {
        REQUIRE(is_granted(first_daemon, "r" + std::to_string(index)));
    }
    decided.handle(second_daemon, request("waits"));
    decided.leave();
    decided.handle(second_daemon, request("late"));
    const auto sent = decided.take_messages();
    REQUIRE(sent.size() == 2);
    for (const outgoing_message& out : sent) {
        CHECK(std::get<rpc::refused>(out.payload).reason == rpc::refusal_reason::leaving);
    }
}

TEST_CASE_FIXTURE(home_fixture, "release, engine had no room, is held back for a short time only") {
    REQUIRE(is_granted(first_daemon, "r1"));
    decided.handle(
        first_daemon,
        rpc::release{
            request_id{"r1"}, attempt_number{1}, pool, rpc::release_outcome::no_room, 0, {}});
    CHECK(grants() == 0);
    CHECK(is_granted(first_daemon, "r2"));
}
