#include "src/membership/error.hpp"

#include <string>

namespace cicadahatch::membership {

namespace {

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "membership"; }
    [[nodiscard]] std::string message(int value) const override {
        return value == static_cast<int>(errc::unknown_member) ? "no such member" : "unknown";
    }
};

} // namespace

const std::error_category& membership_category() noexcept {
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc code) noexcept {
    return {static_cast<int>(code), membership_category()};
}

} // namespace cicadahatch::membership
