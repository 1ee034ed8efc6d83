#include "src/metrics/error.hpp"

#include <string>

namespace cicadahatch::metrics {

namespace {

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "metrics"; }
    [[nodiscard]] std::string message(int value) const override {
        switch (static_cast<errc>(value)) {
        case errc::malformed:
            return "snapshot malformed";
        case errc::unsupported_version:
            return "snapshot of another version";
        case errc::too_large:
            return "snapshot too large";
        }
        return "unknown";
    }
};

} // namespace

const std::error_category& metrics_category() noexcept {
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc code) noexcept {
    return {static_cast<int>(code), metrics_category()};
}

} // namespace cicadahatch::metrics
