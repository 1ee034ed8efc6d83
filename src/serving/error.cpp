#include "src/serving/error.hpp"

#include <string>

namespace cicadahatch::serving {

namespace {

/// The messages are the codes that callers see; they are part of the interface.
const char* code_of(errc code) {
    switch (code) {
    case errc::bad_json:
        return "bad_json";
    case errc::bad_utf8:
        return "bad_utf8";
    case errc::bad_field:
        return "bad_field";
    case errc::bad_header:
        return "bad_header";
    case errc::unknown_service:
        return "unknown_service";
    case errc::unknown_path:
        return "unknown_path";
    case errc::method_not_allowed:
        return "method_not_allowed";
    case errc::prompt_too_long:
        return "prompt_too_long";
    case errc::output_too_long:
        return "output_too_long";
    case errc::overloaded:
        return "overloaded";
    case errc::deadline_unreachable:
        return "deadline_unreachable";
    case errc::no_backend:
        return "no_backend";
    case errc::not_ready:
        return "not_ready";
    case errc::shutting_down:
        return "shutting_down";
    case errc::backend_failed:
        return "backend_failed";
    case errc::key_required:
        return "key_required";
    case errc::key_reused:
        return "key_reused";
    case errc::key_expired:
        return "key_expired";
    case errc::already_completed:
        return "already_completed";
    case errc::in_progress:
        return "in_progress";
    case errc::outcome_unknown:
        return "outcome_unknown";
    case errc::store_unavailable:
        return "store_unavailable";
    case errc::unauthorized:
        return "unauthorized";
    case errc::caller_gone:
        return "caller_gone";
    }
    return "unknown";
}

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "serving"; }
    [[nodiscard]] std::string message(int value) const override {
        return code_of(static_cast<errc>(value));
    }
};

} // namespace

const std::error_category& serving_category() noexcept {
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc code) noexcept {
    return {static_cast<int>(code), serving_category()};
}

bool is_callers_doing(errc code) noexcept {
    switch (code) {
    case errc::bad_json:
    case errc::bad_utf8:
    case errc::bad_field:
    case errc::bad_header:
    case errc::unknown_service:
    case errc::unknown_path:
    case errc::method_not_allowed:
    case errc::prompt_too_long:
    case errc::output_too_long:
    case errc::key_required:
    case errc::key_reused:
    case errc::key_expired:
    case errc::already_completed:
    case errc::in_progress:
    case errc::outcome_unknown:
    case errc::unauthorized:
    case errc::caller_gone:
        return true;
    case errc::overloaded:
    case errc::deadline_unreachable:
    case errc::no_backend:
    case errc::not_ready:
    case errc::shutting_down:
    case errc::backend_failed:
    case errc::store_unavailable:
        return false;
    }
    return false;
}

} // namespace cicadahatch::serving
