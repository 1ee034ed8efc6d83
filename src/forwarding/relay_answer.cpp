#include "src/forwarding/relay_answer.hpp"

#include "src/forwarding/header_fields.hpp"

namespace cicadahatch::forwarding {

namespace {

metrics::request_outcome outcome_of(const request_life& life, unsigned status) {
    if (life.ended() == ending::caller_left) {
        return metrics::request_outcome::canceled;
    }
    if (is_success(status)) {
        return metrics::request_outcome::completed;
    }
    const bool is_refusal =
        status == static_cast<unsigned>(beast_http::status::service_unavailable);
    return is_refusal ? metrics::request_outcome::refused : metrics::request_outcome::failed;
}

void count_end(gateway_state& state, const request_life& life, unsigned status,
               std::string_view reason) {
    metrics::request_observation seen;
    const routing::route& of = life.route();
    seen.service = of.services.empty() ? service_id{} : of.services.front().service;
    const bool goes_first = life.table().level_of(of, seen.service) == 0;
    seen.work_rank = goes_first ? rank::urgent : rank::deferrable;
    seen.outcome = outcome_of(life, status);
    if (seen.outcome == metrics::request_outcome::refused) {
        seen.reason = metrics::refusal_reason{std::string{reason}};
    }
    const bool has_begun = life.answered_at() != time_point{};
    seen.first_token = (has_begun ? life.answered_at() : state.time.now()) - life.arrived();
    seen.between_tokens = life.longest_gap();
    seen.first_token_target = of.objective;
    seen.between_tokens_target = of.gap_objective;
    state.recorded.record(seen);
}

} // namespace

caller_answer to_caller(whole_answer answer) {
    caller_answer made;
    static_cast<field_map&>(made) = std::move(answer.head);
    // The answer to a HEAD request states the length of a body that it does not carry.
    const std::string length{made[beast_http::field::content_length]};
    remove_connection_fields(made);
    if (answer.body.empty() && !length.empty()) {
        made.set(beast_http::field::content_length, length);
    }
    made.result(answer.status);
    made.body() = std::move(answer.body);
    return made;
}

bool is_sound(const whole_answer& answer) {
    return !is_success(answer.status) || answer.facts.is_signed;
}

void log_end(gateway_state& state, const request_life& life, unsigned status,
             std::string_view outcome, std::string_view reason, unsigned sends) {
    count_end(state, life, status, reason);
    const duration taken = state.time.now() - life.arrived();
    const bool has_begun = life.answered_at() != time_point{};
    const duration first_event = has_begun ? life.answered_at() - life.arrived() : duration{0};
    const auto matters = is_success(status) ? logging::weight::routine : logging::weight::notable;
    state.log.write(matters, "request.end",
                    {{"request", life.facts().id.str()},
                     {"route", life.route().name},
                     {"version", life.table().version()},
                     {"status", status},
                     {"outcome", outcome},
                     {"reason", reason},
                     {"ending", to_string(life.ended())},
                     {"sends", sends},
                     {"first_event_ms", first_event},
                     {"longest_gap_ms", life.longest_gap()},
                     {"taken_ms", taken}});
}

} // namespace cicadahatch::forwarding
