#include "src/store/error.hpp"

#include <string>

namespace cicadahatch::store {

namespace {

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "platform"; }
    [[nodiscard]] std::string message(int value) const override {
        switch (static_cast<errc>(value)) {
        case errc::unavailable:
            return "store not reached";
        case errc::outcome_unknown:
            return "no reply; the write may have taken effect";
        case errc::rate_limited:
            return "own request budget spent";
        case errc::circuit_open:
            return "circuit open after failures";
        case errc::value_too_large:
            return "value too large";
        case errc::lease_expired:
            return "lease expired";
        case errc::compacted:
            return "revision compacted";
        case errc::reply_too_large:
            return "reply too large for its bounds";
        case errc::restored:
            return "store restored from an older copy";
        case errc::protocol:
            return "reply not understood";
        }
        return "unknown";
    }
};

} // namespace

const std::error_category& store_category() noexcept {
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc code) noexcept {
    return {static_cast<int>(code), store_category()};
}

bool is_surely_not_applied(const std::error_code& error) noexcept {
    return error == errc::unavailable || error == errc::rate_limited ||
           error == errc::circuit_open || error == errc::value_too_large || error == errc::restored;
}

} // namespace cicadahatch::store
