#include "src/settings/error.hpp"

#include <string>

namespace cicadahatch::settings {

namespace {

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "settings"; }
    [[nodiscard]] std::string message(int value) const override {
        switch (static_cast<errc>(value)) {
        case errc::syntax:
            return "not JSON with comments";
        case errc::unknown_field:
            return "unknown field";
        case errc::missing_field:
            return "missing field";
        case errc::wrong_type:
            return "wrong type";
        case errc::out_of_range:
            return "out of range";
        case errc::contradictory:
            return "contradicts another field";
        case errc::duplicate:
            return "stands twice";
        case errc::unreadable:
            return "can't be read";
        case errc::broken_encoding:
            return "broken encoding";
        case errc::too_large:
            return "too large";
        }
        return "unknown";
    }
};

} // namespace

const std::error_category& settings_category() noexcept {
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc code) noexcept {
    return {static_cast<int>(code), settings_category()};
}

} // namespace cicadahatch::settings
