#include "src/claims/error.hpp"

#include <string>

namespace cicadahatch::claims {

namespace {

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "claims"; }
    [[nodiscard]] std::string message(int value) const override {
        switch (static_cast<errc>(value)) {
        case errc::store_unreachable:
            return "store not reached";
        case errc::claim_uncertain:
            return "claim not confirmed";
        case errc::contended:
            return "too many races lost";
        case errc::deadline_passed:
            return "deadline passed";
        case errc::invalid_key:
            return "invalid key";
        case errc::claim_gone:
            return "claim no longer kept";
        case errc::malformed:
            return "stored claims malformed";
        }
        return "unknown";
    }
};

} // namespace

const std::error_category& claims_category() noexcept {
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc code) noexcept {
    return {static_cast<int>(code), claims_category()};
}

} // namespace cicadahatch::claims
