#include "src/configuration/error.hpp"

#include <string>

namespace cicadahatch::configuration {

namespace {

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "configuration"; }
    [[nodiscard]] std::string message(int value) const override {
        switch (static_cast<errc>(value)) {
        case errc::not_published:
            return "no configuration published";
        case errc::not_accepted:
            return "store not reached; change not accepted";
        case errc::outcome_unknown:
            return "change may have been accepted; repeat with the same change id";
        case errc::base_unknown:
            return "base revision not known any more";
        case errc::service_too_large:
            return "service too large for the store";
        case errc::malformed:
            return "not a configuration";
        case errc::inconsistent:
            return "parts of the configuration do not match";
        case errc::gap:
            return "changes since a later revision than ours";
        }
        return "unknown";
    }
};

} // namespace

const std::error_category& configuration_category() noexcept {
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc code) noexcept {
    return {static_cast<int>(code), configuration_category()};
}

} // namespace cicadahatch::configuration
