#include "src/forwarding/relay_answer.hpp"

#include "src/forwarding/header_fields.hpp"

namespace cicadahatch::forwarding {

namespace {

metrics::request_outcome outcome_of(const request_context& request, unsigned status) {
    if (request.ended() == ending::caller_left) {
        return metrics::request_outcome::canceled;
    }
    if (is_success(status)) {
        return metrics::request_outcome::completed;
    }
    const bool is_refusal =
        status == static_cast<unsigned>(beast_http::status::service_unavailable);
    return is_refusal ? metrics::request_outcome::refused : metrics::request_outcome::failed;
}

void count_end(gateway_state& state, const request_context& request, unsigned status,
               std::string_view reason) {
    metrics::request_observation seen;
    const routing::route& of = request.route();
    seen.service = of.services.empty() ? service_id{} : of.services.front().service;
    const bool goes_first = request.table().priority_level(of, seen.service) == 0;
    seen.work_rank = goes_first ? rank::urgent : rank::deferrable;
    seen.outcome = outcome_of(request, status);
    if (seen.outcome == metrics::request_outcome::refused) {
        seen.reason = metrics::refusal_reason{std::string{reason}};
    }
    const bool has_begun = request.answered_at() != time_point{};
    seen.first_token = (has_begun ? request.answered_at() : state.time.now()) - request.arrived();
    seen.between_tokens = request.longest_gap();
    seen.first_token_target = of.objective;
    seen.between_tokens_target = of.inter_event_objective;
    state.recorded.record(seen);
}

} // namespace

caller_answer to_caller(full_response answer) {
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

bool is_sound(const full_response& answer) {
    return !is_success(answer.status) || answer.metadata.is_signed;
}

void log_end(gateway_state& state, const request_context& request, unsigned status,
             std::string_view outcome, std::string_view reason, unsigned sends) {
    count_end(state, request, status, reason);
    const duration taken = state.time.now() - request.arrived();
    const bool has_begun = request.answered_at() != time_point{};
    const duration first_event =
        has_begun ? request.answered_at() - request.arrived() : duration{0};
    const auto matters = is_success(status) ? logging::weight::routine : logging::weight::notable;
    state.log.write(matters, "request.end",
                    {{"request", request.metadata().id.str()},
                     {"route", request.route().name},
                     {"version", request.table().version()},
                     {"status", status},
                     {"outcome", outcome},
                     {"reason", reason},
                     {"ending", to_string(request.ended())},
                     {"sends", sends},
                     {"first_event_ms", first_event},
                     {"longest_gap_ms", request.longest_gap()},
                     {"taken_ms", taken}});
}

} // namespace cicadahatch::forwarding
