#include "src/forwarding/error.hpp"

#include <string>

namespace cicadahatch::forwarding {

namespace {

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "forwarding"; }
    [[nodiscard]] std::string message(int value) const override {
        switch (static_cast<errc>(value)) {
        case errc::connect_failed:
            return "backend server not reached";
        case errc::connection_lost:
            return "connection to the backend server broken";
        case errc::bad_response:
            return "not a response to the request";
        case errc::timed_out:
            return "backend server timed out";
        case errc::cancelled:
            return "exchange cancelled";
        case errc::too_large:
            return "response too large";
        }
        return "unknown";
    }
};

} // namespace

const std::error_category& forwarding_category() noexcept {
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc code) noexcept {
    return {static_cast<int>(code), forwarding_category()};
}

bool is_definitely_unsent(const std::error_code& error) noexcept {
    return error == errc::connect_failed;
}

} // namespace cicadahatch::forwarding
