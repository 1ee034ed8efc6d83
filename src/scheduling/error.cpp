#include "src/scheduling/error.hpp"

#include <string>

namespace cicadahatch::scheduling {

namespace {

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "scheduling"; }
    [[nodiscard]] std::string message(int value) const override {
        switch (static_cast<errc>(value)) {
        case errc::queue_full:
            return "queue full";
        case errc::target_unreachable:
            return "target time can't be met";
        case errc::deadline_passed:
            return "deadline passed while waiting";
        case errc::too_large:
            return "no engine can hold prompt and answer";
        case errc::no_engine:
            return "no engine takes work";
        case errc::unknown_service:
            return "service not known to the cell";
        case errc::duplicate_request:
            return "request known already";
        case errc::unknown_request:
            return "request not known";
        case errc::retry_budget_spent:
            return "retry budget spent";
        case errc::registration_pending:
            return "registration of live grants pending";
        }
        return "unknown";
    }
};

} // namespace

const std::error_category& scheduling_category() noexcept {
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc code) noexcept {
    return {static_cast<int>(code), scheduling_category()};
}

} // namespace cicadahatch::scheduling
