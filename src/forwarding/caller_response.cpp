#include "src/forwarding/caller_response.hpp"

#include "src/forwarding/constants.hpp"
#include "src/forwarding/header_fields.hpp"

namespace cicadahatch::forwarding {

namespace {

metrics::request_outcome outcome_of(const request_context& request, unsigned status) {
    if (request.end_reason() == request_end_reason::caller_left) {
        return metrics::request_outcome::canceled;
    }
    if (is_success(status)) {
        return metrics::request_outcome::completed;
    }
    const bool is_refusal =
        status == static_cast<unsigned>(beast_http::status::service_unavailable);
    return is_refusal ? metrics::request_outcome::refused : metrics::request_outcome::failed;
}

void record_metrics(gateway_state& state, const request_context& request, unsigned status,
                    std::string_view reason) {
    metrics::request_observation observation;
    const routing::route& route = request.route();
    observation.service = route.services.empty() ? service_id{} : route.services.front().service;
    const bool is_highest_priority =
        request.table().priority_level(route, observation.service, request.owner()) == 0;
    observation.work_rank = is_highest_priority ? rank::urgent : rank::deferrable;
    observation.outcome = outcome_of(request, status);
    if (observation.outcome == metrics::request_outcome::refused) {
        observation.reason = metrics::refusal_reason{std::string{reason}};
    }
    observation.first_token =
        (request.has_response_begun() ? request.first_part_at() : state.time.now()) -
        request.arrived();
    observation.between_tokens = request.longest_gap();
    observation.first_token_target = route.objective;
    observation.between_tokens_target = route.inter_event_objective;
    state.request_recorder.record(observation);
}

} // namespace

caller_response make_caller_response(full_response received) {
    caller_response response;
    static_cast<field_map&>(response) = std::move(received.head);
    // The response to a HEAD request states the length of a body that it does not carry.
    const std::string length{response[beast_http::field::content_length]};
    remove_connection_fields(response);
    if (received.body.empty() && !length.empty()) {
        response.set(beast_http::field::content_length, length);
    }
    response.result(received.status);
    response.body() = std::move(received.body);
    return response;
}

bool is_valid_response(const full_response& response) {
    return !is_success(response.status) || response.metadata.is_signed;
}

caller_response make_failure_response(const gateway_state& state, const request_context& request,
                                      execution_state execution,
                                      std::chrono::milliseconds retry_after) {
    const request_end_reason reason = request.end_reason();
    if (execution == execution_state::not_executed &&
        reason == request_end_reason::access_withdrawn) {
        return unauthorized_response(state.wire.authentication_scheme);
    }
    const bool is_stopping = reason == request_end_reason::stopping;
    return failure_response(execution, reason, is_stopping ? shutdown_retry_after : retry_after);
}

void record_request_end(gateway_state& state, const request_context& request, unsigned status,
                        std::string_view outcome, std::string_view reason, unsigned sends) {
    record_metrics(state, request, status, reason);
    const duration elapsed = state.time.now() - request.arrived();
    const duration first_event =
        request.has_response_begun() ? request.first_part_at() - request.arrived() : duration{0};
    const auto weight = is_success(status) ? logging::weight::routine : logging::weight::notable;
    state.log.write(weight, "request.end",
                    {{"request", request.metadata().id.str()},
                     {"route", request.route().name},
                     {"version", request.table().version()},
                     {"status", status},
                     {"outcome", outcome},
                     {"reason", reason},
                     {"ending", to_string(request.end_reason())},
                     {"sends", sends},
                     {"first_event_ms", first_event},
                     {"longest_gap_ms", request.longest_gap()},
                     {"taken_ms", elapsed}});
}

} // namespace cicadahatch::forwarding
