#include "src/cells/wire_conversions.hpp"

#include "src/core/macros.hpp"
#include "src/scheduling/error.hpp"

#include <charconv>

namespace cicadahatch::cells {

namespace {

constexpr char separator = '#';

} // namespace

request_id attempt_key(const request_id& request, attempt_number attempt) {
    return request_id{request.str() + separator + std::to_string(attempt.value())};
}

engines::attempt_id parse_attempt_key(const request_id& key) {
    const std::string& encoded = key.str();
    const std::size_t split = encoded.rfind(separator);
    CICADAHATCH_ASSERT(split != std::string::npos, attempt_key_has_separator);
    std::uint32_t number = 0;
    std::from_chars(encoded.data() + split + 1, encoded.data() + encoded.size(), number);
    return {request_id{encoded.substr(0, split)}, attempt_number{number}};
}

scheduling::outcome to_outcome(rpc::release_outcome outcome) {
    switch (outcome) {
    case rpc::release_outcome::completed:
        return scheduling::outcome::completed;
    case rpc::release_outcome::prefill_failed:
        return scheduling::outcome::prefill_failed;
    case rpc::release_outcome::decode_failed:
    case rpc::release_outcome::engine_crashed:
        return scheduling::outcome::decode_failed;
    case rpc::release_outcome::caller_left:
        return scheduling::outcome::caller_left;
    case rpc::release_outcome::superseded:
        return scheduling::outcome::superseded;
    case rpc::release_outcome::no_room:
        return scheduling::outcome::no_room;
    }
    return scheduling::outcome::caller_left;
}

rpc::refusal_reason to_refusal_reason(const std::error_code& reason) {
    switch (static_cast<scheduling::errc>(reason.value())) {
    case scheduling::errc::queue_full:
        return rpc::refusal_reason::queue_full;
    case scheduling::errc::target_unreachable:
        return rpc::refusal_reason::target_unreachable;
    case scheduling::errc::deadline_passed:
        return rpc::refusal_reason::deadline_passed;
    case scheduling::errc::too_large:
        return rpc::refusal_reason::too_large;
    case scheduling::errc::no_engine:
        return rpc::refusal_reason::no_engine;
    case scheduling::errc::unknown_service:
        return rpc::refusal_reason::unknown_service;
    case scheduling::errc::duplicate_request:
    case scheduling::errc::unknown_request:
        return rpc::refusal_reason::duplicate_request;
    case scheduling::errc::retry_budget_spent:
        return rpc::refusal_reason::retry_budget_spent;
    case scheduling::errc::registration_pending:
        return rpc::refusal_reason::registration_pending;
    }
    return rpc::refusal_reason::no_engine;
}

} // namespace cicadahatch::cells
