#include "cicadahatch/core"
#include "cicadahatch/rpc"
#include "src/rpc/internal/batch_json.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::rpc;

constexpr std::uint64_t seed = 7;

grant_record some_grant() {
    return {request_id{"r9"},
            attempt_number{2},
            77,
            daemon_id{"d1"},
            incarnation{1700000000000},
            service_id{"s"},
            team_id{"t"},
            rank::urgent,
            grant_stage::decoding,
            backend_id{"p"},
            backend_id{"q"},
            30'000,
            400,
            12,
            1500ms};
}

member_record some_member() {
    return {daemon_id{"d2"},       domain_id{"a"}, {"10.0.0.2", 7400}, incarnation{5}, 9,
            member_status::suspect};
}

/// One message of each kind, every field away from its default.
batch one_of_each() {
    const request_id request{"r1"};
    const attempt_number attempt{3};
    const cell_id cell{"c1"};
    batch sent;
    sent.sequence = 42;
    sent.messages = {
        acquire{request,
                attempt,
                cell,
                service_id{"s"},
                model_id{"m"},
                team_id{"t"},
                rank::urgent,
                1,
                2,
                3,
                5ms,
                730ms,
                43ms,
                9s,
                {1, UINT64_MAX},
                64,
                900,
                77,
                1600ms,
                2,
                {backend_id{"x"}},
                {25, 26}},
        granted{request, attempt, cell, 8, backend_id{"p"}, backend_id{"q"}, 4, 5, 7us, 8us},
        refused{request, attempt, cell, refusal_reason::not_home, 20ms, daemon_id{"h"}},
        prefill_finished{request, attempt, cell, 6, 9us},
        first_token{request, attempt, cell, 10us, {27}},
        release{request, attempt, cell, release_outcome::engine_crashed, 11, 12us, {28}},
        withdraw{request, attempt, cell},
        register_grants{cell, {some_grant()}, false},
        copy_grants{cell, 13, true, {some_grant()}, {request}},
        request_registration{cell},
        gossip{some_member(),
               {{daemon_id{"d3"}, incarnation{4}, 5}},
               {{domain_id{"b"}, 6ms}},
               {some_member()},
               {{payload_kind::drain, "k", 7, std::string("\x00\xff", 2)}},
               19},
        sync_request{some_member(), 15},
        sync_reply{16, true, {some_member()}, {}},
        fetch_configuration{revision{17}},
        configuration_shard{revision{18}, "n", 1, 3, "v"},
        engine_leaving{cell, backend_id{"x"}, incarnation{20}},
        registry_look{revision{21},
                      revision{23},
                      {{"k", std::string("\x00\xff", 2), revision{22}, false},
                       {"gone", "", revision{23}, true}},
                      24ms},
        crashing_parts{{{29, 30, {29, 31}, 32ms}}},
        registry_ping{33},
        registry_age{34, 35ms},
        usage_request{36, team_id{"t"}, 37, 38},
        usage_answer{39, true, true, true, 40, 41ms},
        usage_return{team_id{"t"}, 42},
        usage_presence{43}};
    return sent;
}

} // namespace

TEST_CASE("batch, one message of each kind, decodes to the same") {
    const batch sent = one_of_each();
    REQUIRE(sent.messages.size() == std::variant_size_v<message>);
    const auto decoded = decode_batch(encode_batch(sent));
    REQUIRE(decoded);
    CHECK(internal::batch_json(*decoded) == internal::batch_json(sent));
}

TEST_CASE("batch, every truncation, is malformed") {
    const std::string bytes = encode_batch(one_of_each());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CAPTURE(size);
        CHECK(decode_batch(bytes.substr(0, size)).error() == errc::malformed);
    }
}

TEST_CASE("batch, random changes of bytes, never stops the process") {
    const std::string bytes = encode_batch(one_of_each());
    random_source random{seed};
    CAPTURE(seed);
    int refused_count = 0;
    for (int round = 0; round < 20'000; ++round) {
        std::string hostile = bytes;
        for (std::uint64_t change = 0; change <= random.below(4); ++change) {
            hostile[random.below(hostile.size())] = static_cast<char>(random.below(256));
        }
        refused_count += decode_batch(hostile) ? 0 : 1;
    }
    CHECK(refused_count > 0);
}

TEST_CASE("batch, deep nesting or huge announced counts, is refused without following them") {
    CHECK_FALSE(decode_batch(std::string(1'000'000, '\x91')));
    CHECK_FALSE(decode_batch(std::string("\x92\x01\xdd\xff\xff\xff\xff", 7)));
    CHECK_FALSE(decode_batch(std::string("\xdb\xff\xff\xff\xff", 5)));
    CHECK(decode_batch(std::string(max_batch_bytes + 1, '\x01')).error() == errc::too_large);
}

TEST_CASE("batch, field of the wrong type or range, is malformed") {
    const batch sent{1, {refused{request_id{"r"}, attempt_number{1}, cell_id{"c"}, {}, 1ms, {}}}};
    const auto refused_with = [&](std::size_t field, const nlohmann::json& value) {
        nlohmann::json changed = internal::batch_json(sent);
        changed[1][0][field] = value;
        std::string bytes;
        nlohmann::json::to_msgpack(changed, bytes);
        return decode_batch(bytes).has_value();
    };
    CHECK(refused_with(2, 1));
    CHECK_FALSE(refused_with(1, 5));
    CHECK_FALSE(refused_with(1, std::string(max_name_bytes + 1, 'x')));
    CHECK_FALSE(refused_with(2, -1));
    CHECK_FALSE(refused_with(2, 1ULL << 40U));
    CHECK_FALSE(refused_with(4, 200));
    CHECK_FALSE(refused_with(5, UINT64_MAX));
    CHECK_FALSE(refused_with(5, nullptr));
}

TEST_CASE("batch, kind or field of a newer build, is passed over") {
    nlohmann::json newer =
        internal::batch_json({1, {request_registration{cell_id{"c"}}, withdraw{}}});
    newer[1][0].push_back({"appended", {1, 2}});
    newer[1].insert(newer[1].begin(), nlohmann::json::array({99, "unknown", {1, {2}}}));
    std::string bytes;
    nlohmann::json::to_msgpack(newer, bytes);
    const auto decoded = decode_batch(bytes);
    REQUIRE(decoded);
    REQUIRE(decoded->messages.size() == 2);
    CHECK(std::get<request_registration>(decoded->messages[0]).cell == cell_id{"c"});
}
