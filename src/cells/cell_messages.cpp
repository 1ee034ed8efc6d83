#include "src/cells/cell_messages.hpp"

#include "src/cells/wire_conversions.hpp"

#include <algorithm>

namespace cicadahatch::cells {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

scheduling::stage to_stage(rpc::grant_stage stage) {
    switch (stage) {
    case rpc::grant_stage::decoding:
        return scheduling::stage::decode;
    case rpc::grant_stage::transferring:
        return scheduling::stage::transfer;
    case rpc::grant_stage::granted:
    case rpc::grant_stage::prefilling:
        return scheduling::stage::prefill;
    }
    return scheduling::stage::prefill;
}

} // namespace

scheduling::request_spec to_spec(const daemon_id& owner, const rpc::acquire& asked,
                                 time_point now) {
    scheduling::request_spec spec;
    spec.id = attempt_key(asked.request, asked.attempt);
    spec.owner = owner;
    spec.service = asked.service;
    spec.model = asked.model;
    spec.team = asked.team;
    spec.rank = asked.work_rank;
    spec.level = asked.level;
    spec.avoided = asked.avoided;
    spec.prompt_tokens = asked.prompt_tokens + asked.generated_tokens;
    spec.expected_output_tokens = asked.expected_output_tokens;
    spec.max_output_tokens = asked.max_output_tokens;
    spec.prefix_hashes = asked.prefix_hashes;
    spec.block_tokens = std::max<std::uint32_t>(asked.prefix_block_tokens, 1);
    spec.arrived = now - asked.waited;
    spec.first_token = asked.first_token_target;
    spec.between_tokens = asked.between_tokens_target;
    if (asked.gives_up_after.count() > 0) {
        spec.deadline = now + asked.gives_up_after;
    }
    return spec;
}

rpc::granted to_granted(const cell_id& cell, const scheduling::grant& issued) {
    const engines::attempt_id attempt = parse_attempt_key(issued.request);
    rpc::granted told;
    told.request = attempt.request;
    told.attempt = attempt.number;
    told.cell = cell;
    told.grant = issued.number;
    told.prefill_backend = issued.prefill;
    told.decode_backend = issued.decode;
    told.expected_cached_tokens = issued.expected_cached_tokens;
    told.kv_pieces = issued.pieces;
    told.predicted_first_token = duration_cast<microseconds>(issued.predicted_first_token);
    return told;
}

rpc::refused to_refused(const cell_id& cell, const scheduling::refusal& refusal) {
    const engines::attempt_id attempt = parse_attempt_key(refusal.request);
    rpc::refused told;
    told.request = attempt.request;
    told.attempt = attempt.number;
    told.cell = cell;
    told.reason = to_refusal_reason(refusal.reason);
    told.retry_after = duration_cast<milliseconds>(refusal.retry_after);
    return told;
}

rpc::grant_record to_record(const scheduling::live_grant& held, time_point now) {
    const engines::attempt_id attempt = parse_attempt_key(held.id);
    rpc::grant_record record;
    record.request = attempt.request;
    record.attempt = attempt.number;
    record.grant = held.issued.number;
    record.holder = held.issued.owner;
    record.service = held.service;
    record.work_rank = held.rank;
    record.prefill_backend = held.issued.prefill;
    record.decode_backend = held.issued.decode;
    record.prompt_tokens = held.prompt_tokens;
    record.expected_output_tokens = held.expected_output_tokens;
    record.max_output_tokens = static_cast<std::uint32_t>(held.output.max_tokens);
    record.kv_pieces = held.issued.pieces;
    record.between_tokens_target = duration_cast<microseconds>(held.between_tokens);
    record.age = duration_cast<milliseconds>(now - held.granted_at);
    return record;
}

scheduling::live_grant to_live_grant(const daemon_id& owner, const rpc::grant_record& record,
                                     time_point now) {
    scheduling::live_grant held;
    held.id = attempt_key(record.request, record.attempt);
    held.issued.number = record.grant;
    held.issued.request = held.id;
    held.issued.owner = owner;
    held.issued.prefill = record.prefill_backend;
    held.issued.decode = record.decode_backend;
    held.issued.pieces = record.kv_pieces;
    held.service = record.service;
    held.rank = record.work_rank;
    held.stage = to_stage(record.stage);
    held.granted_at = now - record.age;
    held.decode_began = now;
    held.last_heartbeat = now;
    held.between_tokens = record.between_tokens_target;
    held.prompt_tokens = record.prompt_tokens;
    held.expected_output_tokens = record.expected_output_tokens;
    held.output_hint = record.expected_output_tokens;
    held.output = scheduling::estimate({}, record.expected_output_tokens, record.max_output_tokens);
    return held;
}

} // namespace cicadahatch::cells
