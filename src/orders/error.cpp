#include "src/orders/error.hpp"

#include <string>

namespace cicadahatch::orders {

namespace {

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "orders"; }
    [[nodiscard]] std::string message(int value) const override {
        switch (static_cast<errc>(value)) {
        case errc::too_late:
            return "send deadline has passed";
        case errc::unreachable:
            return "engine not reached";
        case errc::stale_fencing:
            return "engine has seen a higher fencing number";
        case errc::refused:
            return "engine refused the order";
        case errc::outcome_unknown:
            return "no response; the order may have been executed";
        }
        return "unknown";
    }
};

} // namespace

const std::error_category& orders_category() noexcept {
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc code) noexcept {
    return {static_cast<int>(code), orders_category()};
}

} // namespace cicadahatch::orders
