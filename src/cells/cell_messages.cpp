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

scheduling::request_spec to_spec(const daemon_id& owner, const rpc::acquire& request,
                                 time_point now) {
    scheduling::request_spec spec;
    spec.id = attempt_key(request.request, request.attempt);
    spec.owner = owner;
    spec.service = request.service;
    spec.model = request.model;
    spec.team = request.team;
    spec.rank = request.work_rank;
    spec.level = request.level;
    spec.avoided = request.avoided;
    spec.prompt_tokens = request.prompt_tokens + request.generated_tokens;
    spec.expected_output_tokens = request.expected_output_tokens;
    spec.max_output_tokens = request.max_output_tokens;
    spec.prefix_hashes = request.prefix_hashes;
    spec.block_tokens = std::max<std::uint32_t>(request.prefix_block_tokens, 1);
    spec.arrived = now - request.waited;
    spec.first_token = request.first_token_target;
    spec.between_tokens = request.between_tokens_target;
    if (request.gives_up_after.count() > 0) {
        spec.deadline = now + request.gives_up_after;
    }
    return spec;
}

rpc::granted to_granted(const cell_id& cell, const scheduling::grant& grant) {
    const engines::attempt_id attempt = parse_attempt_key(grant.request);
    rpc::granted answer;
    answer.request = attempt.request;
    answer.attempt = attempt.number;
    answer.cell = cell;
    answer.grant = grant.number;
    answer.prefill_backend = grant.prefill;
    answer.decode_backend = grant.decode;
    answer.expected_cached_tokens = grant.expected_cached_tokens;
    answer.kv_pieces = grant.pieces;
    answer.predicted_first_token = duration_cast<microseconds>(grant.predicted_first_token);
    return answer;
}

rpc::refused to_refused(const cell_id& cell, const scheduling::refusal& refusal) {
    const engines::attempt_id attempt = parse_attempt_key(refusal.request);
    rpc::refused answer;
    answer.request = attempt.request;
    answer.attempt = attempt.number;
    answer.cell = cell;
    answer.reason = to_refusal_reason(refusal.reason);
    answer.retry_after = duration_cast<milliseconds>(refusal.retry_after);
    return answer;
}

rpc::grant_record to_record(const scheduling::live_grant& live, time_point now) {
    const engines::attempt_id attempt = parse_attempt_key(live.id);
    rpc::grant_record record;
    record.request = attempt.request;
    record.attempt = attempt.number;
    record.grant = live.issued.number;
    record.holder = live.issued.owner;
    record.service = live.service;
    record.work_rank = live.rank;
    record.prefill_backend = live.issued.prefill;
    record.decode_backend = live.issued.decode;
    record.prompt_tokens = live.prompt_tokens;
    record.expected_output_tokens = live.expected_output_tokens;
    record.max_output_tokens = static_cast<std::uint32_t>(live.output.max_tokens);
    record.kv_pieces = live.issued.pieces;
    record.between_tokens_target = duration_cast<microseconds>(live.between_tokens);
    record.age = duration_cast<milliseconds>(now - live.granted_at);
    return record;
}

suspect_part to_suspect(const rpc::crashing_part& known, time_point now) {
    suspect_part suspect;
    suspect.crashes = known.crashes;
    suspect.common = to_prompt_parts(known.common);
    suspect.next_trial_at = now + known.until_trial;
    return suspect;
}

rpc::crashing_parts to_message(const crash_suspects& suspects, time_point now) {
    rpc::crashing_parts message;
    for (const auto& [part, suspect] : suspects.parts) {
        const duration until_trial = std::max(duration{0}, suspect.next_trial_at - now);
        message.parts.push_back({part, suspect.crashes, suspect.common,
                                 std::chrono::ceil<std::chrono::milliseconds>(until_trial)});
    }
    return message;
}

scheduling::live_grant to_live_grant(const daemon_id& owner, const rpc::grant_record& record,
                                     time_point now) {
    scheduling::live_grant live;
    live.id = attempt_key(record.request, record.attempt);
    live.issued.number = record.grant;
    live.issued.request = live.id;
    live.issued.owner = owner;
    live.issued.prefill = record.prefill_backend;
    live.issued.decode = record.decode_backend;
    live.issued.pieces = record.kv_pieces;
    live.service = record.service;
    live.rank = record.work_rank;
    live.stage = to_stage(record.stage);
    live.granted_at = now - record.age;
    live.decode_began = now;
    live.last_heartbeat = now;
    live.between_tokens = record.between_tokens_target;
    live.prompt_tokens = record.prompt_tokens;
    live.expected_output_tokens = record.expected_output_tokens;
    live.output_hint = record.expected_output_tokens;
    live.output = scheduling::estimate({}, record.expected_output_tokens, record.max_output_tokens);
    return live;
}

} // namespace cicadahatch::cells
